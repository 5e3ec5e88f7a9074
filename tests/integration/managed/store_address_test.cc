// Guards against a leader that waits for ever for a call to the store that was
// under way when the settings file named another address of the store.
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kFirstError = 300;
constexpr int kTasks = 2;
constexpr int kTaskMs = 100;
/// Longer than the period of the leader's heartbeat.
constexpr Milliseconds kSilence{600};

/// Writes another address of the store into the settings file of a node.
void ReplaceStoreAddress(const std::string& path, const Address& address) {
  std::ifstream input(path);
  std::string text(std::istreambuf_iterator<char>(input), {});
  input.close();
  const std::string name = "addr = \"";
  const std::size_t begin = text.find(name);
  REQUIRE(begin != std::string::npos);
  const std::size_t value = begin + name.size();
  text.replace(value, text.find('"', value) - value, ToString(address));
  std::ofstream(path) << text;
}

TEST_CASE("a node goes on when the store's address changes during its calls") {
  ManagedCluster site(1, 2);
  site.WaitUntilReady();
  WaitUntil("a submission is accepted", kWaitTimeout,
            [&] { return site.Submit(0, 1, kTasks, kTaskMs).status == kOk; });
  // From now on some call is under way at any moment.
  REQUIRE(Post(site.table_proxy(0), "/standin/faults",
               R"({"drop_up":true,"drop_down":true})")
              .ok());
  std::this_thread::sleep_for(kSilence);
  ReplaceStoreAddress(site.log_directory() + "/n1.toml",
                      site.platform_address());
  WaitUntil("submissions are accepted again", kWaitTimeout,
            [&] { return site.Submit(0, 2, kTasks, kTaskMs).status == kOk; });
  for (const int submission : {1, 2}) {
    WaitUntil("the submission is complete", kWaitTimeout,
              [&] { return site.GetState(0, submission) == "complete"; });
  }
  REQUIRE(site.SubmitLongRunning(0, 3, 1).status == kOk);
  const Response reply = site.SendRequest(0, net::Method::kDelete, 3);
  CHECK(reply.status >= kOk);
  CHECK(reply.status < kFirstError);
  const RunCounters counts = site.GetCounters();
  CheckNoTaskRanTwice(counts);
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
