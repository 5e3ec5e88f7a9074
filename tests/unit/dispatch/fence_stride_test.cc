// The fencing tokens of an assignment that lasts for long.
#include <doctest/doctest.h>

#include "unit/dispatch/leader_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against a start that is carried out late and takes effect: its session
// had used up the fencing tokens of the assignment and raised the token no more
// (review case 7, TWICE).
TEST_CASE_FIXTURE(LeaderFixture,
                  "an assignment is replaced before its tokens are used up") {
  Lead(1);
  ListWorkers({"w1"});
  WorkerFence last = fences[VmName("w1")];
  int since_last = 0;
  int replaced = 0;
  for (int attachment = 0; attachment < 5'000; ++attachment) {
    leader->OnAgentEvent(NodeId("agent"),
                         {VmName("w1"), fences[VmName("w1")],
                          Attached{WorkerIncarnation(1), 1'000, {}, {}, {}}});
    ++since_last;
    const WorkerFence fence = fences[VmName("w1")];
    if (fence == last) continue;
    CHECK(fence.value() >= last.value() + kFenceStride);
    CHECK(2 * since_last < static_cast<int>(kFenceStride));
    last = fence;
    since_last = 0;
    ++replaced;
  }
  CHECK(replaced >= 10);
  CHECK(2 * since_last < static_cast<int>(kFenceStride));
}

// Guards against more raises in one attachment than the leader counts on.
TEST_CASE_FIXTURE(SessionFixture,
                  "the token is raised at most twice for each attachment") {
  RunFor(Milliseconds(50));
  link->outcome = CommandOutcome::kUnknown;
  for (std::uint64_t number = 1; number <= 100; ++number) {
    if (number % 3 == 0) link->unresponsive = true;
    session->Start(MakeStart(number));
    RunFor(Milliseconds(number % 3 == 0 ? 2'500 : 20));
    link->unresponsive = false;
    RunFor(Milliseconds(400));
    const auto raises = link->renewals.back().fence.value() -
                        session->assignment_fence().value();
    CHECK(static_cast<int>(raises) <= 2 * Count<Attached>());
  }
  CHECK(Count<Attached>() >= 100);
}

}  // namespace
}  // namespace mangospread::dispatch::test
