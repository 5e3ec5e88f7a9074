// Guards against an entry of another writer among those of the workers that
// ends the processes that read the list, or after which they do not follow it
// any more.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kBefore = 1;
constexpr int kDuring = 2;
constexpr int kAfter = 3;
constexpr int kTasks = 48;
constexpr int kTaskMs = 300;

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Entry(const std::string& address, const std::string& cpu,
                  const std::string& more = "") {
  return R"({"service":"batch","addr":")" + address +
         R"(","zone":"dc","state":"ready","capacity":{"cpu":)" + cpu +
         R"(,"mem-mb":32000,"gpu":0},"labels":["a","r1"])" + more + "}";
}

/// Entries that do not describe a worker, by key.
std::vector<std::pair<std::string, std::string>> OddEntries() {
  const std::string address = "127.0.0.1:1";
  return {
      {"nested", Nested(20'000)},
      {"nested-member", Entry(address, "1000", R"(,"x":)" + Nested(20'000))},
      {"nested-open", std::string(40'000, '{')},
      {"nested-objects", R"({"a":)" + Nested(1'000) + "}"},
      {"number-text", Entry(address, "1e400")},
      {"number-double", Entry(address, "1e300")},
      {"number-64-bits", Entry(address, "18446744073709551616")},
      {"number-negative", Entry(address, "-9223372036854775808")},
      {"port-high", Entry("127.0.0.1:70000", "1000")},
      {"port-zero", Entry("127.0.0.1:0", "1000")},
      {"port-negative", Entry("127.0.0.1:-1", "1000")},
      {"port-missing", Entry("127.0.0.1", "1000")},
      {"address", Entry("no address:80", "1000")},
      {"types", R"({"service":[],"addr":7,"zone":{},"state":null,)"
                R"("capacity":"x","labels":{"a":1}})"},
      {"labels", Entry(address, "1000", R"(,"state":7)")},
      {"list", "[1,2,3]"},
      {"text", "\"text\""},
      {"empty", ""},
      {"bytes", std::string("\x00\x01\xfe\xff\xc3", 5)},
      {"surrogate", R"({"service":"\ud800"})"},
      {std::string("key\nwith line"), Entry(address, "1000")},
      {std::string("\x01\x7f"), Entry(address, "1000")},
      {"\xc3\xa4\xe2\x82\xac", "{"},
      // Well-formed, but nothing can be reached there.
      {"unreachable", Entry("255.255.255.255:65535", "1000000")},
      {"refusing", Entry(address, "1000000")}};
}

TEST_CASE("work goes on beside odd entries in the list of workers") {
  ManagedCluster site(3, 3);
  site.WaitUntilReady();
  CHECK(site.Submit(0, kBefore, kTasks, kTaskMs).status == kOk);
  WaitUntil("work has started", kWaitTimeout,
            [&] { return site.GetCounters().starts > 0; });
  for (const auto& [key, value] : OddEntries()) site.PutWorkerEntry(key, value);
  CHECK(site.Submit(1, kDuring, kTasks, kTaskMs).status == kOk);
  for (const int submission : {kBefore, kDuring}) {
    WaitUntil("the submission is complete", kWaitTimeout,
              [&] { return site.GetState(2, submission) == "complete"; });
  }
  // A process that starts among the odd entries reads them all at once.
  site.node(site.AwaitLeader()).Kill();
  const std::size_t leader = site.AwaitServingLeader();
  const std::size_t added = site.AddWorker();
  for (const auto& [key, value] : OddEntries()) site.PutWorkerEntry(key, value);
  CHECK(site.Submit(leader, kAfter, kTasks, kTaskMs).status == kOk);
  WaitUntil("the last submission is complete", kWaitTimeout,
            [&] { return site.GetState(leader, kAfter) == "complete"; });
  CHECK(site.EndedRuns(added) > 0);
  const RunCounters counts = site.GetCounters();
  CheckNoTaskRanTwice(counts);
  CHECK(counts.overloads == 0);
  CHECK(DescribeUnexpectedEnds().empty());
}

// Guards against a leader that ends because a worker lists tasks which do not
// exist.
TEST_CASE("work goes on beside odd runs in the list of a worker") {
  ManagedCluster site(3, 3);
  site.WaitUntilReady();
  const std::string id = SubmissionIdOf(kBefore);
  const nlohmann::json body = {
      {"spec", "300"},
      {"steps",
       {{{"count", kTasks}, {"cpu", 1'000}, {"mem-mb", 10}},
        {{"count", kTasks}, {"cpu", 1'000}, {"mem-mb", 10}, {"after", {0}}}}}};
  CHECK(site.SendRequest(0, net::Method::kPost, kBefore, body.dump()).status ==
        kOk);
  WaitUntil("work has started", kWaitTimeout,
            [&] { return site.GetCounters().starts > 0; });
  const nlohmann::json rows = {{id + ".1073741824.0.0", 1, "", 5, 0},
                               {id + ".2147483647.1.0", 1, "", 5, 0},
                               {id + ".0.2147483647.0", 1, "", 1e30, 1e300},
                               {id + ".0.0.-1", 1, "", -1e30, -1e300},
                               {"", 2'147'483'646, "", nullptr, nullptr},
                               {"x", 1, 7, "percent"}};
  site.ListOddRuns(0, rows);
  // The next leader attaches the worker and reads its whole list.
  const std::size_t first = site.AwaitLeader();
  site.node(first).Kill();
  site.RestartNode(first);
  site.WaitUntilReady();
  WaitUntil("the submission is complete", kWaitTimeout, [&] {
    return site.GetState(site.AwaitLeader(), kBefore) == "complete";
  });
  const RunCounters counts = site.GetCounters();
  CheckNoTaskRanTwice(counts);
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
