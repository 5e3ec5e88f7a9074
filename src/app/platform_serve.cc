#include "app/platform_serve.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "api/metrics.hpp"
#include "app/signal_handler.hpp"
#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "dispatch/node/node.hpp"
#include "net/http_server.hpp"
#include "net/http_status.hpp"
#include "platform/codec.hpp"
#include "platform/front.hpp"
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
constexpr Milliseconds kOrderTimeout{700};
constexpr Milliseconds kLogFlushPeriod{250};
/// The balancer stops sending connections after two failed probes, one a
/// second.
constexpr Milliseconds kDrainNotice{2'300};
constexpr Milliseconds kStopCheckPeriod{50};
constexpr Milliseconds kSettingsCheckPeriod{1'000};
/// Left of the grace time when the process ends at the latest.
constexpr Milliseconds kStopMargin{700};
constexpr const char* kPartition = "g0";

std::optional<platform::SiteSettings> LoadSettings(const std::string& path) {
  auto settings =
      path.empty() ? Result<platform::SiteSettings>(Error{
                         Errc::kMissingField, platform::kSettingsPathVariable})
                   : platform::ReadSettings(path);
  if (settings.ok()) return std::move(settings.value());
  base::Log(base::Event::kSettingsInvalid,
            {{"setting", settings.error().subject},
             {"error", ErrcName(settings.error().code)}});
  return std::nullopt;
}

/// Modification time of the settings file in nanoseconds; 0 if unknown.
std::int64_t SettingsChangedAt(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) return 0;
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  return status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec;
}

/// Lets larger VMs contend for the leadership first.
Milliseconds ContendDelay(double cpu_share) {
  constexpr double kLargeShare = 0.5;
  constexpr double kMaxDelayMs = 300;
  const double missing = std::clamp(1 - cpu_share / kLargeShare, 0.0, 1.0);
  return Milliseconds(static_cast<std::int64_t>(kMaxDelayMs * missing));
}

/// Keeps a process's parts together and connects them.
class ManagedNode {
 public:
  ManagedNode(base::EventLoop& loop, std::string settings_path,
              platform::SiteSettings settings)
      : loop_(loop),
        settings_path_(std::move(settings_path)),
        settings_(std::move(settings)),
        store_pool_(net::HttpClientPool::Create(loop, settings_.store, {})),
        table_(store_pool_, kPartition, kStoreTimeout,
               [this](MonotonicTime time) {
                 timings_.Observe(dispatch::Timing::kStoreCall, time);
               }),
        node_(MakeDependencies(), MakeOptions()),
        front_({[this] { return catalog_ ? &*catalog_ : nullptr; },
                [this](dispatch::ServiceCall call,
                       dispatch::ServiceCallback done) {
                  node_.Handle(std::move(call), std::move(done));
                }}),
        front_server_(loop, {},
                      [this](std::shared_ptr<net::HttpExchange> exchange) {
                        front_.Handle(std::move(exchange));
                      }),
        ready_server_(loop, {},
                      [this](const std::shared_ptr<net::HttpExchange>& probe) {
                        AnswerProbe(*probe);
                      }) {}

  struct Addresses {
    Address front;
    Address ready;
  };

  [[nodiscard]] Result<Addresses> Start() {
    auto peer = node_.Start();
    if (!peer.ok()) return peer.error();
    auto front = front_server_.Listen(settings_.front);
    if (!front.ok()) return front.error();
    auto probe = ready_server_.Listen(settings_.ready_probe);
    if (!probe.ok()) return probe.error();
    FollowCatalog();
    FollowLeader();
    watch_timer_ =
        loop_.Every(kSettingsCheckPeriod, 0.1, [this] { CheckSettings(); });
    return Addresses{front.value(), probe.value()};
  }

  /// Ends new work, hands the leadership over and stops the loop when all
  /// requests are answered.
  void Stop() {
    if (stopping_) return;
    stopping_ = true;
    base::Log(base::Event::kShutdownBegun, {});
    front_server_.CloseConnections();
    stop_begun_ = base::MonotonicNow();
    node_.Resign([] {});
    stop_timer_ = loop_.Every(kStopCheckPeriod, 0, [this] { CheckStopped(); });
  }

  /// Takes over what changed in the settings file; a file that cannot be read
  /// changes nothing.
  void Reload() {
    auto settings = LoadSettings(settings_path_);
    if (!settings) return;
    const bool moved = settings->store != settings_.store;
    const bool rebound = settings->front != settings_.front ||
                         settings->ready_probe != settings_.ready_probe;
    base::Log(base::Event::kSettingsReloaded,
              {{"store", ToString(settings->store)},
               {"store_changed", moved},
               {"needs_restart", rebound}});
    settings_ = std::move(*settings);
    if (!moved) return;
    store_pool_ = net::HttpClientPool::Create(loop_, settings_.store, {});
    table_.SetPool(store_pool_);
    FollowCatalog();
    FollowLeader();
    if (workers_feed_) FollowWorkers();
  }

 private:
  [[nodiscard]] bool ready() const {
    return !stopping_ && catalog_ && node_.ready();
  }

  /// Readiness for the balancer, and metrics at /metrics.
  void AnswerProbe(net::HttpExchange& probe) const {
    if (probe.request().target != "/metrics") {
      probe.Reply(
          {ready() ? net::status::kOk : net::status::kServiceUnavailable,
           {},
           {}});
      return;
    }
    net::Response response;
    response.status = net::status::kOk;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = Metrics();
    probe.Reply(response);
  }

  [[nodiscard]] std::string Metrics() const {
    std::vector<api::Sample> samples;
    const auto add = [&samples](const char* name, const char* help,
                                api::MetricType type, double value) {
      samples.push_back({name, help, type, value, {}});
    };
    constexpr auto kCounter = api::MetricType::kCounter;
    constexpr auto kGauge = api::MetricType::kGauge;
    add("ready", "1 if callers are served", kGauge, ready() ? 1 : 0);
    add("leading", "1 on the leader", kGauge, node_.leader() ? 1 : 0);
    add("log_lines_dropped_total", "Log lines that were not written", kCounter,
        static_cast<double>(base::DroppedLogLines()));
    add("requests_in_flight", "Callers' requests without an answer", kGauge,
        front_.in_flight());
    if (const auto* leader = node_.leader()) {
      const auto& counters = leader->dispatcher().counters();
      const auto count = [&](const char* name, const char* help,
                             std::uint64_t value) {
        add(name, help, kCounter, static_cast<double>(value));
      };
      count("starts_total", "Start orders", counters.started);
      count("starts_refused_total", "Starts that did not happen",
            counters.refused);
      count("runs_done_total", "Runs that ended as done", counters.done);
      count("runs_failed_total", "Runs that failed", counters.failed);
      count("runs_requeued_total", "Runs that start again", counters.requeued);
      count("runs_stalled_total", "Runs without progress", counters.stalled);
      count("workers_excluded_total", "Workers set aside for failures",
            counters.excluded);
      add("submissions_active", "Submissions that have not ended", kGauge,
          static_cast<double>(leader->dispatcher().active()));
    }
    return api::ExposeText(samples) + timings_.Expose();
  }

  dispatch::NodeOptions MakeOptions() const {
    dispatch::NodeOptions options;
    options.node = settings_.node;
    options.incarnation = Incarnation(base::WallNanoseconds());
    options.data_center = settings_.data_center;
    options.leadership.contend_delay = ContendDelay(settings_.cpu_share);
    options.session.max_lease = settings_.max_lease;
    options.peer_address = {settings_.ip, settings_.first_port};
    return options;
  }

  dispatch::NodeDependencies MakeDependencies() {
    return {loop_,
            table_,
            [this](const WorkerInfo& worker) {
              return std::make_shared<platform::HttpWorkerLink>(loop_, worker,
                                                                kOrderTimeout);
            },
            platform::DecodeSubmission,
            [this](dispatch::Timing timing, MonotonicTime time) {
              timings_.Observe(timing, time);
            },
            [this](bool leading) {
              if (leading) {
                FollowWorkers();
              } else {
                loop_.Post([this] { workers_feed_.reset(); });
              }
            }};
  }

  void FollowCatalog() {
    const auto install = [this](const std::vector<ChangedRow>& rows) {
      for (const ChangedRow& row : rows) {
        if (row.key == "config" && row.value) InstallCatalog(*row.value);
      }
    };
    catalog_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, "op", "",
        platform::FeedHooks{install, install, {}});
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
    base::Log(base::Event::kCatalogInstalled,
              {{"revision", catalog_->revision.value()},
               {"routes", catalog_->routes.size()}});
  }

  void FollowLeader() {
    const auto install = [this](const std::vector<ChangedRow>& rows) {
      for (const ChangedRow& row : rows) {
        if (row.key == "leader") InstallLeader(row);
      }
    };
    const auto install_all = [this,
                              install](const std::vector<ChangedRow>& rows) {
      if (rows.empty()) node_.OnLeaderRow(std::nullopt);
      install(rows);
    };
    leader_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, "role", kPartition,
        platform::FeedHooks{install_all, install, {}});
  }

  void InstallLeader(const ChangedRow& row) {
    if (!row.value) return;
    auto leader = dispatch::DecodeLeader(*row.value);
    if (!leader.ok()) return;
    leader.value().version = row.version;
    node_.OnLeaderRow(leader.value());
  }

  void FollowWorkers() {
    workers_feed_ = std::make_unique<platform::StoreFeed>(
        loop_, store_pool_, "servers", "",
        platform::FeedHooks{[this](const std::vector<ChangedRow>& rows) {
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
                            {}});
  }

  /// Returns true if the list changed.
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

  /// The file may change without a signal.
  void CheckSettings() {
    const auto changed = SettingsChangedAt(settings_path_);
    if (changed == settings_at_) return;
    settings_at_ = changed;
    Reload();
  }

  void CheckStopped() {
    const auto elapsed = base::MonotonicNow() - stop_begun_;
    const bool idle = front_.in_flight() == 0 && front_server_.unwritten() == 0;
    if (elapsed < kDrainNotice ||
        (!idle && elapsed < settings_.stop_grace - kStopMargin)) {
      return;
    }
    base::Log(base::Event::kShutdownDone, {{"in_flight", front_.in_flight()}});
    loop_.Stop();
  }

  base::EventLoop& loop_;
  std::string settings_path_;
  platform::SiteSettings settings_;
  dispatch::Timings timings_;
  std::shared_ptr<net::HttpClientPool> store_pool_;
  platform::StoreTable table_;
  std::optional<Catalog> catalog_;
  std::map<VmName, WorkerInfo> workers_;
  dispatch::Node node_;
  platform::Front front_;
  net::HttpServer front_server_;
  net::HttpServer ready_server_;
  std::unique_ptr<platform::StoreFeed> catalog_feed_;
  std::unique_ptr<platform::StoreFeed> leader_feed_;
  std::unique_ptr<platform::StoreFeed> workers_feed_;
  bool stopping_ = false;
  MonotonicTime stop_begun_{0};
  base::Timer stop_timer_;
  std::int64_t settings_at_ = SettingsChangedAt(settings_path_);
  base::Timer watch_timer_;
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
  const SignalHandler term(loop, SIGTERM, [&node] { node.Stop(); });
  const SignalHandler interrupt(loop, SIGINT, [&node] { node.Stop(); });
  const SignalHandler reload(loop, SIGHUP, [&node] { node.Reload(); });
  const auto started = node.Start();
  if (!started.ok()) {
    base::Log(base::Event::kChildFailed,
              {{"error", ErrcName(started.error().code)},
               {"subject", started.error().subject}});
    return kExitFailure;
  }
  std::printf("listening front=%s ready=%s\n",
              ToString(started.value().front).c_str(),
              ToString(started.value().ready).c_str());
  std::fflush(stdout);
  base::Log(base::Event::kNodeStarting,
            {{"node", settings->node.str()},
             {"data_center", settings->data_center.str()},
             {"front", ToString(settings->front)}});
  const auto flush = loop.Every(kLogFlushPeriod, 0, [] { base::FlushLog(); });
  loop.Run();
  base::FlushLog();
  return 0;
}

}  // namespace mangospread::app
