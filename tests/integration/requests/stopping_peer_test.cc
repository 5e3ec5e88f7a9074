// Guards against a forwarded request whose outcome is unknown because the node
// that it was on its way to has ended, or that is said not to have run though
// it has.
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "integration/harness/delayed_owner.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'261'206;
constexpr int kThreads = 6;
constexpr int kRounds = 3;
constexpr unsigned kMaxWorkMs = 100;

/// A request with work of random length, so that some request is on its way to
/// the owner at any time.
net::Request MakeRequest(const std::string& key, std::mt19937& random) {
  net::Request request;
  request.method = net::Method::kPost;
  request.target = kServicePath;
  request.headers.Add("X-Work-Ms", std::to_string(random() % kMaxWorkMs));
  request.headers.Add("X-Run-Key", key);
  request.body = "body";
  return request;
}

// The table is down, so the owner of the worker has no successor, and the other
// node forwards requests to it until it ends.
TEST_CASE("a request forwarded to a node that ends has a known outcome") {
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    DelayedOwner site({"--claim-without-table=false"});
    const Address other = site.forwarder();
    site.cluster().SetTableFaults(R"({"down":true})");
    std::atomic<int> answered{0};
    std::atomic<int> unknown{0};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::set<std::string> refused;
    LoadGenerator load(kThreads, kSeed, LoadGenerator::kUntilStopped,
                       [&](int /*thread*/, std::mt19937& random) {
                         const std::string key = std::to_string(++sent);
                         const Response reply =
                             Fetch(other, MakeRequest(key, random));
                         if (reply.outcome() == "answered") ++answered;
                         if (reply.outcome() == "unknown") ++unknown;
                         const std::lock_guard<std::mutex> lock(mutex);
                         if (reply.outcome() == "not-run") refused.insert(key);
                       });
    WaitUntil("requests are forwarded and answered", kWaitTimeout,
              [&] { return answered > kThreads; });
    site.owner().Terminate();
    CHECK(site.owner().Wait(kWaitTimeout) == 0);
    load.Stop();
    CHECK(unknown == 0);
    const auto runs = site.cluster().RunsByKey();
    for (const std::string& key : refused) CHECK_FALSE(runs.contains(key));
    CHECK(static_cast<int>(runs.size()) == answered);
    MESSAGE("answered " << answered.load() << ", unknown " << unknown.load());
  }
}

}  // namespace
}  // namespace mangospread::testing
