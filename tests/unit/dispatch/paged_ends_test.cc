// Guards against tasks that run twice because a worker lists more ends than one
// reply holds: a run that is in neither list may have ended as done.
#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/dispatch/leader_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr const char* kFirst = "a.0.0.1";
constexpr const char* kSecond = "a.0.0.2";
constexpr const char* kThird = "a.0.0.3";

EndedRun Done(std::uint64_t number, const char* task) {
  return {EndNumber(number), task, Attempt(1), RunEnd::kDone, {}};
}

/// A worker that lists two ends in a reply and has three.
struct PagedFixture : SessionFixture {
  PagedFixture() {
    link->ends_per_reply = 2;
    link->report.ended = {Done(1, kFirst), Done(2, kSecond), Done(3, kThird)};
  }

  /// Replaces the session by that of another assignment.
  void Assign(std::optional<std::vector<RunId>> known_runs = std::nullopt) {
    session->Close();
    Assignment assignment;
    assignment.worker.vm = VmName("w1");
    assignment.fence = WorkerFence(6 * kFenceStride);
    assignment.known_runs = std::move(known_runs);
    session = WorkerSession::Create(
        loop, link, assignment, WorkerSessionOptions(),
        [this](AgentEvent event) { events.push_back(std::move(event)); },
        {[this] { return permission; },
         [this](MonotonicTime emitted_at) { return emitted_at <= handled_at; }},
        [](Timing, MonotonicTime) {});
    session->Begin();
    RunFor(Milliseconds(20));
  }

  void Acknowledge(std::uint64_t number, std::uint64_t incarnation = 7) {
    session->Acknowledge(
        {VmName("w1"), WorkerIncarnation(incarnation), EndNumber(number)});
    RunFor(Milliseconds(20));
  }

  int CountComplete() const {
    return static_cast<int>(
        std::count_if(events.begin(), events.end(), [](const AgentEvent& e) {
          const auto* attached = std::get_if<Attached>(&e.details);
          return attached != nullptr && attached->complete;
        }));
  }

  /// Tasks of the runs that the session reports for the next leader.
  std::vector<std::string> CollectTasks() const {
    std::vector<std::string> tasks;
    const auto collected = session->CollectRuns();
    REQUIRE(collected.has_value());
    for (const RunId& run : collected->runs) tasks.push_back(run.task);
    std::sort(tasks.begin(), tasks.end());
    return tasks;
  }
};

