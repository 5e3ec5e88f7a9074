#include "dispatch/worker/worker_session.hpp"

#include <doctest/doctest.h>

#include <deque>

#include "base/loop/simulated_clock.hpp"

namespace mangospread::dispatch {
namespace {

/// Records calls and answers holds from a list that the test edits.
struct FakeLink final : WorkerLink {
  explicit FakeLink(base::EventLoop& event_loop) : loop(event_loop) {}

  [[nodiscard]] bool Connected() const override { return connected; }
  void Hold(const HoldOrder& order, HoldCallback done) override {
    holds.push_back(order);
    holds_by.push_back(report.born);
    if (broken) {
      timers.push_back(loop.After(Milliseconds(1), [done = std::move(done)] {
        done(Error{Errc::kConnectionLost, "w1"});
      }));
      return;
    }
    if (silent) {
      const auto timeout = order.max_wait + Milliseconds(700);
      timers.push_back(loop.After(timeout, [done = std::move(done)] {
        done(Error{Errc::kTimeout, "w1"});
      }));
      return;
    }
    HoldReport answer = report;
    answer.clock = WorkerTime(1'000);
    std::erase_if(answer.ended, [&](const EndedRun& end) {
      return end.number <= order.acknowledged;
    });
    const auto delay =
        order.max_wait.count() == 0 ? Milliseconds(1) : Milliseconds(100);
    timers.push_back(
        loop.After(delay, [done = std::move(done), answer] { done(answer); }));
  }
  void Start(const StartOrder& order, OrderCallback done) override {
    starts.push_back(order);
    Answer(std::move(done));
  }
  void Stop(const std::string&, Attempt, WorkerFence,
            OrderCallback done) override {
    ++stops;
    Answer(std::move(done));
  }
  void Throttle(const std::string&, Attempt, int percent, WorkerFence,
                OrderCallback done) override {
    paces.push_back(percent);
    Answer(std::move(done));
  }
  void Answer(OrderCallback done) {
    timers.push_back(loop.After(
        Milliseconds(1), [this, done = std::move(done)] { done(outcome); }));
  }

  base::EventLoop& loop;
  HoldReport report;
  bool silent = false;
  bool broken = false;
  bool connected = true;
  OrderOutcome outcome = OrderOutcome::kAccepted;
  std::vector<HoldOrder> holds;
  std::vector<WorkerBirth> holds_by;  ///< Process that got each hold.
  std::vector<StartOrder> starts;
  std::vector<int> paces;
  int stops = 0;
  std::deque<base::Timer> timers;
};

struct SessionFixture {
  SessionFixture() {
    link->report.born = WorkerBirth(7);
    Assignment assignment;
    assignment.worker.vm = VmName("w1");
    assignment.fence = WorkerFence(5 * kFenceStride);
    session = WorkerSession::Create(
        loop, link, assignment, WorkerSessionOptions(),
        [this](AgentEvent event) { events.push_back(std::move(event)); },
        [](Timing, MonotonicTime) {});
    session->Begin();
  }
  ~SessionFixture() { session->Close(); }

