// A worker's process that is followed by one of another kind under its id.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "platform/codec.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

constexpr WorkerIncarnation kFormer(1);
constexpr WorkerIncarnation kPresent(2);

struct RestartedKind : test::DispatcherFixture {
  RestartedKind() { step.required_label = Label("a"); }

  /// Registers the worker's process with one label.
  void Register(WorkerIncarnation incarnation, const char* label) {
    WorkerInfo info;
    info.vm = VmName("w1");
    info.incarnation = incarnation;
    info.service = ServiceName("s");
    info.labels = {Label(label)};
    info.capacity.cpu = Millicores(32'000);
    info.capacity.memory = Mebibytes(128'000);
    dispatcher.OnWorker(info);
  }
  void Attach(WorkerIncarnation incarnation) {
    Event("w1", Attached{incarnation, 0, {}, {}, {}});
  }

  StepSpec step = MakeStep(1, 1'000);
};

// Guards against a task on a worker without the label that it requires: the
// worker's process is a new one of another kind, which cannot register while
// the store is away (review case 10, ROUTE).
TEST_CASE_FIXTURE(RestartedKind,
                  "a task that requires a label waits for the registration of "
                  "the worker's process") {
  Register(kFormer, "a");
  Attach(kFormer);
  Attach(kPresent);
  Add("labelled", {step});
  CHECK(Decide().empty());
  Register(kPresent, "b");
  CHECK(Decide().empty());
  Register(kPresent, "a");
  CHECK(Decide().size() == 1);
}

// Guards against the same order of events the other way round: the list of
// workers names the new process before the agent has noticed it.
TEST_CASE_FIXTURE(RestartedKind,
                  "a registration does not count for the process before") {
  Register(kFormer, "b");
  Attach(kFormer);
  Register(kPresent, "a");
  Add("labelled", {step});
  CHECK(Decide().empty());
  Attach(kPresent);
  CHECK(Decide().size() == 1);
}

// Guards against capacity that stays unused while the store is away.
TEST_CASE_FIXTURE(RestartedKind,
                  "a task without a required label starts on a process that "
                  "has not registered") {
  Register(kFormer, "a");
  Attach(kPresent);
  Add("plain", {MakeStep(1, 1'000)});
  CHECK(Decide().size() == 1);
}

// Guards against a worker that gets more than it holds (LIMIT): its process is
// a smaller one, which cannot register while the store is away, and starts
// whatever it is told to (review case 14).
TEST_CASE_FIXTURE(RestartedKind,
                  "a process that does not guard its capacity gets nothing "
                  "before it has registered") {
  SUBCASE("known before the worker") {
    dispatcher.SetUnguardedServices({ServiceName("s")});
    Register(kFormer, "a");
  }
  SUBCASE("known after the worker") {
    Register(kFormer, "a");
    dispatcher.SetUnguardedServices({ServiceName("s")});
  }
  Attach(kFormer);
  Attach(kPresent);
  Add("plain", {MakeStep(1, 1'000)});
  CHECK(Decide().empty());
  Register(kPresent, "a");
  CHECK(Decide().size() == 1);
}

// Guards against a start that was decided by the labels of a former process and
// reaches the next one, before or after its agent has noticed the restart.
TEST_CASE_FIXTURE(SessionFixture,
                  "a start for a former process is not sent to the next one") {
  RunFor(Milliseconds(50));
  StartRun waiting = MakeStart(1);
  waiting.incarnation = WorkerIncarnation(7);
  permission = Permission::kLeases;
  session->Start(waiting);
  link->report.incarnation = WorkerIncarnation(8);
  RunFor(Milliseconds(700));
  permission = Permission::kStarts;
  session->SendPermittedStarts();
  StartRun later = MakeStart(2);
  later.incarnation = WorkerIncarnation(7);
  session->Start(later);
  RunFor(Milliseconds(50));
  CHECK(link->starts.empty());
  CHECK(Count<RunNotStarted>() == 2);
  StartRun current = MakeStart(3);
  current.incarnation = WorkerIncarnation(8);
  session->Start(current);
  RunFor(Milliseconds(50));
  CHECK(link->starts.size() == 1);
}

// Guards against a registration that is not told from one of a former process.
TEST_CASE("a registration names the process that made it") {
  const std::string entry =
      R"({"service":"s","addr":"127.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":1,"mem-mb":1},"labels":["a","r1"])";
  const auto named = platform::DecodeWorker("w1", entry + R"(,"born":17})");
  REQUIRE(named.ok());
  CHECK(named.value().incarnation == WorkerIncarnation(17));
  const auto unnamed = platform::DecodeWorker("w1", entry + "}");
  REQUIRE(unnamed.ok());
  CHECK(unnamed.value().incarnation == WorkerIncarnation());
  CHECK_FALSE(named.value() == unnamed.value());
}

}  // namespace
}  // namespace mangospread::dispatch