TEST_CASE_FIXTURE(PagedFixture,
                  "a cut list of ends is reported as incomplete") {
  Assign();
  RunFor(Milliseconds(2'000));
  REQUIRE(Count<Attached>() == 1);
  CHECK(CountComplete() == 0);
  CHECK_FALSE(session->CollectRuns().has_value());
  // The leader cannot store the ends, and the runs go on.
  CHECK(link->renewals.back().lease_until.value() > 0);
  Acknowledge(2);
  REQUIRE(CountComplete() == 1);
  const auto& attached = std::get<Attached>(events.back().details);
  REQUIRE(attached.ended.size() == 1);
  CHECK(attached.ended[0].task == kThird);
  CHECK(session->CollectRuns().has_value());
}

TEST_CASE_FIXTURE(PagedFixture, "a list that ends at its limit is read again") {
  link->report.ended.pop_back();
  Assign();
  CHECK(CountComplete() == 0);
  Acknowledge(2);
  CHECK(CountComplete() == 1);
  // The worker need not wait for another end.
  const auto next = std::find_if(link->renewals.begin(), link->renewals.end(),
                                 [](const RenewCommand& renewal) {
                                   return renewal.acknowledged == EndNumber(2);
                                 });
  REQUIRE(next != link->renewals.end());
  CHECK(next->max_wait == Milliseconds(0));
}

TEST_CASE_FIXTURE(PagedFixture, "ends of the pages between are reported") {
  link->report.ended.push_back(Done(4, "a.0.0.4"));
  link->report.ended.push_back(Done(5, "a.0.0.5"));
  Assign();
  Acknowledge(2);
  CHECK(Count<RunEnded>() == 2);
  CHECK(CountComplete() == 0);
  Acknowledge(4);
  CHECK(Count<RunEnded>() == 2);
  CHECK(CountComplete() == 1);
}

TEST_CASE_FIXTURE(PagedFixture, "starts are refused while ends are read") {
  Assign();
  session->Start(MakeStart(9));
  RunFor(Milliseconds(20));
  CHECK(Count<RunNotStarted>() == 1);
  Acknowledge(2);
  CHECK(link->starts.empty());
  session->Start(MakeStart(10));
  CHECK(link->starts.size() == 1);
}

// The next leader would start them again.
TEST_CASE_FIXTURE(PagedFixture, "known runs are kept while ends are read") {
  Assign(std::vector<RunId>{
      {kFirst, Attempt(1)}, {kSecond, Attempt(1)}, {kThird, Attempt(1)}});
  CHECK(CollectTasks() == std::vector<std::string>{kFirst, kSecond, kThird});
  Acknowledge(1);
  CHECK(CollectTasks() == std::vector<std::string>{kSecond, kThird});
  Acknowledge(2);
  CHECK(CollectTasks() == std::vector<std::string>{kThird});
  Acknowledge(3);
  CHECK(CollectTasks().empty());
}

TEST_CASE_FIXTURE(PagedFixture,
                  "an unanswered start while ends wait for the leader") {
  link->report.ended.clear();
  RunFor(Milliseconds(50));
  REQUIRE(CountComplete() == 1);
  link->report.ended = {Done(1, kFirst), Done(2, kSecond), Done(3, kThird)};
  RunFor(Milliseconds(700));
  REQUIRE(Count<RunEnded>() == 2);
  link->outcome = CommandOutcome::kUnknown;
  session->Start(MakeStart(9));
  RunFor(Milliseconds(500));
  CHECK(Count<Attached>() == 2);
  CHECK(CountComplete() == 1);
  Acknowledge(2);
  CHECK(CountComplete() == 2);
}

TEST_CASE_FIXTURE(PagedFixture, "a new process in the midst of reading ends") {
  Assign(std::vector<RunId>{{kThird, Attempt(1)}});
  link->report.incarnation = WorkerIncarnation(8);
  RunFor(Milliseconds(200));
  CHECK(Count<Attached>() == 2);
  CHECK_FALSE(session->CollectRuns().has_value());
  Acknowledge(2);
  CHECK(CountComplete() == 0);
  Acknowledge(2, 8);
  CHECK(CountComplete() == 1);
}

TEST_CASE_FIXTURE(PagedFixture,
                  "a worker that falls silent in the midst of reading ends") {
  Assign();
  link->unresponsive = true;
  RunFor(Milliseconds(3'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  link->unresponsive = false;
  RunFor(Milliseconds(2'000));
  CHECK(Count<Attached>() == 2);
  CHECK(CountComplete() == 0);
  Acknowledge(2);
  CHECK(CountComplete() == 1);
}

// The leader would count the worker as silent, and suspect its runs.
TEST_CASE_FIXTURE(PagedFixture,
                  "a worker that misses one reply while ends are read") {
  Assign();
  link->error = Errc::kTimeout;
  RunFor(Milliseconds(200));
  link->error = std::nullopt;
  RunFor(Milliseconds(500));
  REQUIRE(Count<WorkerLoad>() == 2);
  CHECK(std::get<WorkerLoad>(events.back().details).responding);
  CHECK(Count<Attached>() == 1);
}

/// Two runs on a worker that reports an incomplete list without them.
struct IncompleteFixture : DispatcherFixture {
  IncompleteFixture() {
    AddWorker("w1");
    Add("a", {MakeStep(2, 1'000)});
    starts = Decide();
    REQUIRE(starts.size() == 2);
    AddWorker("w2");
    Event("w1", Lists(false));
  }

  Attached Lists(bool complete) const {
    return {WorkerIncarnation(1), starts[1].number, {}, {}, {}, complete};
  }

  std::vector<StartRun> starts;
};

TEST_CASE_FIXTURE(IncompleteFixture,
                  "an incomplete list says nothing about other runs") {
  CHECK(Decide().empty());
  CHECK(dispatcher.Runs(VmName("w1")).size() == 2);
  End("w1", 501, starts[0].task, 1, RunEnd::kDone);
  End("w1", 502, starts[1].task, 1, RunEnd::kDone);
  Event("w1", Lists(true));
  CHECK(Decide().empty());
  Save("a");
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kComplete);
}

TEST_CASE_FIXTURE(IncompleteFixture,
                  "a run that no list contains is lost after the last list") {
  End("w1", 501, starts[0].task, 1, RunEnd::kDone);
  CHECK(Decide().empty());
  Event("w1", Lists(true));
  const auto restarts = Decide();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].task == starts[1].task);
}

TEST_CASE_FIXTURE(IncompleteFixture,
                  "a worker whose ends are being read gets no starts") {
  Add("b", {MakeStep(4, 1'000)});
  const auto others = Decide();
  CHECK(others.size() == 4);
  for (const StartRun& start : others) CHECK(start.vm == VmName("w2"));
}

TEST_CASE_FIXTURE(IncompleteFixture,
                  "runs of a worker are kept until its lease has expired") {
  Event("w1", WorkerUnreachable{Milliseconds(5'000)});
  CHECK(Decide().empty());
  dispatcher.OnWorkerRemoved(VmName("w1"), WorkerRemoval::kLeaseExpired, now);
  CHECK(Decide().size() == 2);
}

/// A takeover in which the worker of a run reports an incomplete list.
struct IncompleteTakeoverFixture : LeaderFixture {
  IncompleteTakeoverFixture() : placed(PlaceOnOneOfTwo()) {}

  void TakeOver() {
    Lead(2);
    ListWorkers({"w1", "w2"});
    Attach(placed.idle);
    Event(placed.busy,
          Attached{WorkerIncarnation(1), 1'000, {}, {}, {}, false});
  }

  PlacedOnOne placed;
};

// The lease of the worker has been renewed by then.
TEST_CASE_FIXTURE(IncompleteTakeoverFixture,
                  "a takeover waits until the ends of a worker are read") {
  TakeOver();
  RunFor(std::chrono::seconds(10));
  CHECK(starts.empty());
  SUBCASE("the run has ended") {
    Event(placed.busy, RunEnded{WorkerIncarnation(1),
                                {EndNumber(501),
                                 placed.run.task,
                                 placed.run.run,
                                 RunEnd::kDone,
                                 {}}});
    Attach(placed.busy);
    RunFor(std::chrono::seconds(1));
    CHECK(starts.empty());
  }
  SUBCASE("the run is lost") {
    Attach(placed.busy);
    RunFor(std::chrono::seconds(1));
    CHECK(starts.size() == 1);
  }
  SUBCASE("the worker is lost") {
    Event(placed.busy, WorkerUnreachable{Milliseconds(5'000)});
    RunFor(std::chrono::milliseconds(4'500));
    CHECK(starts.empty());
    RunFor(std::chrono::seconds(3));
    CHECK(starts.size() == 1);
  }
}

TEST_CASE_FIXTURE(IncompleteTakeoverFixture,
                  "an agent dies while it reads the ends of a worker") {
  TakeOver();
  RunFor(std::chrono::seconds(4));
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  leader->OnAgentDown(NodeId("agent"));
  Attach(placed.idle);
  // It may have renewed the lease until now.
  RunFor(std::chrono::seconds(5));
  CHECK(starts.empty());
  Event(placed.busy, Attached{WorkerIncarnation(1), 1'000, {}, {}, {}, false});
  RunFor(std::chrono::seconds(10));
  CHECK(starts.empty());
  Attach(placed.busy);
  CHECK(starts.size() == 1);
}

// The report may leave out runs that the worker lists on a later page.
TEST_CASE_FIXTURE(IncompleteTakeoverFixture,
                  "a report about a worker whose ends are read is not used") {
  Lead(2);
  FormerLeaderRuns report;
  report.worker.vm = placed.run.vm;
  report.unreachable = true;
  report.lease_left = Milliseconds(6'000);
  leader->OnKnownRuns(NodeId("agent"), report);
  ListWorkers({"w1", "w2"});
  Attach(placed.idle);
  Event(placed.busy, Attached{WorkerIncarnation(1), 1'000, {}, {}, {}, false});
  RunFor(std::chrono::seconds(5));
  CHECK(starts.empty());
  Attach(placed.busy);
  CHECK(starts.size() == 1);
}

}  // namespace
}  // namespace mangospread::dispatch::test