  void RunFor(Milliseconds time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  /// Attaches the worker, which lists its 40th end, and acknowledges that.
  void AcknowledgeAnEnd() {
    RunFor(Milliseconds(50));
    link->report.ended.push_back(
        {EndNumber(40), "a.0.0.1", Attempt(1), RunEnd::kDone, {}});
    RunFor(Milliseconds(200));
    session->Acknowledge({VmName("w1"), WorkerBirth(7), EndNumber(40)});
  }

  template <typename Kind>
  int Count() const {
    int count = 0;
    for (const AgentEvent& event : events) {
      count += std::holds_alternative<Kind>(event.what) ? 1 : 0;
    }
    return count;
  }

  static StartRun MakeStart(std::uint64_t number) {
    StartRun start;
    start.vm = VmName("w1");
    start.number = number;
    start.task = "a.0.0." + std::to_string(number);
    start.run = Attempt(1);
    return start;
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  std::shared_ptr<FakeLink> link = std::make_shared<FakeLink>(loop);
  std::vector<AgentEvent> events;
  std::shared_ptr<WorkerSession> session;
};

// Guards against a start that takes effect seconds after it was given up.
TEST_CASE_FIXTURE(SessionFixture, "an unanswered start raises the fence") {
  RunFor(Milliseconds(50));
  REQUIRE(Count<Attached>() == 1);
  link->outcome = OrderOutcome::kUnknown;
  session->Start(MakeStart(1));
  RunFor(Milliseconds(50));
  CHECK(Count<Attached>() == 2);
  CHECK(link->holds.back().fence > link->starts.back().fence);
  const auto& attached = std::get<Attached>(events.back().what);
  CHECK(attached.starts_seen == 1);
}

// Guards against starts between the raised fence and the worker's lists: the
// lists could miss them.
TEST_CASE_FIXTURE(SessionFixture, "starts wait for the worker's lists") {
  session->Start(MakeStart(1));
  CHECK(link->starts.empty());
  RunFor(Milliseconds(50));
  REQUIRE(link->starts.size() == 1);
  const auto& attached = std::get<Attached>(events.front().what);
  CHECK(attached.unsent.size() == 1);
}

// Guards against a start for a leader that is gone.
TEST_CASE_FIXTURE(SessionFixture,
                  "unsent starts are dropped with their leader") {
  session->Start(MakeStart(1));
  session->DropUnsent();
  RunFor(Milliseconds(50));
  CHECK(link->starts.empty());
}

// Guards against a takeover that starts a task again whose end the former
// leader had not stored.
TEST_CASE_FIXTURE(SessionFixture,
                  "an end that is not acknowledged is remembered") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(Milliseconds(20));
  REQUIRE(session->Remember().has_value());
  CHECK(session->Remember()->runs.size() == 1);
  link->report.ended.push_back(
      {EndNumber(1), "a.0.0.1", Attempt(1), RunEnd::kDone, {}});
  RunFor(Milliseconds(300));
  CHECK(Count<RunEnded>() == 1);
  CHECK(session->Remember()->runs.size() == 1);
  session->Acknowledge({VmName("w1"), WorkerBirth(7), EndNumber(1)});
  RunFor(Milliseconds(300));
  CHECK(session->Remember()->runs.empty());
}

// Guards against a worker whose silence goes unnoticed, and against its return
// with orders of before the silence still under way.
TEST_CASE_FIXTURE(SessionFixture, "silence is reported with the lease left") {
  RunFor(Milliseconds(50));
  link->silent = true;
  RunFor(Milliseconds(3'000));
  REQUIRE(Count<WorkerUnreachable>() == 1);
  const WorkerFence before = link->holds.front().fence;
  link->silent = false;
  RunFor(Milliseconds(3'000));
  CHECK(Count<Attached>() == 2);
  CHECK(link->holds.back().fence > before);
}

// Guards against runs of an ended worker process that count for ever.
TEST_CASE_FIXTURE(SessionFixture, "a worker that restarted is attached anew") {
  RunFor(Milliseconds(50));
  link->report.born = WorkerBirth(8);
  RunFor(Milliseconds(1'200));
  REQUIRE(Count<Attached>() == 2);
  CHECK(std::get<Attached>(events.back().what).born == WorkerBirth(8));
}

// Replays a worker that crashes and starts again under its id within a moment:
// numbers of ends begin anew, so an acknowledgement of the former process
// would drop ends that nobody has seen (soak, seed 4), and a lease by its clock
// would last as long as workers allow.
TEST_CASE_FIXTURE(SessionFixture,
                  "a new process gets nothing that was meant for the former") {
  AcknowledgeAnEnd();
  RunFor(Milliseconds(300));
  REQUIRE(link->holds.back().acknowledged == EndNumber(40));
  link->broken = true;
  RunFor(Milliseconds(150));
  const std::size_t before = link->holds.size();
  session->Start(MakeStart(1));
  RunFor(Milliseconds(30));
  CHECK(link->starts.empty());
  link->broken = false;
  link->report.born = WorkerBirth(8);
  link->report.ended.clear();
  RunFor(Milliseconds(400));
  REQUIRE(Count<Attached>() == 2);
  for (std::size_t i = before; i < link->holds.size(); ++i) {
    CHECK(link->holds[i].acknowledged == EndNumber());
  }
  CHECK(link->holds[before].lease_until == WorkerTime());
  REQUIRE(link->starts.size() == 1);
}

// The same between two holds: only the closed connections tell.
TEST_CASE_FIXTURE(SessionFixture,
                  "without a connection the next process may be another one") {
  AcknowledgeAnEnd();
  link->connected = false;
  session->Start(MakeStart(1));
  CHECK(link->starts.empty());
  const std::size_t before = link->holds.size();
  RunFor(Milliseconds(300));
  REQUIRE(link->holds.size() > before);
  CHECK(link->holds[before].acknowledged == EndNumber());
  CHECK(link->holds[before].lease_until == WorkerTime());
}

// The same when the loss of the connection goes unnoticed.
TEST_CASE_FIXTURE(SessionFixture,
                  "a new process is not acknowledged what the former listed") {
  AcknowledgeAnEnd();
  RunFor(Milliseconds(300));
  link->report.born = WorkerBirth(8);
  link->report.ended.clear();
  RunFor(Milliseconds(600));
  const auto first =
      std::find(link->holds_by.begin(), link->holds_by.end(), WorkerBirth(8));
  // The new process is met with one hold at the most.
  const auto next =
      static_cast<std::size_t>(first - link->holds_by.begin()) + 1;
  REQUIRE(link->holds.size() > next);
  for (std::size_t i = next; i < link->holds.size(); ++i) {
    CHECK(link->holds[i].acknowledged == EndNumber());
  }
}

// Guards against a task that stands still until its submission is late.
TEST_CASE_FIXTURE(SessionFixture, "a run without progress is reported once") {
  RunFor(Milliseconds(50));
  session->Start(MakeStart(1));
  link->report.running.push_back({"a.0.0.1", Attempt(1), {}, 30, 0});
  RunFor(Milliseconds(4'000));
  CHECK(Count<RunStalled>() == 1);
}

}  // namespace
}  // namespace mangospread::dispatch
