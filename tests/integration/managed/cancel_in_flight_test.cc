// Guards against tasks that run although the cancelling of their submission was
// acknowledged while it was on its way to the store or to the leader (UNASKED).
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr std::size_t kNodes = 3;
constexpr int kTasks = 2;
/// Long enough that a submission which was not cancelled is still running, or
/// complete, when its state is asked for.
constexpr int kTaskMs = 3'000;
constexpr milliseconds kUsualDelay{0};

bool IsAcknowledged(const Response& response) {
  return response.ok() && (response.status == kOk || response.status == kGone);
}

/// One submission and its cancelling, sent to two nodes.
struct Cancelling {
  int submission = 0;
  std::size_t submit_node = 0;
  std::size_t cancel_node = 0;
  milliseconds after{0};  ///< From the submission to its cancelling.
  Response reply{};       ///< To the cancelling.
};

void Run(ManagedCluster& site, Cancelling& cancelling) {
  std::thread caller([&] {
    site.Submit(cancelling.submit_node, cancelling.submission, kTasks, kTaskMs);
  });
  std::this_thread::sleep_for(cancelling.after);
  cancelling.reply = site.SendRequest(
      cancelling.cancel_node, net::Method::kDelete, cancelling.submission);
  caller.join();
}

/// Cancels `count` submissions at different moments, all at the same time.
std::vector<Cancelling> RunAll(ManagedCluster& site, int first, int count,
                               milliseconds longest) {
  std::vector<Cancelling> all;
  for (int i = 0; i < count; ++i) {
    const auto node = static_cast<std::size_t>(i) % kNodes;
    const auto other = (node + static_cast<std::size_t>(i) / kNodes) % kNodes;
    all.push_back({first + i, node, other, longest * i / count});
  }
  std::vector<std::thread> callers;
  callers.reserve(all.size());
  for (Cancelling& cancelling : all) {
    callers.emplace_back(Run, std::ref(site), std::ref(cancelling));
  }
  for (std::thread& caller : callers) caller.join();
  return all;
}

/// Checks that an acknowledged cancelling holds, also after a copy of the
/// submission that arrives late.
void CheckHolds(ManagedCluster& site, const Cancelling& cancelling) {
  CAPTURE(cancelling.submission);
  CAPTURE(cancelling.after.count());
  CAPTURE(cancelling.reply.status);
  REQUIRE(IsAcknowledged(cancelling.reply));
  Response copy;
  WaitUntil("a late copy is accepted", kWaitTimeout, [&] {
    copy = site.Submit(cancelling.cancel_node, cancelling.submission, kTasks,
                       kTaskMs);
    return copy.ok() && copy.status == kOk;
  });
  CHECK(site.GetState(cancelling.submit_node, cancelling.submission) ==
        "cancelled");
  const bool started = site.GetCounters().started.contains(
      SubmissionIdOf(cancelling.submission));
  CHECK_FALSE((cancelling.reply.status == kGone && started));
}

/// Checks those that were acknowledged, at least one.
void CheckAcknowledgedHold(ManagedCluster& site,
                           const std::vector<Cancelling>& all) {
  int acknowledged = 0;
  for (const Cancelling& cancelling : all) {
    if (!IsAcknowledged(cancelling.reply)) continue;
    ++acknowledged;
    CheckHolds(site, cancelling);
  }
  CHECK(acknowledged > 0);
}

TEST_CASE("an acknowledged cancelling of a submission in flight holds") {
  constexpr int kCount = 24;
  ManagedCluster site(kNodes, 4);
  site.WaitUntilReady();
  static_cast<void>(site.AwaitServingLeader());
  int first = 1;
  for (const milliseconds delay : {milliseconds(0), milliseconds(30),
                                   milliseconds(120), milliseconds(300)}) {
    CAPTURE(delay.count());
    site.DelayTable(delay);
    const auto all = RunAll(site, first, kCount, 6 * delay);
    first += kCount;
    site.DelayTable(kUsualDelay);
    CheckAcknowledgedHold(site, all);
  }
  CHECK(DescribeUnexpectedEnds().empty());
}

TEST_CASE("it holds if the leader is killed meanwhile") {
  constexpr int kCount = 24;
  constexpr milliseconds kDelay{10};
  // Longer than a takeover.
  constexpr milliseconds kLongest{3'000};
  ManagedCluster site(kNodes, 4);
  site.WaitUntilReady();
  int first = 1;
  for (const milliseconds killed_after :
       {milliseconds(20), milliseconds(150), milliseconds(400)}) {
    CAPTURE(killed_after.count());
    const std::size_t leader = site.AwaitServingLeader();
    site.DelayTable(kDelay);
    std::thread killer([&] {
      std::this_thread::sleep_for(killed_after);
      site.node(leader).Kill();
    });
    const auto all = RunAll(site, first, kCount, kLongest);
    first += kCount;
    killer.join();
    site.DelayTable(kUsualDelay);
    site.RestartNode(leader);
    site.WaitUntilReady();
    static_cast<void>(site.AwaitServingLeader());
    CheckAcknowledgedHold(site, all);
  }
  CHECK(DescribeUnexpectedEnds().empty());
}

TEST_CASE("it holds for a submission that waits at a paused node") {
  ManagedCluster site(kNodes, 4);
  site.WaitUntilReady();
  const std::size_t leader = site.AwaitServingLeader();
  const std::size_t paused = (leader + 1) % kNodes;
  Cancelling cancelling{1, leader, (leader + 2) % kNodes, milliseconds(0)};
  site.node(paused).Pause();
  std::thread caller([&] { site.Submit(paused, 1, kTasks, kTaskMs); });
  std::this_thread::sleep_for(milliseconds(200));
  cancelling.reply =
      site.SendRequest(cancelling.cancel_node, net::Method::kDelete, 1);
  site.node(paused).Resume();
  caller.join();
  REQUIRE(cancelling.reply.status == kGone);
  CheckHolds(site, cancelling);
}

TEST_CASE("it holds under the next leader") {
  ManagedCluster site(kNodes, 4);
  site.WaitUntilReady();
  const std::size_t leader = site.AwaitServingLeader();
  const std::size_t other = (leader + 1) % kNodes;
  // The submission has not arrived anywhere yet.
  Cancelling cancelling{1, other, other, milliseconds(0)};
  cancelling.reply = site.SendRequest(other, net::Method::kDelete, 1);
  REQUIRE(cancelling.reply.status == kGone);
  CHECK(site.SendRequest(other, net::Method::kGet, 1).status == kGone);
  site.node(leader).Kill();
  static_cast<void>(site.AwaitServingLeader());
  CheckHolds(site, cancelling);
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
