#include "app/platform_serve.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "api/metrics.hpp"
#include "app/client_limits.hpp"
#include "app/failure_log.hpp"
#include "app/node_metrics.hpp"
#include "app/signal_handler.hpp"
#include "app/stop_schedule.hpp"
#include "app/wait_status.hpp"
#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "dispatch/node/node.hpp"
#include "net/http_server.hpp"
#include "net/http_status.hpp"
#include "platform/codec.hpp"
#include "platform/frontend.hpp"
#include "platform/operator_requests.hpp"
#include "platform/settings.hpp"
#include "platform/store.hpp"
#include "platform/worker_link.hpp"

namespace mangospread::app {
namespace {

using dispatch::Catalog;
using dispatch::LeaderRecord;
using dispatch::WorkerInfo;
using platform::ChangedRow;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Milliseconds kStoreTimeout{1'000};
constexpr Milliseconds kCommandTimeout{700};
constexpr Milliseconds kLogFlushPeriod{250};
constexpr Milliseconds kStopCheckPeriod{50};
constexpr Milliseconds kSettingsCheckPeriod{1'000};
/// Probes and operators' requests have short heads and no body.
constexpr std::size_t kMaxProbeHeaderBytes = 8'192;
constexpr std::size_t kMaxProbeBodyBytes = 1'024;
/// Partition of the store in which this system writes its rows.
constexpr const char* kPartition = "g0";

std::optional<platform::ManagedSettings> LoadSettings(const std::string& path) {
  auto settings =
      path.empty() ? Result<platform::ManagedSettings>(Error{
                         Errc::kMissingField, platform::kSettingsPathVariable})
                   : platform::ReadSettings(path);
  if (settings.ok()) return std::move(settings.value());
  LogInvalidSetting(settings.error());
  return std::nullopt;
}

/// Modification time of the settings file in nanoseconds; 0 if unknown.
std::int64_t SettingsModifiedAt(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return 0;
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

/// Delay before contending for the leadership: none from kLargeCpuShare cores,
/// up to kMaxDelayMs for a smaller share, so that larger VMs contend first.
Milliseconds ContendDelay(double cpu_share) {
  constexpr double kLargeCpuShare = 0.5;
  constexpr double kMaxDelayMs = 300;
  const double shortfall = std::clamp(1 - cpu_share / kLargeCpuShare, 0.0, 1.0);
  return Milliseconds(static_cast<std::int64_t>(kMaxDelayMs * shortfall));
}

/// Owns the components of the process and connects them.
class ManagedNode {
 public:
  ManagedNode(base::EventLoop& loop, std::string settings_path,
              platform::ManagedSettings settings)
      : loop_(loop),
        settings_path_(std::move(settings_path)),
        settings_(std::move(settings)),
        store_pool_(net::HttpClientPool::Create(loop, settings_.store, {})),
        table_(store_pool_, kPartition, kStoreTimeout,
               [this](MonotonicTime time) {
                 timings_.Observe(dispatch::Timing::kTableCall, time);
               }),
        node_(MakeDependencies(), MakeOptions()),
        frontend_({[this] { return catalog_ ? &*catalog_ : nullptr; },
                   [this](dispatch::ServiceCall call,
                          dispatch::ServiceCallback done) {
                     node_.Handle(std::move(call), std::move(done));
                   }}),
        frontend_server_(loop, MakeCallerLimits(),
                         [this](std::shared_ptr<net::HttpExchange> exchange) {
                           frontend_.Handle(std::move(exchange));
                         }),
        readiness_server_(
            loop, MakeProbeLimits(),
            [this](const std::shared_ptr<net::HttpExchange>& probe) {
              HandleProbe(*probe);
            }) {}

  struct Addresses {
    Address frontend;
    Address readiness;
  };

  /// Returns the listen addresses.
  [[nodiscard]] Result<Addresses> Start() {
    auto peer_address = node_.Start();
    if (!peer_address.ok()) return peer_address.error();
    auto frontend = frontend_server_.Listen(settings_.frontend);
    if (!frontend.ok()) return frontend.error();
    auto readiness = readiness_server_.Listen(settings_.readiness);
    if (!readiness.ok()) return readiness.error();
    SubscribeToOperator();
    SubscribeToLeader();
    settings_timer_ =
        loop_.Every(kSettingsCheckPeriod, 0.1, [this] { ReloadIfModified(); });
    return Addresses{frontend.value(), readiness.value()};
  }

  /// Begins a graceful shutdown: asks callers to close their connections, hands
  /// the leadership over and stops the loop when every request has a response.
  /// What is still in flight shortly before the grace time ends is answered
  /// without a result.
  void Stop() {
    if (stop_schedule_) return;
    stop_schedule_.emplace(base::MonotonicNow(), settings_.stop_grace);
    base::Log(base::Event::kShutdownBegun, {});
    frontend_server_.CloseConnections();
    node_.Resign([] {});
    stop_timer_ = loop_.Every(kStopCheckPeriod, 0, [this] { CheckStopped(); });
  }

  /// Applies changes of the settings file. A file that cannot be read or parsed
  /// has no effect.
  void Reload() {
    auto settings = LoadSettings(settings_path_);
    if (!settings) return;
    const bool store_changed = settings->store != settings_.store;
    const bool needs_restart = settings->frontend != settings_.frontend ||
                               settings->readiness != settings_.readiness;
    base::Log(base::Event::kSettingsReloaded,
              {{"store", ToString(settings->store)},
               {"store_changed", store_changed},
               {"needs_restart", needs_restart}});
    settings_ = std::move(*settings);
    if (!store_changed) return;
    former_pools_.push_back(std::exchange(
        store_pool_, net::HttpClientPool::Create(loop_, settings_.store, {})));
    table_.SetPool(store_pool_);
    SubscribeToOperator();
    SubscribeToLeader();
    if (workers_feed_) SubscribeToWorkers();
  }

 private:
  [[nodiscard]] bool ready() const {
    return !stop_schedule_ && catalog_ && node_.ready();
  }

  /// Responds with the readiness for the load balancer, with the metrics at
  /// /metrics, or with what a submission waits for at kExplainPath.
  void HandleProbe(net::HttpExchange& probe) const {
    const std::string& target = probe.request().target;
    if (target.starts_with(kExplainPath)) {
      return probe.Reply(ExplainSubmission(node_.leader(), node_.known_leader(),
                                           target.substr(kExplainPath.size())));
    }
    if (target != "/metrics") {
      probe.Reply(
          {ready() ? net::status::kOk : net::status::kServiceUnavailable,
           {},
           {}});
      return;
    }
    net::Response response;
    response.status = net::status::kOk;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = ExposeMetrics();
    probe.Reply(response);
  }

  [[nodiscard]] std::string ExposeMetrics() const {
    std::vector<api::Sample> samples;
    const auto add = [&samples](const char* name, const char* help,
                                api::MetricType type, double value) {
      samples.push_back({name, help, type, value, {}});
    };
    constexpr auto kCounter = api::MetricType::kCounter;
    constexpr auto kGauge = api::MetricType::kGauge;
    add("ready", "1 if callers are served", kGauge, ready() ? 1 : 0);
    add("leading", "1 on the leader", kGauge, node_.leader() ? 1 : 0);
    add("permission",
        "What this node may do: 2 start runs, 1 extend leases, 0 neither",
        kGauge, static_cast<double>(node_.permission()));
    add("log_lines_dropped_total", "Log lines that were not written", kCounter,
        static_cast<double>(base::DroppedLogLines()));
    add("evacuated_data_centers", "Data centres under evacuation", kGauge,
        static_cast<double>(evacuations_.size()));
    add("requests_in_flight", "Callers' requests without an answer", kGauge,
        frontend_.in_flight());
    add("caller_bytes_held", "Bytes that callers have sent, without an answer",
        kGauge, static_cast<double>(frontend_server_.held_bytes()));
    AppendRefusals(frontend_server_.refusals(), samples);
    if (const auto* leader = node_.leader()) {
      AppendLeaderSamples(*leader, samples);
    }
    return api::FormatPrometheusText(samples) + timings_.Expose();
  }

  /// The limits of requests hold once a configuration is in force.
  net::HttpServerLimits MakeCallerLimits() const {
    net::HttpServerLimits limits;
    limits.clients = CallerLimits(settings_);
    return limits;
  }

  static net::HttpServerLimits MakeProbeLimits() {
    net::HttpServerLimits limits;
    limits.max_header_bytes = kMaxProbeHeaderBytes;
    limits.max_body_bytes = kMaxProbeBodyBytes;
    limits.clients = ProbeLimits();
    return limits;
  }

  dispatch::NodeOptions MakeOptions() const {
    dispatch::NodeOptions options;
    options.node = settings_.node;
    options.incarnation = Incarnation(base::WallNanoseconds());
    options.data_center = settings_.data_center;
    options.leadership.contend_delay = ContendDelay(settings_.cpu_share);
    options.session.max_lease = settings_.max_lease;
    options.leader.row_bytes =
        static_cast<std::size_t>(settings_.store_row_bytes);
    options.leader.max_work_bytes = MaxWorkBytes(settings_);
    options.max_peers = MaxPeers(settings_);
    options.awaits_evacuations = true;
    options.peer_address = {settings_.ip, settings_.first_port};
    return options;
  }

  dispatch::NodeDependencies MakeDependencies() {
    return {loop_,
            table_,
            [this](const WorkerInfo& worker) {
              return std::make_shared<platform::HttpWorkerLink>(
                  loop_, worker, kCommandTimeout);
            },
            platform::DecodeSubmission,
            [this](dispatch::Timing timing, MonotonicTime time) {
              timings_.Observe(timing, time);
            },
            [this](bool leading) {
              if (leading) {
                SubscribeToWorkers();
              } else {
                loop_.Post([this] { workers_feed_.reset(); });
              }
            }};
  }

  table::FeedSchedule MakeFeedSchedule() {
    return table::FeedSchedule(
        [this] { return std::uniform_real_distribution<double>()(random_); });
  }

  void SubscribeToOperator() {
    const auto install_catalog = [this](const std::vector<ChangedRow>& rows) {
      for (const ChangedRow& row : rows) {
        if (row.key == "config" && row.value) InstallCatalog(*row.value);
      }
    };
    platform::FeedHooks hooks;
    hooks.on_snapshot = [this, install_catalog](const auto& rows) {
      install_catalog(rows);
      platform::ReplaceEvacuations(rows, evacuations_);
      node_.OnEvacuations(evacuations_);
    };
    hooks.on_change = [this, install_catalog](const auto& rows) {
      install_catalog(rows);
      if (platform::UpdateEvacuations(rows, evacuations_)) {
        node_.OnEvacuations(evacuations_);
      }
    };
    hooks.on_reachable = [this](bool reachable) {
      node_.OnOperatorReachable(reachable);
    };
    operator_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, MakeFeedSchedule(), "op", "", std::move(hooks));
  }

  void InstallCatalog(const std::string& value) {
    auto catalog = platform::DecodeCatalog(value);
    if (!catalog.ok()) {
      base::Log(
          base::Event::kEntryMalformed,
          {{"source", "configuration"}, {"subject", catalog.error().subject}});
      return;
    }
    if (catalog_ && catalog.value().revision <= catalog_->revision) return;
    catalog_ = std::move(catalog.value());
    node_.SetUnguardedServices(catalog_->services_without_admission_check);
    frontend_server_.SetRequestLimits(catalog_->max_header_bytes,
                                      catalog_->max_body_bytes);
    base::Log(base::Event::kCatalogInstalled,
              {{"revision", catalog_->revision.value()},
               {"routes", catalog_->routes.size()}});
  }

  void SubscribeToLeader() {
    const auto install = [this](const std::vector<ChangedRow>& rows) {
      for (const ChangedRow& row : rows) {
        if (row.key == "leader") InstallLeader(row);
      }
    };
    const auto install_snapshot =
        [this, install](const std::vector<ChangedRow>& rows) {
          if (rows.empty()) node_.OnLeaderRow(std::nullopt);
          install(rows);
        };
    leader_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, MakeFeedSchedule(), "role", kPartition,
        platform::FeedHooks{install_snapshot, install, {}});
  }

  void InstallLeader(const ChangedRow& row) {
    if (!row.value) return;
    auto leader = dispatch::DecodeLeader(*row.value);
    if (!leader.ok()) return;
    leader.value().version = row.version;
    node_.OnLeaderRow(leader.value());
  }

  void SubscribeToWorkers() {
    workers_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, MakeFeedSchedule(), "servers", "",
        platform::FeedHooks{
            [this](const std::vector<ChangedRow>& rows) {
              workers_.clear();
              for (const ChangedRow& row : rows) {
                InstallWorker(row);
              }
              node_.OnWorkers(workers_);
            },
            [this](const std::vector<ChangedRow>& rows) {
              bool changed = false;
              for (const ChangedRow& row : rows) {
                changed = InstallWorker(row) || changed;
              }
              if (changed) node_.OnWorkers(workers_);
            },
            [this](bool reachable) { node_.OnWorkersReachable(reachable); }});
  }

  /// Updates the list of workers. Returns true if it changed.
  bool InstallWorker(const ChangedRow& row) {
    const VmName vm(row.key);
    if (!row.value) return workers_.erase(vm) > 0;
    auto worker = platform::DecodeWorker(row.key, *row.value);
    if (!worker.ok()) {
      base::Log(base::Event::kEntryMalformed,
                {{"source", "worker"},
                 {"vm", row.key},
                 {"subject", worker.error().subject}});
      return workers_.erase(vm) > 0;
    }
    const auto it = workers_.find(vm);
    if (it != workers_.end() && it->second == worker.value()) return false;
    workers_[vm] = std::move(worker.value());
    return true;
  }

  /// Reloads a modified settings file, as the platform may change it without a
  /// signal.
  void ReloadIfModified() {
    std::erase_if(former_pools_,
                  [](const auto& pool) { return !pool->HasCallInProgress(); });
    const auto modified_at = SettingsModifiedAt(settings_path_);
    if (modified_at == settings_modified_at_) return;
    settings_modified_at_ = modified_at;
    Reload();
  }

  void CheckStopped() {
    const bool idle = frontend_.in_flight() == 0 &&
                      frontend_server_.unwritten_responses() == 0;
    switch (stop_schedule_->Check(base::MonotonicNow(), idle)) {
      case StopPhase::kServe:
        return;
      case StopPhase::kAnswer:
        return node_.CloseCalls();
      case StopPhase::kEnd:
        base::Log(base::Event::kShutdownDone,
                  {{"in_flight", frontend_.in_flight()}});
        return loop_.Stop();
    }
  }

  base::EventLoop& loop_;
  std::string settings_path_;
  platform::ManagedSettings settings_;
  dispatch::Timings timings_;
  std::shared_ptr<net::HttpClientPool> store_pool_;
  /// Of former addresses, kept until their calls have ended: the writer and the
  /// leadership wait for each result.
  std::vector<std::shared_ptr<net::HttpClientPool>> former_pools_;
  platform::StoreTable table_;
  std::optional<Catalog> catalog_;
  dispatch::Evacuations evacuations_;
  std::map<VmName, WorkerInfo> workers_;
  dispatch::Node node_;
  std::mt19937_64 random_{std::random_device{}()};
  platform::Frontend frontend_;
  net::HttpServer frontend_server_;
  net::HttpServer readiness_server_;
  std::unique_ptr<platform::StoreFeed> operator_feed_;
  std::unique_ptr<platform::StoreFeed> leader_feed_;
  std::unique_ptr<platform::StoreFeed> workers_feed_;
  std::optional<StopSchedule> stop_schedule_;  ///< Set while stopping.
  base::Timer stop_timer_;
  std::int64_t settings_modified_at_ = SettingsModifiedAt(settings_path_);
  base::Timer settings_timer_;
};

}  // namespace

int ServeManaged(std::string settings_path, bool check_only) {
  if (settings_path.empty()) {
    const char* path = std::getenv(platform::kSettingsPathVariable);
    if (path != nullptr) settings_path = path;
  }
  const auto settings = LoadSettings(settings_path);
  if (!settings) return kExitUsage;
  if (check_only) {
    std::puts("settings are valid");
    return 0;
  }
  base::ConfigureLog(base::Severity::kInfo, settings->node.str(),
                     base::LogTarget::kStandardOutput);
  std::signal(SIGPIPE, SIG_IGN);
  base::EventLoop loop;
  ManagedNode node(loop, settings_path, *settings);
  const StopSignals stop_signals(loop, [&node] { node.Stop(); });
  const SignalHandler reload(loop, SIGHUP, [&node] { node.Reload(); });
  const auto started = node.Start();
  if (!started.ok()) {
    LogStartFailure(started.error());
    return kExitFailure;
  }
  std::printf("listening front=%s ready=%s\n",
              ToString(started.value().frontend).c_str(),
              ToString(started.value().readiness).c_str());
  std::fflush(stdout);
  base::Log(base::Event::kNodeStarting,
            {{"node", settings->node.str()},
             {"data_center", settings->data_center.str()},
             {"front", ToString(settings->frontend)}});
  const auto flush = loop.Every(kLogFlushPeriod, 0, [] { base::FlushLog(); });
  loop.Run();
  base::FlushLog();
  return 0;
}

}  // namespace mangospread::app
