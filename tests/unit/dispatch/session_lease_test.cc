// Leases and permissions of a worker session, and what it reports of them.
#include <doctest/doctest.h>

#include <optional>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

// Guards against a takeover that waits for a whole lease of a worker that
// stopped responding long before.
TEST_CASE_FIXTURE(SessionFixture, "a report names the time left of the lease") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(300));
  REQUIRE(session->CollectRuns());
  CHECK(session->CollectRuns()->renewing);
  CHECK(session->CollectRuns()->lease_left > kWorkerLease - Milliseconds(100));
  link->unresponsive = true;
  RunFor(Milliseconds(3'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  CHECK_FALSE(session->CollectRuns()->renewing);
  CHECK(session->CollectRuns()->lease_left < Milliseconds(3'700));
  RunFor(Milliseconds(5'000));
  CHECK(session->CollectRuns()->lease_left == Milliseconds(0));
}

// Guards against a takeover that counts the leases of a session from the
// takeover on, or from a renewal that has granted none.
TEST_CASE_FIXTURE(SessionFixture, "a session tells when it granted a lease") {
  CHECK(session->last_grant_at() == MonotonicTime(0));
  RunFor(Milliseconds(300));
  const MonotonicTime renewed_at = session->last_grant_at();
  CHECK(base::MonotonicNow() - renewed_at < Milliseconds(300));
  session->Start(MakeStart(1));
  CHECK(session->last_grant_at() == base::MonotonicNow());
  session->StopExtending();
  const MonotonicTime granted_at = session->last_grant_at();
  RunFor(Milliseconds(2'000));
  CHECK(session->last_grant_at() == granted_at);
}

// Guards against a lease that is extended after the next leader counts it as
// expired.
TEST_CASE_FIXTURE(SessionFixture, "no lease is extended without permission") {
  RunFor(Milliseconds(300));
  permission = Permission::kNone;
  const MonotonicTime granted_at = session->last_grant_at();
  const std::size_t renewals = link->renewals.size();
  RunFor(Milliseconds(1'000));
  CHECK(session->last_grant_at() == granted_at);
  CHECK(link->renewals.size() > renewals);
  CHECK(link->renewals.back().lease_until == WorkerTime());
  permission = Permission::kLeases;
  RunFor(Milliseconds(1'000));
  CHECK(session->last_grant_at() > granted_at);
}

// Guards against a lease that is extended while the leader, which has not read
// of the attachment yet, gives up the runs when the former lease expires
// (TWICE).
TEST_CASE_FIXTURE(SessionFixture,
                  "a lease waits until the leader knows of the attachment") {
  const auto extends = [&] {
    const MonotonicTime granted_at = session->last_grant_at();
    RunFor(Milliseconds(1'200));
    return session->last_grant_at() > granted_at;
  };
  CHECK(extends());
  link->unresponsive = true;
  RunFor(Milliseconds(3'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  handled_at = base::MonotonicNow();
  link->unresponsive = false;
  const int attached = Count<Attached>();
  CHECK_FALSE(extends());
  CHECK(Count<Attached>() > attached);
  handled_at = base::MonotonicNow();
  CHECK(extends());
  // It stays known.
  handled_at -= Milliseconds(500);
  CHECK(extends());
}

// Guards against a run that is started after its leader has given it up.
TEST_CASE_FIXTURE(SessionFixture, "a start waits for permission") {
  RunFor(Milliseconds(50));
  permission = Permission::kLeases;
  session->Start(MakeStart(1));
  RunFor(Milliseconds(1'000));
  CHECK(link->starts.empty());
  SUBCASE("permitted later") {
    permission = Permission::kStarts;
    session->SendPermittedStarts();
    CHECK(link->starts.size() == 1);
  }
  SUBCASE("given up") {
    session->DropUnsent();
    permission = Permission::kStarts;
    RunFor(Milliseconds(1'000));
    CHECK(link->starts.empty());
  }
}

// Guards against a start on a worker that has reported in the meantime that it
// drains (DRAIN): the leader does not withdraw a start that waits.
TEST_CASE_FIXTURE(SessionFixture, "a start that waited too long is not sent") {
  // Some installations allow no start 2 s after the report.
  constexpr Milliseconds kShortestDrainTime{2'000};
  RunFor(Milliseconds(50));
  permission = Permission::kLeases;
  session->Start(MakeStart(1));
  RunFor(kShortestDrainTime);
  permission = Permission::kStarts;
  session->SendPermittedStarts();
  CHECK(link->starts.empty());
  // The leader has to know that it may place the task elsewhere.
  REQUIRE(Count<RunNotStarted>() == 1);
  for (const AgentEvent& event : events) {
    const auto* refused = std::get_if<RunNotStarted>(&event.details);
    if (refused == nullptr) continue;
    CHECK(refused->task == MakeStart(1).task);
    CHECK(refused->reason == CommandOutcome::kNotSent);
  }
  session->Start(MakeStart(2));
  CHECK(link->starts.size() == 1);
}

// Guards against runs that nobody knows after a takeover which took longer than
// the agents serve workers without a leader.
TEST_CASE_FIXTURE(SessionFixture, "a suspended session keeps its runs") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(300));
  session->Suspend();
  const std::size_t renewals = link->renewals.size();
  RunFor(Milliseconds(2'000));
  CHECK(link->renewals.size() == renewals);
  REQUIRE(session->CollectRuns());
  CHECK(session->CollectRuns()->runs.size() == 1);
  CHECK_FALSE(session->CollectRuns()->renewing);
  session->Close();
  CHECK_FALSE(session->CollectRuns());
}

// Guards against an assignment that makes the agent forget what it knew of a
// worker which does not respond.
TEST_CASE_FIXTURE(SessionFixture,
                  "a session goes on from the former one on the agent") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(300));
  link->unresponsive = true;
  RunFor(Milliseconds(1'400));
  Assignment assignment;
  assignment.worker.vm = VmName("w1");
  assignment.fence = WorkerFence(6 * kFenceStride);
  const auto next = WorkerSession::Create(
      loop, link, assignment, WorkerSessionOptions(),
      [this](AgentEvent event) { events.push_back(std::move(event)); },
      {[this] { return permission; },
       [this](MonotonicTime emitted_at) { return emitted_at <= handled_at; }},
      [](Timing, MonotonicTime) {});
  REQUIRE_FALSE(next->CollectRuns());
  next->ContinueFrom(*session);
  session->Close();
  next->Begin();
  RunFor(Milliseconds(900));
  REQUIRE(next->CollectRuns());
  CHECK(next->CollectRuns()->runs.size() == 1);
  CHECK(next->CollectRuns()->lease_left < kWorkerLease - Milliseconds(1'500));
  CHECK(next->CollectRuns()->lease_left > kWorkerLease - Milliseconds(3'000));
  // The time without a reply counts from the last reply to the former session.
  CHECK(Count<WorkerUnreachable>() == 1);
  next->Close();
}

// Guards against a second run: the leader has given up the worker's runs when
// the lease expired, and releases the session only once that is stored.
TEST_CASE_FIXTURE(SessionFixture,
                  "a start that waited beyond the lease is not sent") {
  RunFor(Milliseconds(300));
  link->unresponsive = true;
  RunFor(Milliseconds(200));
  link->connected = false;
  session->Start(MakeStart(1));
  RunFor(Milliseconds(9'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  // The leader may place the task elsewhere before the worker replies.
  CHECK(Count<RunNotStarted>() == 1);
  link->connected = true;
  link->unresponsive = false;
  RunFor(Milliseconds(1'500));
  REQUIRE(Count<Attached>() == 2);
  CHECK(link->starts.empty());
  CHECK(Count<RunNotStarted>() == 1);
}

// Guards against leases that an agent extends after it has lost its leader:
// that one counts them from the loss.
TEST_CASE_FIXTURE(SessionFixture,
                  "a session without a leader extends no lease") {
  RunFor(Milliseconds(300));
  REQUIRE(session->CollectRuns());
  CHECK(session->CollectRuns()->renewing);
  session->StopExtending();
  const std::size_t before = link->renewals.size();
  RunFor(Milliseconds(2'000));
  REQUIRE(link->renewals.size() > before);
  for (std::size_t i = before; i < link->renewals.size(); ++i) {
    CHECK(link->renewals[i].lease_until == WorkerTime());
  }
  CHECK_FALSE(session->CollectRuns()->renewing);
  CHECK(session->CollectRuns()->lease_left <
        kWorkerLease - Milliseconds(1'500));
}

// Guards against a lease that counts as expired though another agent has
// renewed it since this one lost its leader.
TEST_CASE_FIXTURE(SessionFixture, "an outdated session reports no lease") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  link->unresponsive = true;
  RunFor(Milliseconds(3'000));
  session->SuspendOutdated();
  REQUIRE(session->CollectRuns());
  CHECK(session->CollectRuns()->runs.size() == 1);
  CHECK_FALSE(session->CollectRuns()->lease_left);
  CHECK_FALSE(session->CollectRuns()->unreachable);
}

}  // namespace
}  // namespace mangospread::dispatch
