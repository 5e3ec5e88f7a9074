#include "dispatch/worker/worker_session.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

// Guards against an unanswered start that takes effect seconds later.
TEST_CASE_FIXTURE(SessionFixture, "an unanswered start raises the fence") {
  RunFor(Milliseconds(50));
  REQUIRE(Count<Attached>() == 1);
  link->outcome = CommandOutcome::kUnknown;
  session->Start(MakeStart(1));
  RunFor(Milliseconds(50));
  CHECK(Count<Attached>() == 2);
  CHECK(link->renewals.back().fence > link->starts.back().fence);
  const auto& attached = std::get<Attached>(events.back().details);
  CHECK(attached.starts_seen == 1);
}

// Guards against starts that are sent after the fencing token was raised and
// before the worker's lists arrive, since the lists may not include them.
TEST_CASE_FIXTURE(SessionFixture, "starts wait for the worker's lists") {
  session->Start(MakeStart(1));
  CHECK(link->starts.empty());
  RunFor(Milliseconds(50));
  REQUIRE(link->starts.size() == 1);
  const auto& attached = std::get<Attached>(events.front().details);
  CHECK(attached.unsent.size() == 1);
}

// Guards against a start on behalf of a leader that is lost.
TEST_CASE_FIXTURE(SessionFixture,
                  "unsent starts are dropped when the leader is lost") {
  session->Start(MakeStart(1));
  session->DropUnsent();
  RunFor(Milliseconds(50));
  CHECK(link->starts.empty());
}

// Guards against a takeover that restarts a task whose end the former leader
// had not stored.
TEST_CASE_FIXTURE(SessionFixture, "an unacknowledged end is listed as a run") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(20));
  REQUIRE(session->CollectRuns().has_value());
  CHECK(session->CollectRuns()->runs.size() == 1);
  link->report.ended.push_back(
      {EndNumber(1), "a.0.0.1", Attempt(1), RunEnd::kDone, {}});
  RunFor(Milliseconds(300));
  CHECK(Count<RunEnded>() == 1);
  CHECK(session->CollectRuns()->runs.size() == 1);
  session->Acknowledge({VmName("w1"), WorkerIncarnation(7), EndNumber(1)});
  RunFor(Milliseconds(300));
  CHECK(session->CollectRuns()->runs.empty());
}

// Guards against a takeover that waits for the lease of a worker whose end was
// noticed while no leader was connected (previsur-cuotas-large scale-2, 9.9 s).
TEST_CASE_FIXTURE(SessionFixture,
                  "a new leader learns that a worker has ended") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(20));
  link->error = Errc::kNotOwner;
  RunFor(Milliseconds(400));
  REQUIRE(Count<WorkerEnded>() == 1);
  const auto collected = session->CollectRuns();
  REQUIRE(collected.has_value());
  CHECK(collected->ended);
  CHECK(collected->unreachable);
}

