// Explains three failed requests from the logs alone, following the steps in
// docs/OPERATIONS.md.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/explain_log.hpp"
#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// All lines that the nodes of the site have logged so far.
std::string ReadAllLogs(ManagedCluster& site) {
  std::string lines;
  for (std::size_t i = 1; i <= site.nodes(); ++i) {
    lines += ReadOutput(site.log_directory(), "n" + std::to_string(i));
  }
  return lines;
}

/// Waits until the explanation of a submission contains the text, since logs
/// are written shortly after the event, and returns the explanation.
std::string AwaitExplanation(ManagedCluster& site, int submission,
                             const std::string& text) {
  std::string explanation;
  WaitUntil("the logs contain " + text, kWaitTimeout, [&] {
    std::istringstream lines(ReadAllLogs(site));
    explanation = cli::ExplainLog(lines, SubmissionIdOf(submission));
    return explanation.find(text) != std::string::npos;
  });
  return explanation;
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto position = text.find(part); position != std::string::npos;
       position = text.find(part, position + 1)) {
    ++count;
  }
  return count;
}

// Guards against a refusal whose cause is missing from the logs.
TEST_CASE("a request that was refused despite free capacity is explained") {
  ManagedCluster site(2, 2);
  site.WaitUntilReady();
  site.SetTableFaults(R"({"down":true})");
  int refused = 0;
  WaitUntil("the leader refuses a submission", kWaitTimeout, [&] {
    ++refused;
    const Response reply = site.Submit(0, refused, 1, 100);
    return reply.status == kUnavailable &&
           ReadAllLogs(site).find("retry_after_ms=900") != std::string::npos;
  });
  const std::string explanation =
      AwaitExplanation(site, refused, "name=request_refused");
  CHECK(explanation.find("result=refused") != std::string::npos);
  // Second step in docs/OPERATIONS.md: 900 ms means that the leader cannot
  // write to the table.
  CHECK(ReadAllLogs(site).find("name=table_unreachable") != std::string::npos);
}

// Guards against a late submission whose wait is missing from the logs.
TEST_CASE("a request that was accepted and finished late is explained") {
  ManagedCluster site(2, 1);
  site.WaitUntilReady();
  constexpr int kTasksPerWorker = 8;
  constexpr int kLongTaskMs = 1'500;
  REQUIRE(site.Submit(0, 1, kTasksPerWorker, kLongTaskMs).status == kOk);
  WaitUntil("the worker is full", kWaitTimeout,
            [&] { return site.GetCounters().starts == kTasksPerWorker; });
  REQUIRE(site.Submit(1, 2, 1, 100).status == kOk);
  const std::string explanation = AwaitExplanation(site, 2, "state=complete");
  const auto waits = explanation.find("decision=waits reason=no_room");
  const auto placed = explanation.find("decision=placed");
  REQUIRE(waits != std::string::npos);
  CHECK(waits < placed);
  CHECK(placed < explanation.find("decision=ended reason=done"));
}

// Guards against a failed submission whose runs are missing from the logs.
TEST_CASE("a request that was accepted and failed is explained") {
  ManagedCluster site(2, 4);
  site.WaitUntilReady();
  const nlohmann::json body = {
      {"spec", "fail"},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 10}}}}};
  REQUIRE(site.SendRequest(0, net::Method::kPost, 3, body.dump()).status ==
          kOk);
  const std::string explanation = AwaitExplanation(site, 3, "state=failed");
  // Equal to the number of attempts that the queue allows.
  CHECK(CountOccurrences(explanation, "decision=ended reason=failed") == 3);
  CHECK(CountOccurrences(explanation, "decision=placed") == 3);
}

}  // namespace
}  // namespace mangospread::testing
