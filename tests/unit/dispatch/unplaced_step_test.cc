// Steps that are tried although a smaller one of their kind finds no room.
#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {

// Guards against a best-effort step that is never tried while workers would
// take it: a smaller one with another image lacks headroom (event 1826 with
// reason=not_tried and free workers).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a best-effort step is tried after one of another image") {
  const ImageName serving("serving");
  const ImageName slowing("slowing");
  const ImageName neutral("neutral");
  dispatcher.ImportInterference(
      {{serving, 5, 0.3, 0.001, {{slowing, 0.5, 0.001}, {neutral, 0, 0.001}}}});
  AddWorker("w1", 16'000);
  StepSpec lasting = MakeStep(1, 2'000);
  lasting.long_running = true;
  lasting.image = serving;
  lasting.latency_target = Milliseconds(20);
  Run("lasting", lasting);
  StepSpec small = MakeStep(1, 2'000);
  small.best_effort = true;
  small.image = slowing;
  Add("slowing", {small});
  CHECK(Decide().empty());
  StepSpec larger = small;
  larger.cpu = Millicores(3'000);
  larger.image = neutral;
  Add("neutral", {larger});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "neutral.0.0.0");
}

}  // namespace mangospread::dispatch::test