// Guards against an unreachable worker that is not detected, and against
// commands sent before that which take effect after it replies again.
TEST_CASE_FIXTURE(
    SessionFixture,
    "an unreachable worker is reported with its remaining lease") {
  RunFor(Milliseconds(50));
  link->unresponsive = true;
  RunFor(Milliseconds(3'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  const WorkerFence before = link->renewals.front().fence;
  link->unresponsive = false;
  RunFor(Milliseconds(3'000));
  CHECK(Count<Attached>() == 2);
  CHECK(link->renewals.back().fence > before);
}

// Guards against runs of a terminated worker process that are kept forever.
TEST_CASE_FIXTURE(SessionFixture, "a restarted worker is attached again") {
  RunFor(Milliseconds(50));
  link->report.incarnation = WorkerIncarnation(8);
  RunFor(Milliseconds(1'200));
  REQUIRE(Count<Attached>() == 2);
  CHECK(std::get<Attached>(events.back().details).incarnation ==
        WorkerIncarnation(8));
}

// Guards against state of a crashed process that is applied to a process that
// restarts at once under the same id. End numbers start again, so an old
// acknowledgement would drop unreported ends (soak test, seed 4), and a lease
// on the former clock would last for the longest time that workers accept.
TEST_CASE_FIXTURE(SessionFixture,
                  "a new process receives no state of the former process") {
  AcknowledgeEnd();
  RunFor(Milliseconds(300));
  REQUIRE(link->renewals.back().acknowledged == EndNumber(40));
  link->error = Errc::kConnectionLost;
  RunFor(Milliseconds(150));
  const std::size_t before = link->renewals.size();
  session->Start(MakeStart(1));
  RunFor(Milliseconds(30));
  CHECK(link->starts.empty());
  link->error.reset();
  link->report.incarnation = WorkerIncarnation(8);
  link->report.ended.clear();
  RunFor(Milliseconds(400));
  REQUIRE(Count<Attached>() == 2);
  for (std::size_t i = before; i < link->renewals.size(); ++i) {
    CHECK(link->renewals[i].acknowledged == EndNumber());
  }
  CHECK(link->renewals[before].lease_until == WorkerTime());
  REQUIRE(link->starts.size() == 1);
}

// Guards against starts, leases and acknowledgements for a former process that
// reach the new one after a restart between two renewals: only the closed
// connection indicates the restart.
TEST_CASE_FIXTURE(SessionFixture, "a lost connection may mean a new process") {
  AcknowledgeEnd();
  link->connected = false;
  session->Start(MakeStart(1));
  CHECK(link->starts.empty());
  const std::size_t before = link->renewals.size();
  RunFor(Milliseconds(300));
  REQUIRE(link->renewals.size() > before);
  CHECK(link->renewals[before].acknowledged == EndNumber());
  CHECK(link->renewals[before].lease_until == WorkerTime());
}

// Guards against a crash that cannot be attributed: the leader has to learn at
// once that the worker is silent, and a next leader which run had just started.
TEST_CASE_FIXTURE(SessionFixture, "a silent worker is reported at once") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(900));
  session->Start(MakeStart(2));
  RunFor(Milliseconds(10));
  link->error = Errc::kConnectionLost;
  RunFor(Milliseconds(150));
  const auto silent = [this] {
    return std::count_if(events.begin(), events.end(), [](const auto& event) {
      const auto* load = std::get_if<WorkerLoad>(&event.details);
      return load != nullptr && !load->responding;
    });
  };
  CHECK(silent() == 1);
  CHECK(Count<WorkerUnreachable>() == 0);
  link->error = Errc::kNotOwner;
  RunFor(Milliseconds(400));
  CHECK(silent() == 1);
  CHECK(Count<WorkerEnded>() == 1);
  const auto collected = session->CollectRuns();
  REQUIRE(collected);
  CHECK(collected->ended);
  REQUIRE(collected->runs.size() == 2);
  CHECK_FALSE(collected->runs[0].just_started);
  CHECK(collected->runs[1].just_started);
}

// Guards against a best-effort task that goes on at full speed while the leader
// considers it paused and never pauses it again.
TEST_CASE_FIXTURE(SessionFixture,
                  "a speed that the worker did not accept is sent again") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(10));
  for (const CommandOutcome refusal :
       {CommandOutcome::kUnhealthy, CommandOutcome::kNotSent,
        CommandOutcome::kStaleFence, CommandOutcome::kUnknown}) {
    CAPTURE(static_cast<int>(refusal));
    link->throttles.clear();
    link->outcome = refusal;
    session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 0});
    RunFor(Milliseconds(50));
    link->outcome = CommandOutcome::kAccepted;
    RunFor(Milliseconds(400));
    REQUIRE(link->throttles.size() >= 2);
    // Not a loop that occupies the worker.
    CHECK(link->throttles.size() <= 3);
    CHECK(link->throttles.back() == 0);
  }
  // The run has ended.
  link->throttles.clear();
  link->outcome = CommandOutcome::kSuperseded;
  session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 50});
  RunFor(Milliseconds(400));
  CHECK(link->throttles.size() == 1);
}

// Guards against a task that runs at full speed while the leader considers it
// slow: the command follows the start at once, and a worker refuses the speed
// of a run that it does not know.
TEST_CASE_FIXTURE(SessionFixture,
                  "the speed of a new run is sent once it has started") {
  SUBCASE("the start is answered later") { RunFor(Milliseconds(50)); }
  SUBCASE("the start waits for the worker's lists") {}
  SUBCASE("the start stays unanswered") {
    RunFor(Milliseconds(50));
    link->outcome = CommandOutcome::kUnknown;
  }
  session->Start(MakeStart(1));
  session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 30});
  CHECK(link->throttles.empty());
  RunFor(Milliseconds(10));
  link->outcome = CommandOutcome::kAccepted;
  RunFor(Milliseconds(400));
  REQUIRE(link->starts.size() == 1);
  REQUIRE_FALSE(link->throttles.empty());
  CHECK(link->throttles.back() == 30);
}

