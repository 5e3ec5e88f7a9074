// The "site" stand-in for the platform of a managed node: metadata store,
// workers and the operator's configuration. A test sets faults of the store
// through POST /standin/faults, and faults of a worker or of the connections to
// it through POST /standin/worker. It writes entries among those of the workers
// through POST /standin/row.
#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "host.hpp"
#include "platform/base64.hpp"
#include "proxy/proxy.hpp"
#include "site/store.hpp"
#include "site/workers.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMillicoresPerRun = 1'000;

json Route(const char* name, const char* prefix) {
  return {{"name", name},
          {"host", "jobs.example"},
          {"prefix", prefix},
          {"service", "batch"},
          {"attempts", 3},
          {"stretch", 2.0},
          {"target-latency-ms", 1'000}};
}

/// Configuration that the operator publishes.
/// @param extra adds a second route, "/extra/".
std::string Configuration(int version, bool extra) {
  json routes = json::array({Route("queue", "/jobs/")});
  if (extra) routes.push_back(Route("extra", "/extra/"));
  return base::DumpJson(
      {{"version", version},
       {"routes", std::move(routes)},
       {"services",
        json::array({{{"name", "batch"}, {"admission-check", true}}})}});
}

/// Everything that a managed node communicates with, except its callers.
class Site {
 public:
  /// @param zones number of data centres over which the workers are spread.
  Site(base::EventLoop& loop, int worker_count, std::size_t max_runs, int zones)
      : loop_(loop),
        max_runs_(max_runs),
        zones_(static_cast<std::size_t>(zones)),
        store_(loop) {
    store_.Put("op", "", "config", Configuration(1, false));
    for (int i = 0; i < worker_count; ++i) AddWorker();
    // An entry of another writer that does not describe a worker.
    store_.Put("servers", "", "odd", "\x01not json");
  }

  void Handle(const Exchange& exchange) {
    if (store_.Handle(exchange)) return;
    const std::string& target = exchange->request().target;
    if (target == "/standin/faults") return SetFaults(exchange);
    if (target == "/standin/record") return SendRecord(exchange);
    if (target == "/standin/worker") return InjectWorkerFault(exchange);
    if (target == "/standin/row") return WriteRow(exchange);
    if (target == "/standin/config") return SetConfiguration(exchange);
    ReplyJson(*exchange, kNotFound, "{}");
  }

 private:
  /// A worker and the proxy through which the node reaches it.
  struct ProxiedWorker {
    ProxiedWorker(base::EventLoop& loop, std::string id, std::size_t max_runs,
                  SiteRecord& record,
                  std::function<void(ProxiedWorker&, AfterCrash)> on_crash)
        : worker(loop, std::move(id), max_runs, record,
                 [this, on_crash = std::move(on_crash)](AfterCrash after) {
                   on_crash(*this, after);
                 }),
          proxy(loop) {}
    SiteWorker worker;
    Proxy proxy;
    std::string address;
    std::string zone;
  };

  /// Starts and registers another worker.
  void AddWorker() {
    workers_.push_back(std::make_unique<ProxiedWorker>(
        loop_, "w" + std::to_string(workers_.size() + 1), max_runs_, record_,
        [this](ProxiedWorker& proxied, AfterCrash after) {
          Crash(proxied, after);
        }));
    ProxiedWorker& proxied = *workers_.back();
    const auto target = ParseAddress(proxied.worker.Listen());
    const auto bound = proxied.proxy.Listen({"127.0.0.1", 0});
    if (!target.ok() || !bound.ok()) throw std::runtime_error("bind failed");
    proxied.proxy.SetTarget(target.value());
    proxied.address = ToString(bound.value());
    const std::size_t number = (workers_.size() - 1) % zones_;
    proxied.zone = number == 0 ? "dc" : "dc" + std::to_string(number + 1);
    Register(proxied, "ready");
  }

  /// Writes a row as another writer does, or deletes it without a value. The
  /// body is {"table": text, "key": text, "value": base64}; the table of
  /// servers is the default.
  void WriteRow(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "row");
    const auto value = platform::DecodeBase64(
        body.ok() ? body.value().value("value", "") : "");
    if (!body.ok() || !value.ok()) {
      return ReplyJson(*exchange, kBadRequest, "{}");
    }
    const std::string table = body.value().value("table", "servers");
    const std::string key = body.value().value("key", "");
    if (body.value().contains("value")) {
      store_.Put(table, "", key, value.value());
    } else {
      store_.Remove(table, "", key);
    }
    ReplyJson(*exchange, kOk, "{}");
  }

  /// Writes the worker's row to the store's table of servers.
  void Register(ProxiedWorker& proxied, const char* state) {
    store_.Put("servers", "", proxied.worker.id(),
               base::DumpJson(
                   {{"service", "batch"},
                    {"addr", proxied.address},
                    {"zone", proxied.zone},
                    {"state", state},
                    {"capacity",
                     {{"cpu", kMillicoresPerRun * proxied.worker.capacity()},
                      {"mem-mb", 32'000},
                      {"gpu", 0}}},
                    {"labels", json::array({"a", "r1"})}}));
  }

  /// Crashes the worker and restarts it at once.
  void Crash(ProxiedWorker& proxied, AfterCrash after) {
    std::string id = proxied.worker.id();
    if (after == AfterCrash::kNewId) {
      store_.Remove("servers", "", id);
      id = "w" + std::to_string(workers_.size() + ++replaced_workers_);
    }
    const auto target = ParseAddress(proxied.worker.Crash(std::move(id)));
    if (target.ok()) proxied.proxy.SetTarget(target.value());
    proxied.proxy.CloseAll();
    if (after == AfterCrash::kNewId) Register(proxied, "ready");
  }

  /// Ends the worker for good. Its address does not respond any more.
  void Remove(ProxiedWorker& proxied) {
    store_.Remove("servers", "", proxied.worker.id());
    Faults faults;
    faults.drop_up = faults.drop_down = true;
    proxied.proxy.SetFaults(faults);
    proxied.proxy.StopForwardingAll();
    proxied.worker.End();
  }

  /// Injects a fault or changes the worker's state. The body is {"worker":
  /// index, "what": "crash", "gone", "cut", "silence", "draining", "ready",
  /// "capacity" with the number of "runs", "odd-runs" with "rows" that it
  /// lists as running, or "faults" with the proxy's "faults"}. The index after
  /// the last one adds a worker.
  void InjectWorkerFault(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "worker");
    const auto index =
        body.ok() ? body.value().value("worker", workers_.size()) : 0;
    if (!body.ok() || index > workers_.size()) {
      return ReplyJson(*exchange, kBadRequest, "{}");
    }
    if (index == workers_.size()) {
      AddWorker();
      return ReplyJson(*exchange, kOk, "{}");
    }
    ProxiedWorker& proxied = *workers_[index];
    const std::string fault = body.value().value("what", "");
    Faults faults;
    if (fault == "crash") {
      Crash(proxied, AfterCrash::kSameId);
    } else if (fault == "gone") {
      Remove(proxied);
    } else if (fault == "cut") {
      proxied.proxy.CloseAll();
    } else if (fault == "silence") {
      proxied.proxy.StopForwardingAll();
    } else if (fault == "draining" || fault == "ready") {
      Register(proxied, fault.c_str());
    } else if (fault == "odd-runs") {
      proxied.worker.ListAlso(body.value().at("rows"));
    } else if (fault == "capacity") {
      proxied.worker.SetCapacity(body.value().at("runs"));
      Register(proxied, "ready");
    } else if (fault == "faults" &&
               ParseFaults(base::DumpJson(body.value().at("faults")), faults)) {
      proxied.proxy.SetFaults(faults);
    } else {
      return ReplyJson(*exchange, kBadRequest, "{}");
    }
    ReplyJson(*exchange, kOk, "{}");
  }

  void SetConfiguration(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "config");
    if (!body.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
    store_.Put(
        "op", "", "config",
        Configuration(body.value().at("version"), body.value().at("extra")));
    ReplyJson(*exchange, kOk, "{}");
  }

  void SetFaults(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "faults");
    if (!body.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
    store_.SetDown(body.value().value("down", false));
    store_.LoseReplies(body.value().value("lose_replies", 0));
    ReplyJson(*exchange, kOk, "{}");
  }

  /// The row of agents that the leader has stored, in base64; null if there is
  /// none.
  [[nodiscard]] json EncodeAgentsRow() const {
    const auto agents = store_.Value("roster", "g0", "agents");
    return agents ? json(platform::EncodeBase64(*agents)) : json();
  }

  void SendRecord(const Exchange& exchange) {
    json workers = json::array();
    for (const auto& proxied : workers_) {
      workers.push_back(proxied->worker.Describe());
    }
    const auto running =
        std::count_if(record_.running.begin(), record_.running.end(),
                      [](const auto& task) { return task.second > 0; });
    const bool capacities_known = std::all_of(
        workers_.begin(), workers_.end(),
        [](const auto& proxied) { return proxied->worker.CapacityKnown(); });
    ReplyJson(*exchange, kOk,
              base::DumpJson({{"starts", record_.starts},
                              {"starts_by_worker", record_.starts_by_worker},
                              {"running", running},
                              {"capacities_known", capacities_known},
                              {"done", record_.done},
                              {"overlaps", record_.overlaps},
                              {"repeats", record_.repeats},
                              {"overloads", record_.overloads},
                              {"lapses", record_.expired_runs},
                              {"started", record_.started},
                              {"crashes", record_.crashes},
                              {"agents", EncodeAgentsRow()},
                              {"workers", std::move(workers)}}));
  }

  base::EventLoop& loop_;
  std::size_t max_runs_;
  std::size_t zones_;  ///< Of each worker.
  SiteRecord record_;
  SiteStore store_;
  std::vector<std::unique_ptr<ProxiedWorker>> workers_;
  std::size_t replaced_workers_ = 0;  ///< Workers that got a new id.
};

}  // namespace

int RunSite(const Options& options) {
  base::EventLoop loop;
  Site site(loop, options.Number("workers", 4),
            static_cast<std::size_t>(
                options.Number("runs", static_cast<int>(kDefaultMaxRuns))),
            std::max(options.Number("zones", 1), 1));
  return RunHttpStandin(loop, options, [&site](const Exchange& exchange) {
    site.Handle(exchange);
  });
}

}  // namespace mangospread::standin
