// End-to-end tests on the platform with real processes: submission to
// completion with killed leaders, lost replies and an outage of the table.
#include <doctest/doctest.h>

#include <csignal>
#include <set>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kTasks = 4;
constexpr int kTaskMs = 150;

void AwaitComplete(ManagedCluster& site, std::size_t node,
                   const std::set<int>& submissions) {
  WaitUntil("all submissions are complete", kWaitTimeout, [&] {
    for (const int submission : submissions) {
      if (site.GetState(node, submission) != "complete") return false;
    }
    return true;
  });
}

/// Checks that no task ran twice or on two workers at once and that no worker
/// exceeded its capacity.
void CheckCounts(ManagedCluster& site) {
  const RunCounters counts = site.GetCounters();
  CheckNoTaskRanTwice(counts);
  CHECK(counts.overloads == 0);
}

// Guards against calls that succeed only at the leader.
TEST_CASE("every node serves every submission") {
  ManagedCluster site(3, 4);
  site.WaitUntilReady();
  std::set<int> accepted;
  for (int i = 1; i <= 12; ++i) {
    const auto node = static_cast<std::size_t>(i) % site.nodes();
    CHECK(site.Submit(node, i, kTasks, kTaskMs).status == kOk);
    // Submitting it again at another node does not create a second submission.
    CHECK(site.Submit((node + 1) % site.nodes(), i, kTasks, kTaskMs).status ==
          kOk);
    accepted.insert(i);
  }
  for (std::size_t node = 0; node < site.nodes(); ++node) {
    AwaitComplete(site, node, accepted);
  }
  CHECK(site.SendRequest(1, net::Method::kGet, 999).status == kGone);
  const Response metrics = Get(site.node(0).address("ready"), "/metrics");
  CHECK(metrics.status == kOk);
  for (const char* name :
       {"first_start", "start_answer", "end_noted", "store_call", "takeover"}) {
    const std::string bucket =
        "mangospread_" + std::string(name) + "_seconds_bucket{le=";
    CHECK(metrics.body.find(bucket) != std::string::npos);
  }
  CHECK(site.GetCounters().done == 12 * kTasks);
  CheckCounts(site);
}

// Guards against a submission that waits and of which no node says why, and
// against a follower that answers for the leader.
TEST_CASE("the leader says what a submission waits for, the others who leads") {
  constexpr int kNotFound = 404;
  constexpr int kLongMs = 20'000;
  ManagedCluster site(2, 1, 2);
  site.WaitUntilReady();
  REQUIRE(site.Submit(0, 1, 5, kLongMs).status == kOk);
  const std::size_t leader = site.AwaitServingLeader();
  const auto explain = [&](std::size_t node, const std::string& id) {
    return Get(site.node(node).address("ready"), "/v1/explain/" + id);
  };
  const std::string id(15, '0');
  WaitUntil("three tasks wait for processors", kWaitTimeout, [&] {
    const Response answer = explain(leader, id + "1");
    return answer.body.find(R"("reason":"no_room")") != std::string::npos &&
           answer.body.find(R"("tasks":3)") != std::string::npos &&
           answer.body.find(R"("processors":1)") != std::string::npos;
  });
  CHECK(explain(leader, id + "9").status == kNotFound);
  const Response other = explain(1 - leader, id + "1");
  CHECK(other.status == kUnavailable);
  CHECK(other.body.find(R"("leader":")") != std::string::npos);
  const std::string metrics =
      Get(site.node(leader).address("ready"), "/metrics").body;
  CHECK(metrics.find("mangospread_waiting_tasks{") != std::string::npos);
  CHECK(metrics.find("mangospread_free_millicores_while_waiting{") !=
        std::string::npos);
}

// Guards against work that is lost or done twice when the leader is killed
// while it accepts, starts and stores submissions. Each node is killed in turn,
// so the leader is among them.
TEST_CASE("killing nodes neither loses nor repeats work") {
  ManagedCluster site(3, 4);
  site.WaitUntilReady();
  std::set<int> accepted;
  int next = 1;
  for (std::size_t killed_node = 0; killed_node < site.nodes(); ++killed_node) {
    for (int i = 0; i < 8; ++i, ++next) {
      const auto node = static_cast<std::size_t>(i) % site.nodes();
      if (site.Submit(node, next, kTasks, kTaskMs).status == kOk) {
        accepted.insert(next);
      }
    }
    site.node(killed_node).Kill();
    site.RestartNode(killed_node);
    site.WaitUntilReady();
  }
  CHECK_FALSE(accepted.empty());
  AwaitComplete(site, 0, accepted);
  CheckCounts(site);
}

// Guards against refusing a submission that was stored and against losing one
// that was accepted.
TEST_CASE("responses stay correct after lost replies and an outage") {
  ManagedCluster site(2, 4);
  site.WaitUntilReady();
  std::set<int> accepted;
  site.SetTableFaults(R"({"lose_replies":2})");
  for (int i = 1; i <= 4; ++i) {
    const Response reply = site.Submit(0, i, kTasks, kTaskMs);
    if (reply.status == kOk) accepted.insert(i);
  }
  site.SetTableFaults(R"({"down":true})");
  std::set<int> refused;
  WaitUntil("submissions are refused", kWaitTimeout, [&] {
    const int id = 100 + static_cast<int>(refused.size());
    const Response reply = site.Submit(0, id, kTasks, kTaskMs);
    if (reply.status != kUnavailable) return false;
    CHECK(reply.headers.Has("Retry-After"));
    refused.insert(id);
    return refused.size() >= 3;
  });
  site.SetTableFaults(R"({"down":false})");
  WaitUntil("submissions are accepted again", kWaitTimeout,
            [&] { return site.Submit(1, 200, kTasks, kTaskMs).status == kOk; });
  accepted.insert(200);
  AwaitComplete(site, 0, accepted);
  for (const int id : refused) {
    CHECK(site.SendRequest(0, net::Method::kGet, id).status == kGone);
  }
  CheckCounts(site);
}

// Guards against confirming a cancellation while the work continues.
TEST_CASE("a cancelled submission stops") {
  ManagedCluster site(2, 2);
  site.WaitUntilReady();
  CHECK(site.Submit(0, 1, kTasks, 60'000).status == kOk);
  WaitUntil("the submission runs", kWaitTimeout,
            [&] { return site.GetCounters().starts == kTasks; });
  CHECK(site.SendRequest(1, net::Method::kDelete, 1).status == kOk);
  CHECK(site.GetState(0, 1) == "cancelled");
  // Its capacity is free again.
  CHECK(site.Submit(0, 2, 16, kTaskMs).status == kOk);
  AwaitComplete(site, 0, {2});
  CheckCounts(site);
}

// Guards against a planned stop that aborts requests and against a process that
// SIGHUP terminates.
TEST_CASE("a planned stop hands over the leadership and exits") {
  ManagedCluster site(2, 2);
  site.WaitUntilReady();
  kill(site.node(0).pid(), SIGHUP);
  kill(site.node(1).pid(), SIGHUP);
  CHECK(site.Submit(0, 1, kTasks, kTaskMs).status == kOk);
  site.node(0).Terminate();
  CHECK(site.node(0).Wait(Milliseconds(20'000)) == 0);
  WaitUntil("the other node serves alone", kWaitTimeout,
            [&] { return site.IsReady(1); });
  CHECK(site.Submit(1, 2, kTasks, kTaskMs).status == kOk);
  AwaitComplete(site, 1, {1, 2});
  CheckCounts(site);
}

}  // namespace
}  // namespace mangospread::testing