// Guards against acknowledging ends of a former process to the new one after a
// restart during which the loss of the connection was not detected.
TEST_CASE_FIXTURE(
    SessionFixture,
    "ends of a former process are not acknowledged to a new one") {
  AcknowledgeEnd();
  RunFor(Milliseconds(300));
  link->report.incarnation = WorkerIncarnation(8);
  link->report.ended.clear();
  RunFor(Milliseconds(600));
  const auto first =
      std::find(link->renewal_incarnations.begin(),
                link->renewal_incarnations.end(), WorkerIncarnation(8));
  // At most one renewal reaches the new process with the former state.
  const auto next =
      static_cast<std::size_t>(first - link->renewal_incarnations.begin()) + 1;
  REQUIRE(link->renewals.size() > next);
  for (std::size_t i = next; i < link->renewals.size(); ++i) {
    CHECK(link->renewals[i].acknowledged == EndNumber());
  }
}

// Guards against a best-effort task that another session has paused: nobody
// lets it go on, and it is then stopped as stalled, which counts against the
// worker (karaagac-travers-grown trouble-2).
TEST_CASE_FIXTURE(SessionFixture,
                  "a best-effort run that is found gets its speed again") {
  RunFor(Milliseconds(50));
  DescribeRun found{VmName("w1"), "a.0.0.1", Attempt(1), {}, 60};
  found.traits.best_effort = true;
  session->Describe(found);
  session->Describe(found);
  DescribeRun urgent{VmName("w1"), "a.0.0.2", Attempt(1), {}, 100};
  session->Describe(urgent);
  CHECK(link->throttles == std::vector{60});
}

// Guards against a best-effort task that stays paused for ever: the
// latency-critical task for which it was paused has ended, and the leader
// changes speeds only by reports.
TEST_CASE_FIXTURE(
    SessionFixture,
    "a throttled run is reported without a latency-critical one") {
  RunFor(Milliseconds(50));
  StartRun start = MakeStart(1);
  start.traits.best_effort = true;
  session->Start(start);
  link->report.running.push_back({"a.0.0.1", Attempt(1), {}, 30, 0});
  RunFor(Milliseconds(2'000));
  CHECK(Count<WorkerLoad>() == 0);
  session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 0});
  RunFor(Milliseconds(2'000));
  CHECK(Count<WorkerLoad>() > 0);
  session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 100});
  RunFor(Milliseconds(500));
  const int reported = Count<WorkerLoad>();
  RunFor(Milliseconds(2'000));
  CHECK(Count<WorkerLoad>() == reported);
}

// Guards against a takeover that gives all throttled runs their full speed,
// since the next leader doesn't know their speeds (HARM).
TEST_CASE_FIXTURE(SessionFixture, "a report names the speeds of the runs") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  session->Throttle({VmName("w1"), "a.0.0.1", Attempt(1), 30});
  REQUIRE(session->CollectRuns());
  REQUIRE(session->CollectRuns()->runs.size() == 1);
  CHECK(session->CollectRuns()->runs[0].percent == 30);
  // The session of the next leader, which may be lost before it describes the
  // run.
  Assignment assignment;
  assignment.worker.vm = VmName("w1");
  assignment.fence = WorkerFence(6 * kFenceStride);
  SUBCASE("the same agent goes on") {}
  SUBCASE("another agent goes on") {
    assignment.known_runs = session->CollectRuns()->runs;
  }
  const auto next = WorkerSession::Create(
      loop, link, assignment, WorkerSessionOptions(), [](const AgentEvent&) {},
      {[] { return Permission::kStarts; }, [](MonotonicTime) { return true; }},
      [](Timing, MonotonicTime) {});
  next->ContinueFrom(*session);
  REQUIRE(next->CollectRuns());
  REQUIRE(next->CollectRuns()->runs.size() == 1);
  CHECK(next->CollectRuns()->runs[0].percent == 30);
  next->Close();
}

// Guards against a stalled task that makes its submission miss its target.
TEST_CASE_FIXTURE(SessionFixture, "a run without progress is reported once") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  link->report.running.push_back({"a.0.0.1", Attempt(1), {}, 30, 0});
  RunFor(Milliseconds(4'000));
  CHECK(Count<RunStalled>() == 1);
}

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
