// A leader that is cut off from the table and from a part of the nodes, while
// another one takes over on the other side.
#include <doctest/doctest.h>

#include <chrono>

#include "unit/dispatch/cut_off_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using cut_off::CutOffFixture;
using std::chrono::seconds;

// Guards against a second run (TWICE): the leader that is cut off, and the
// agent on its side, go on extending the lease of the worker.
TEST_CASE_FIXTURE(CutOffFixture,
                  "a cut-off leader with an agent lets leases expire") {
  network.sides[NodeId("a")] = "l";
  for (const char* node : {"l", "a", "c"}) AddAgent(node);
  StartTask({"a", "c"});
  Cut();
  RunFor(seconds(20));
  CHECK(network.starts == 2);
  CHECK(network.overlaps == 0);
}

// Guards against a second run: the leader that is cut off is alone and assigns
// the worker to its own node, whose lease the next leader does not count.
TEST_CASE_FIXTURE(CutOffFixture,
                  "a cut-off leader that is alone takes no workers") {
  for (const char* node : {"l", "c"}) AddAgent(node);
  StartTask({"c"});
  Cut();
  RunFor(seconds(20));
  CHECK(network.starts == 2);
  CHECK(network.overlaps == 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
