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

}  // namespace
}  // namespace mangospread::dispatch
