// Three failed requests, each explained from the logs alone by the steps of
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

/// What all nodes of the site have logged so far.
std::string AllLines(ManagedSite& site) {
  std::string lines;
  for (std::size_t i = 1; i <= site.nodes(); ++i) {
    lines += ReadOutput(site.directory(), "n" + std::to_string(i));
  }
  return lines;
}

/// The story of a submission once it has the text; logs are written a moment
/// after the event.
std::string AwaitStory(ManagedSite& site, int submission,
                       const std::string& text) {
  std::string story;
  WaitUntil("the logs say " + text, kWaitDeadline, [&] {
    std::istringstream lines(AllLines(site));
    story = cli::ExplainLog(lines, SubmissionIdOf(submission));
    return story.find(text) != std::string::npos;
  });
  return story;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a refusal that the logs do not explain.
TEST_CASE("a request that was refused beside free room is explained") {
  ManagedSite site(2, 2);
  site.AwaitReady();
  site.SetFaults(R"({"down":true})");
  int refused = 0;
  WaitUntil("a hand-in is refused by the leader", kWaitDeadline, [&] {
    ++refused;
    const Reply reply = site.Submit(0, refused, 1, 100);
    return reply.status == kUnavailable &&
           AllLines(site).find("retry_after_ms=1500") != std::string::npos;
  });
  const std::string story = AwaitStory(site, refused, "name=request_refused");
  CHECK(story.find("result=refused") != std::string::npos);
  // Second step: 1500 ms means that the store takes no writes of the leader.
  CHECK(AllLines(site).find("name=table_unreachable") != std::string::npos);
}

// Guards against a late submission whose wait nobody can see.
TEST_CASE("a request that was accepted and late is explained") {
  ManagedSite site(2, 1);
  site.AwaitReady();
  constexpr int kWholeWorker = 8;
  constexpr int kLong = 1'500;
  REQUIRE(site.Submit(0, 1, kWholeWorker, kLong).status == kOk);
  WaitUntil("the worker is full", kWaitDeadline,
            [&] { return site.Counts().starts == kWholeWorker; });
  REQUIRE(site.Submit(1, 2, 1, 100).status == kOk);
  const std::string story = AwaitStory(site, 2, "state=complete");
  const auto waits = story.find("decision=waits reason=no_room");
  const auto placed = story.find("decision=placed");
  REQUIRE(waits != std::string::npos);
  CHECK(waits < placed);
  CHECK(placed < story.find("decision=ended reason=done"));
}

// Guards against a failed submission whose runs the logs do not name.
TEST_CASE("a request that was accepted and failed is explained") {
  ManagedSite site(2, 4);
  site.AwaitReady();
  const nlohmann::json body = {
      {"spec", "fail"},
      {"steps", {{{"count", 1}, {"cpu", 1'000}, {"mem-mb", 10}}}}};
  REQUIRE(site.Call(0, net::Method::kPost, 3, body.dump()).status == kOk);
  const std::string story = AwaitStory(site, 3, "state=failed");
  // As many as the queue's attempts.
  CHECK(CountOf(story, "decision=ended reason=failed") == 3);
  CHECK(CountOf(story, "decision=placed") == 3);
}

}  // namespace
}  // namespace mangospread::testing
