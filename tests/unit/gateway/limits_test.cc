#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/loop/clock.hpp"
#include "gateway/limits/limiter.hpp"
#include "gateway/limits/service_stats.hpp"
#include "gateway/limits/wait_queue.hpp"
#include "unit/run_until.hpp"

namespace mangospread::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kName("s");

struct LimitFixture {
  LimitFixture() {
    store.InstallSnapshot(Revision(), {});
    store.Install({Revision(1),
                   {ResourceKind::kTeam, "t"},
                   false,
                   R"({"max_rate":4,"max_concurrency":3})"});
    service.team = TeamName("t");
  }
  int EnterMany(int count) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      admitted += limiter.Enter(kName, service).count() == 0 ? 1 : 0;
    }
    return admitted;
  }

  config::Store store;
  MonotonicTime now = seconds(100);
  Limiter limiter{store, [this] { return now; }};
  ServiceSpec service;
};

// Guards against one service that uses up what the others of the node need.
TEST_CASE_FIXTURE(LimitFixture, "rate and concurrency of service and team") {
  service.max_rate = 2;
  CHECK(EnterMany(10) == 2);
  CHECK(limiter.Enter(kName, service) == milliseconds(500));
  service.max_rate = 0;
  CHECK(EnterMany(10) == 1);  // The team's third concurrent request.
  for (int i = 0; i < 3; ++i) limiter.Leave(kName, service.team);
  CHECK(EnterMany(10) == 1);  // The team's fourth request of this second.
  limiter.Leave(kName, service.team);
  now += seconds(1);
  service.max_concurrency = 2;
  CHECK(EnterMany(10) == 2);
  CHECK(limiter.refused() > 0);
}

/// The requests that all nodes together admit in the same instant.
int AdmittedByAll(std::size_t nodes, const char* name, ServiceSpec service) {
  int admitted = 0;
  for (std::size_t index = 0; index < nodes; ++index) {
    LimitFixture node;
    service.team = TeamName("unlimited");
    node.limiter.SetShare({index, nodes});
    while (node.limiter.Enter(ServiceName(name), service).count() == 0) {
      ++admitted;
    }
  }
  return admitted;
}

// Guards against nodes that each admit the whole limit, or that together admit
// less, also when the limit does not divide by the nodes.
TEST_CASE("the nodes' shares add up to the limit") {
  for (const int limit : {1, 2, 6, 13}) {
    for (const std::size_t nodes : {1U, 2U, 5U, 6U}) {
      CAPTURE(limit);
      CAPTURE(nodes);
      ServiceSpec service;
      service.max_concurrency = limit;
      CHECK(AdmittedByAll(nodes, "s", service) == limit);
      CHECK(AdmittedByAll(nodes, "other", service) == limit);
    }
  }
  ServiceSpec service;
  service.max_rate = 60;
  CHECK(AdmittedByAll(6, "s", service) == 60);
}

// Guards against a share that stays as it was when the nodes change.
TEST_CASE_FIXTURE(LimitFixture, "a changed share applies to the next request") {
  service.team = TeamName("unlimited");
  service.max_concurrency = 6;
  limiter.SetShare({0, 3});
  CHECK(EnterMany(10) == 2);
  limiter.SetShare({0, 2});
  CHECK(EnterMany(10) == 1);
  limiter.SetShare({0, 6});
  CHECK(EnterMany(10) == 0);
  for (int i = 0; i < 3; ++i) limiter.Leave(kName, service.team);
  CHECK(EnterMany(10) == 1);
  service.max_concurrency = 0;
  service.max_rate = 6;
  limiter.SetShare({0, 3});
  now += seconds(10);
  CHECK(EnterMany(10) == 2);
  now += seconds(1);
  CHECK(EnterMany(10) == 2);
  now += seconds(1);
  limiter.SetShare({0, 2});
  CHECK(EnterMany(10) == 3);
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retry budget is a tenth of requests with a floor") {
  const MonotonicTime start = seconds(100);
  RetryBudget budget(start);
  const auto take = [&budget](MonotonicTime at, int tries) {
    int taken = 0;
    for (int i = 0; i < tries; ++i) taken += budget.Take(at) ? 1 : 0;
    return taken;
  };
  CHECK(take(start, 100) == 3);
  CHECK(take(start + seconds(2), 100) == 2);
  for (int i = 0; i < 105; ++i) budget.OnRequest();
  CHECK(take(start + seconds(2), 100) == 10);
}

struct QueueFixture {
  bool Join(const char* service, const std::string& name,
            MonotonicTime wait = std::chrono::hours(1)) {
    WaitEntry entry;
    entry.service = ServiceName(service);
    entry.leave_at = base::MonotonicNow() + wait;
    entry.send = [this, service, name] {
      if (slots[service] == 0) return false;
      --slots[service];
      ended.push_back(name);
      return true;
    };
    entry.caller_gone = [this, name] { return name == gone; };
    entry.expired = [this, name] { ended.push_back(name + " expired"); };
    entry.abandoned = [this, name] { ended.push_back(name + " left"); };
    return queue.Join(std::move(entry));
  }
  void RunUntilEnded(std::size_t count) {
    test::RunUntil(loop, [&] { return ended.size() >= count; });
  }

  base::EventLoop loop;
  WaitQueue queue{loop, {}};
  std::map<std::string, int> slots;
  std::vector<std::string> ended;
  std::string gone;
};

using Names = std::vector<std::string>;

// Guards against a late request that overtakes an earlier one, and against a
// service without slots that holds up the others.
TEST_CASE_FIXTURE(QueueFixture, "queue is served in order of arrival") {
  REQUIRE(Join("a", "a1"));
  REQUIRE(Join("a", "a2"));
  REQUIRE(Join("b", "b1"));
  REQUIRE(Join("a", "a3"));
  slots["a"] = 2;
  queue.Wake();
  RunUntilEnded(2);
  CHECK(ended == Names{"a1", "a2"});
  slots["b"] = 1;
  queue.Wake();
  RunUntilEnded(3);
  CHECK(ended.back() == "b1");
  CHECK(queue.waiting() == 1);
}

// Guards against memory and delay that grow without bound under overload.
TEST_CASE_FIXTURE(QueueFixture, "queue of each service is bounded") {
  for (int i = 0; i < 64; ++i) REQUIRE(Join("a", "a"));
  CHECK_FALSE(Join("a", "one too many"));
  CHECK(Join("b", "b1"));
  CHECK(queue.waiting(ServiceName("a")) == 64);
}

// Guards against sends that nobody waits for any more.
TEST_CASE_FIXTURE(QueueFixture, "expired and abandoned waits leave unsent") {
  REQUIRE(Join("a", "late", MonotonicTime(1)));
  RunUntilEnded(1);
  REQUIRE(Join("a", "closed"));
  REQUIRE(Join("a", "open"));
  gone = "closed";
  RunUntilEnded(2);
  slots["a"] = 2;
  queue.Wake();
  RunUntilEnded(3);
  CHECK(ended == Names{"late expired", "closed left", "open"});
}

}  // namespace
}  // namespace mangospread::gateway
