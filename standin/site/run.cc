// The platform of a managed node: store, workers and the operator's
// configuration. A test sets faults of the store through POST /standin/faults
// and those of a worker or of the way to it through POST /standin/worker.
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "host.hpp"
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
constexpr int kRunsPerWorker = 8;

json Route(const char* name, const char* prefix) {
  return {{"name", name},
          {"host", "jobs.example"},
          {"prefix", prefix},
          {"service", "batch"},
          {"attempts", 3},
          {"stretch", 2.0},
          {"target-latency-ms", 1'000}};
}

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

/// Stand-in of everything that a managed node talks to but its callers.
class Site {
 public:
  Site(base::EventLoop& loop, int workers) : store_(loop) {
    store_.Put("op", "", "config", Configuration(1, false));
    for (int i = 1; i <= workers; ++i) {
      workers_.push_back(
          std::make_unique<Member>(loop, "w" + std::to_string(i), record_));
      Member& member = *workers_.back();
      const auto target = ParseAddress(member.worker.Listen());
      const auto bound = member.link.Listen({"127.0.0.1", 0});
      if (!target.ok() || !bound.ok()) throw std::runtime_error("no port");
      member.link.SetTarget(target.value());
      member.address = ToString(bound.value());
      Register(member, "ready");
    }
    // Another writer's entry, which names no worker.
    store_.Put("servers", "", "odd", "\x01not json");
  }

  void Handle(const Exchange& exchange) {
    if (store_.Handle(exchange)) return;
    const std::string& target = exchange->request().target;
    if (target == "/standin/faults") return SetFaults(exchange);
    if (target == "/standin/record") return Report(exchange);
    if (target == "/standin/worker") return DisturbWorker(exchange);
    if (target == "/standin/config") return Configure(exchange);
    ReplyText(*exchange, kNotFound, "{}");
  }

 private:
  /// A worker and the proxy through which it is reached.
  struct Member {
    Member(base::EventLoop& loop, std::string id, SiteRecord& record)
        : worker(loop, std::move(id), record), link(loop) {}
    SiteWorker worker;
    Proxy link;
    std::string address;
  };

  void Register(Member& member, const char* state) {
    store_.Put("servers", "", member.worker.id(),
               base::DumpJson({{"service", "batch"},
                               {"addr", member.address},
                               {"zone", "dc"},
                               {"state", state},
                               {"capacity",
                                {{"cpu", kMillicoresPerRun * kRunsPerWorker},
                                 {"mem-mb", 32'000},
                                 {"gpu", 0}}},
                               {"labels", json::array({"a", "r1"})}}));
  }

  /// {"worker": index, "what": "crash", "cut", "silence", "draining", "ready"
  /// or "faults" with the proxy's "faults"}.
  void DisturbWorker(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "worker");
    const auto index =
        body.ok() ? body.value().value("worker", workers_.size()) : 0;
    if (!body.ok() || index >= workers_.size()) {
      return ReplyText(*exchange, kBadRequest, "{}");
    }
    Member& member = *workers_[index];
    const std::string what = body.value().value("what", "");
    Faults faults;
    if (what == "crash") {
      const auto target = ParseAddress(member.worker.Crash());
      if (target.ok()) member.link.SetTarget(target.value());
      member.link.CutAll();
    } else if (what == "cut") {
      member.link.CutAll();
    } else if (what == "silence") {
      member.link.SilenceAll();
    } else if (what == "draining" || what == "ready") {
      Register(member, what.c_str());
    } else if (what == "faults" &&
               ReadFaults(base::DumpJson(body.value().at("faults")), faults)) {
      member.link.SetFaults(faults);
    } else {
      return ReplyText(*exchange, kBadRequest, "{}");
    }
    ReplyText(*exchange, kOk, "{}");
  }

  void Configure(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "config");
    if (!body.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    store_.Put(
        "op", "", "config",
        Configuration(body.value().at("version"), body.value().at("extra")));
    ReplyText(*exchange, kOk, "{}");
  }

  void SetFaults(const Exchange& exchange) {
    const auto body = base::ParseJson(exchange->request().body, "faults");
    if (!body.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    store_.SetDown(body.value().value("down", false));
    store_.LoseReplies(body.value().value("lose_replies", 0));
    ReplyText(*exchange, kOk, "{}");
  }

  void Report(const Exchange& exchange) {
    json workers = json::array();
    for (const auto& member : workers_) {
      workers.push_back(member->worker.Describe());
    }
    ReplyText(*exchange, kOk,
              base::DumpJson({{"starts", record_.starts},
                              {"done", record_.done},
                              {"overlaps", record_.overlaps},
                              {"repeats", record_.repeats},
                              {"overloads", record_.overloads},
                              {"lapses", record_.lapses},
                              {"started", record_.started},
                              {"workers", std::move(workers)}}));
  }

  SiteRecord record_;
  SiteStore store_;
  std::vector<std::unique_ptr<Member>> workers_;
};

}  // namespace

int RunSite(const Options& options) {
  base::EventLoop loop;
  Site site(loop, options.Number("workers", 4));
  return RunHost(loop, options,
                 [&site](const Exchange& exchange) { site.Handle(exchange); });
}

}  // namespace mangospread::standin
