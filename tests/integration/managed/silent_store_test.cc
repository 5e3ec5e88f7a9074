// Guards against nodes that answer by an old configuration after the store was
// silent (CONFIG): their call for changes has no answer and hides its return.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/loop/clock.hpp"
#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kNotFound = 404;
/// Bound of the pages: a node is in touch this long after the end of an outage,
/// and then a change that was stored over 2 s before is in force.
constexpr MonotonicTime kInTouch = std::chrono::seconds(3);

/// A site whose store falls silent for all nodes.
class SilentStoreSite {
 public:
  SilentStoreSite() : cluster_(3, 1) { cluster_.WaitUntilReady(); }

  /// Publishes a configuration with or without the route "/extra/".
  void Publish(bool extra) {
    const nlohmann::json body = {{"version", ++version_}, {"extra", extra}};
    const Response reply =
        Post(cluster_.platform_address(), "/standin/config", body.dump());
    REQUIRE(reply.ok());
  }

  /// Nothing that is sent arrives for `length`. Connections that were open
  /// meanwhile stay open and deliver nothing after it either.
  void FallSilent(Milliseconds length) {
    cluster_.PostToTableProxies("/standin/faults",
                                R"({"drop_up":true,"drop_down":true})");
    std::this_thread::sleep_for(length);
    cluster_.PostToTableProxies("/standin/silence", "");
    cluster_.PostToTableProxies("/standin/faults", "{}");
  }

  /// True if every node knows the route, or every node does not.
  bool AllHaveRoute(bool extra) {
    for (std::size_t i = 0; i < cluster_.nodes(); ++i) {
      net::Request request;
      request.target = "/extra/" + SubmissionIdOf(1);
      request.headers.Add("Host", "jobs.example");
      const Response reply = Fetch(cluster_.node(i).address("front"), request);
      if (!reply.ok() || (reply.status != kNotFound) != extra) return false;
    }
    return true;
  }

 private:
  ManagedCluster cluster_;
  int version_ = 1;
};

// 3.55 s is the time from one call to the next one in the logic that waited for
// each call until its timeout: its third call came 3.45 s after the return.
TEST_CASE("a change after a silent outage is in force in time on all nodes") {
  SilentStoreSite site;
  for (const int length : {3'550, 300, 1'200, 2'400, 3'700}) {
    CAPTURE(length);
    site.Publish(false);
    WaitUntil("all nodes lack the route", kWaitTimeout,
              [&] { return site.AllHaveRoute(false); });
    // Begins a call for changes on all nodes at the same time.
    site.Publish(false);
    std::this_thread::sleep_for(Milliseconds(100));
    site.FallSilent(Milliseconds(length));
    const MonotonicTime from = base::MonotonicNow();
    site.Publish(true);
    WaitUntil("all nodes have the route", kWaitTimeout,
              [&] { return site.AllHaveRoute(true); });
    const auto waited =
        std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - from);
    MESSAGE("outage of " << length << " ms, in force after " << waited.count()
                         << " ms");
    CHECK(waited < kInTouch);
  }
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
