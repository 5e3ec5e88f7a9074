// Guards against a start on an evacuated worker (EVAC) by an agent whose leader
// does not know of the evacuation, or that has kept the order since before it.
#include <doctest/doctest.h>

#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

struct EvacuatedSessionFixture {
  EvacuatedSessionFixture() {
    link->report.incarnation = WorkerIncarnation(7);
    Assignment assignment;
    assignment.worker.vm = VmName("w1");
    assignment.worker.data_center = DataCenter("north");
    assignment.fence = WorkerFence(5 * kFenceStride);
    session = WorkerSession::Create(
        loop, link, assignment, WorkerSessionOptions(),
        [this](AgentEvent event) { events.push_back(std::move(event)); },
        {[this] { return permission; }, [](MonotonicTime) { return true; },
         [this](const DataCenter& data_center) {
           return evacuated && data_center == DataCenter("north");
         }},
        [](Timing, MonotonicTime) {});
    session->Begin();
    RunFor(Milliseconds(50));
  }
  ~EvacuatedSessionFixture() { session->Close(); }

  void RunFor(Milliseconds time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  [[nodiscard]] int Withheld() const {
    int count = 0;
    for (const AgentEvent& event : events) {
      count += std::holds_alternative<RunNotStarted>(event.details) ? 1 : 0;
    }
    return count;
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  std::shared_ptr<FakeLink> link = std::make_shared<FakeLink>(loop);
  std::vector<AgentEvent> events;
  Permission permission = Permission::kStarts;
  bool evacuated = false;
  std::shared_ptr<WorkerSession> session;
};

TEST_CASE_FIXTURE(EvacuatedSessionFixture,
                  "an agent starts nothing on an evacuated worker") {
  evacuated = true;
  session->Start(SessionFixture::MakeStart(1));
  RunFor(Milliseconds(300));
  CHECK(link->starts.empty());
  CHECK(Withheld() == 1);
  evacuated = false;
  session->Start(SessionFixture::MakeStart(2));
  RunFor(Milliseconds(300));
  CHECK(link->starts.size() == 1);
}

TEST_CASE_FIXTURE(EvacuatedSessionFixture,
                  "an order from before the evacuation is not sent later") {
  permission = Permission::kLeases;
  session->Start(SessionFixture::MakeStart(1));
  RunFor(Milliseconds(50));
  evacuated = true;
  permission = Permission::kStarts;
  session->SendPermittedStarts();
  RunFor(Milliseconds(300));
  CHECK(link->starts.empty());
  CHECK(Withheld() == 1);
}

}  // namespace
}  // namespace mangospread::dispatch
