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

const ServiceName kServiceName("s");

struct LimitFixture {
  LimitFixture() {
    store.InstallSnapshot(Revision(), {});
    store.Install({Revision(1),
                   {ResourceKind::kTeam, "t"},
                   false,
                   R"({"max_rate":4,"max_concurrency":3})"});
    service.team = TeamName("t");
  }
  int AdmitMany(int count) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      admitted += limiter.Admit(kServiceName, service).count() == 0 ? 1 : 0;
    }
    return admitted;
  }

  config::Store store;
  MonotonicTime now = seconds(100);
  Limiter limiter{store, [this] { return now; }};
  ServiceSpec service;
};

// Guards against a service or team that exceeds its limits and so uses up the
// capacity that the others on the node need.
TEST_CASE_FIXTURE(LimitFixture,
                  "rate and concurrency of service and team are limited") {
  service.max_rate = 2;
  CHECK(AdmitMany(10) == 2);
  CHECK(limiter.Admit(kServiceName, service) == milliseconds(500));
  service.max_rate = 0;
  CHECK(AdmitMany(10) == 1);  // The team's third concurrent request.
  for (int i = 0; i < 3; ++i) limiter.EndRequest(kServiceName, service.team);
  CHECK(AdmitMany(10) == 1);  // The team's fourth request of this second.
  limiter.EndRequest(kServiceName, service.team);
  now += seconds(1);
  service.max_concurrency = 2;
  CHECK(AdmitMany(10) == 2);
  CHECK(limiter.refused() > 0);
}

/// Number of requests that all nodes together admit at the same instant.
int AdmittedByAll(std::size_t nodes, const char* name, ServiceSpec service) {
  int admitted = 0;
  for (std::size_t index = 0; index < nodes; ++index) {
    LimitFixture node;
    service.team = TeamName("unlimited");
    node.limiter.SetShare({index, nodes});
    while (node.limiter.Admit(ServiceName(name), service).count() == 0) {
      ++admitted;
    }
  }
  return admitted;
}

// Guards against nodes that each admit the whole limit, or that together admit
// less than it, also when the limit is not divisible by the number of nodes.
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

// Guards against a share that is not updated when the set of nodes changes.
TEST_CASE_FIXTURE(LimitFixture, "a changed share applies to the next request") {
  service.team = TeamName("unlimited");
  service.max_concurrency = 6;
  limiter.SetShare({0, 3});
  CHECK(AdmitMany(10) == 2);
  limiter.SetShare({0, 2});
  CHECK(AdmitMany(10) == 1);
  limiter.SetShare({0, 6});
  CHECK(AdmitMany(10) == 0);
  for (int i = 0; i < 3; ++i) limiter.EndRequest(kServiceName, service.team);
  CHECK(AdmitMany(10) == 1);
  service.max_concurrency = 0;
  service.max_rate = 6;
  limiter.SetShare({0, 3});
  now += seconds(10);
  CHECK(AdmitMany(10) == 2);
  now += seconds(1);
  CHECK(AdmitMany(10) == 2);
  now += seconds(1);
  limiter.SetShare({0, 2});
  CHECK(AdmitMany(10) == 3);
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retry budget is a tenth of requests, at least one a second") {
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
  bool Enqueue(const char* service, const std::string& name,
               MonotonicTime wait = std::chrono::hours(1)) {
    WaitEntry entry;
    entry.service = ServiceName(service);
    entry.expires_at = base::MonotonicNow() + wait;
    entry.send = [this, service, name] {
      if (slots[service] == 0) return false;
      --slots[service];
      ended.push_back(name);
      return true;
    };
    entry.is_disconnected = [this, name] { return name == disconnected; };
    entry.expired = [this, name] { ended.push_back(name + " expired"); };
    entry.abandoned = [this, name] { ended.push_back(name + " left"); };
    return queue.Enqueue(std::move(entry));
  }
  void RunUntilEnded(std::size_t count) {
    test::RunUntil(loop, [&] { return ended.size() >= count; });
  }

  base::EventLoop loop;
  WaitQueue queue{loop, {}};
  std::map<std::string, int> slots;
  std::vector<std::string> ended;
  std::string disconnected;
};

using Names = std::vector<std::string>;

// Guards against a request that is sent before an earlier one of its service,
// and against a service without free slots that blocks the others.
TEST_CASE_FIXTURE(QueueFixture, "queue is served in order of arrival") {
  REQUIRE(Enqueue("a", "a1"));
  REQUIRE(Enqueue("a", "a2"));
  REQUIRE(Enqueue("b", "b1"));
  REQUIRE(Enqueue("a", "a3"));
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

// Guards against unbounded memory use and delay under overload.
TEST_CASE_FIXTURE(QueueFixture, "queue of each service is bounded") {
  for (int i = 0; i < 64; ++i) REQUIRE(Enqueue("a", "a"));
  CHECK_FALSE(Enqueue("a", "one too many"));
  CHECK(Enqueue("b", "b1"));
  CHECK(queue.waiting(ServiceName("a")) == 64);
}

// Guards against sending requests that have expired or whose caller has
// disconnected.
TEST_CASE_FIXTURE(QueueFixture, "expired and abandoned requests are not sent") {
  REQUIRE(Enqueue("a", "late", MonotonicTime(1)));
  RunUntilEnded(1);
  REQUIRE(Enqueue("a", "closed"));
  REQUIRE(Enqueue("a", "open"));
  disconnected = "closed";
  RunUntilEnded(2);
  slots["a"] = 2;
  queue.Wake();
  RunUntilEnded(3);
  CHECK(ended == Names{"late expired", "closed left", "open"});
}

}  // namespace
}  // namespace mangospread::gateway
