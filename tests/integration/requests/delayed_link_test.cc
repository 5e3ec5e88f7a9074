// Guards against a fault proxy that reorders the data which it delays: a
// connection between nodes then ends with an error, and tests take that for a
// fault of the nodes.
#include <doctest/doctest.h>

#include <atomic>

#include "integration/harness/delayed_owner.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'261'206;
constexpr int kThreads = 6;
constexpr int kRequestsPerThread = 5;

TEST_CASE("requests forwarded over a delayed link are answered") {
  DelayedOwner site;
  const Address other = site.forwarder();
  std::atomic<int> answered{0};
  LoadGenerator load(kThreads, kSeed, kRequestsPerThread,
                     [&](int /*thread*/, std::mt19937& /*random*/) {
                       const Response reply = Post(other, kServicePath, "body");
                       if (reply.outcome() == "answered") ++answered;
                     });
  load.Join();
  CHECK(answered == kThreads * kRequestsPerThread);
}

}  // namespace
}  // namespace mangospread::testing
