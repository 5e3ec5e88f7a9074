// The platform of a managed node: store, workers and the operator's
// configuration, with faults that a test sets through POST /standin/faults.
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "host.hpp"
#include "site/store.hpp"
#include "site/workers.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMillicoresPerRun = 1'000;
constexpr int kRunsPerWorker = 8;

std::string Configuration(int version) {
  return base::DumpJson(
      {{"version", version},
       {"routes", json::array({{{"name", "queue"},
                                {"host", "jobs.example"},
                                {"prefix", "/jobs/"},
                                {"service", "batch"},
                                {"attempts", 3},
                                {"stretch", 2.0},
                                {"target-latency-ms", 1'000}}})},
       {"services",
        json::array({{{"name", "batch"}, {"admission-check", true}}})}});
}

/// Stand-in of everything that a managed node talks to but its callers.
class Site {
 public:
  Site(base::EventLoop& loop, int workers) : store_(loop) {
    store_.Put("op", "", "config", Configuration(1));
    for (int i = 1; i <= workers; ++i) {
      const std::string id = "w" + std::to_string(i);
      workers_.push_back(std::make_unique<SiteWorker>(loop, id, record_));
      Register(*workers_.back());
    }
    // Another writer's entry, which names no worker.
    store_.Put("servers", "", "odd", "\x01not json");
  }

  void Handle(const Exchange& exchange) {
    if (store_.Handle(exchange)) return;
    const std::string& target = exchange->request().target;
    if (target == "/standin/faults") return SetFaults(exchange);
    if (target == "/standin/record") return Report(exchange);
    ReplyText(*exchange, kNotFound, "{}");
  }

 private:
  void Register(SiteWorker& worker) {
    store_.Put("servers", "", worker.id(),
               base::DumpJson({{"service", "batch"},
                               {"addr", worker.Listen()},
                               {"zone", "dc"},
                               {"state", "ready"},
                               {"capacity",
                                {{"cpu", kMillicoresPerRun * kRunsPerWorker},
                                 {"mem-mb", 32'000},
                                 {"gpu", 0}}},
                               {"labels", json::array({"a", "r1"})}}));
  }

  void SetFaults(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "faults");
    if (!body.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    store_.SetDown(body.value().value("down", false));
    store_.LoseReplies(body.value().value("lose_replies", 0));
    ReplyText(*exchange, kOk, "{}");
  }

  void Report(const Exchange& exchange) {
    ReplyText(*exchange, kOk,
              base::DumpJson({{"starts", record_.starts},
                              {"done", record_.done},
                              {"overlaps", record_.overlaps},
                              {"repeats", record_.repeats},
                              {"overloads", record_.overloads},
                              {"lapses", record_.lapses}}));
  }

  SiteRecord record_;
  SiteStore store_;
  std::vector<std::unique_ptr<SiteWorker>> workers_;
};

}  // namespace

int RunSite(const Options& options) {
  base::EventLoop loop;
  Site site(loop, options.Number("workers", 4));
  return RunHost(loop, options,
                 [&site](const Exchange& exchange) { site.Handle(exchange); });
}

}  // namespace mangospread::standin
