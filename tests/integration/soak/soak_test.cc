// Injects random faults into real nodes under load. Environment variables
// override the defaults: MANGOSPREAD_SOAK="first-last" sets the range of seeds,
// MANGOSPREAD_SOAK_SECONDS the duration of the load for each seed in seconds,
// MANGOSPREAD_SOAK_NODES the number of nodes, and MANGOSPREAD_SOAK_LONG=1 the
// preset with faults and tasks that last for longer than a lease.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"
#include "integration/soak/callers.hpp"
#include "integration/soak/faults.hpp"

namespace mangospread::testing {
namespace {

constexpr int kGone = 410;
constexpr int kNotFound = 404;
constexpr int kCallerThreads = 4;
/// Covers two lease durations and a takeover on a busy machine.
constexpr Milliseconds kCompletionTimeout{90'000};

int IntFromEnvironment(const char* name, int fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::atoi(value);
}

/// Seeds from MANGOSPREAD_SOAK; by default a few seeds, including those that
/// have failed before.
std::vector<std::uint64_t> SeedsToRun() {
  const char* range = std::getenv("MANGOSPREAD_SOAK");
  // Seed 4: an acknowledgement for a crashed worker reached the next process of
  // that worker.
  if (range == nullptr) return {1, 2, 3, 4};
  const std::string text = range;
  const std::uint64_t first = std::stoull(text);
  const auto dash = text.find('-');
  const std::uint64_t last =
      dash == std::string::npos ? first : std::stoull(text.substr(dash + 1));
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  return seeds;
}

/// Checks the final state of a submission against the responses to its callers.
void CheckSubmission(ManagedCluster& cluster, int number,
                     const ObservedSubmission& observed,
                     const std::set<std::string>& started) {
  CAPTURE(SubmissionIdOf(number));
  if (observed.accepted && !observed.cancel_sent) {
    CHECK(cluster.GetState(0, number) == "complete");
  }
  if (observed.cancelled) {
    const std::string state = cluster.GetState(0, number);
    CHECK((state == "cancelled" || state == "complete"));
  }
  if (observed.withdrawn) {
    CHECK_FALSE(started.contains(SubmissionIdOf(number)));
    const Response state = cluster.SendRequest(0, net::Method::kGet, number);
    CHECK(
        (state.status == kGone || cluster.GetState(0, number) == "cancelled"));
  }
  if (observed.refused) {
    CHECK(cluster.SendRequest(0, net::Method::kGet, number).status == kGone);
    CHECK_FALSE(started.contains(SubmissionIdOf(number)));
  }
}

/// Waits until every node uses the newest configuration.
void CheckConfiguration(ManagedCluster& cluster, bool extra_route) {
  for (std::size_t node = 0; node < cluster.nodes(); ++node) {
    net::Request request;
    request.target = "/extra/" + SubmissionIdOf(999'999);
    request.headers.Add("Host", "jobs.example");
    const int expected = extra_route ? kGone : kNotFound;
    WaitUntil("the node uses the newest configuration", kWaitTimeout, [&] {
      return Fetch(cluster.node(node).address("front"), request).status ==
             expected;
    });
  }
}

std::string Lines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += "\n  " + line;
  return text;
}

/// Runs callers and faults with a seed, ends the faults and checks the results.
void RunWithSeed(std::uint64_t seed) {
  const bool is_long = IntFromEnvironment("MANGOSPREAD_SOAK_LONG", 0) != 0;
  const int nodes = IntFromEnvironment("MANGOSPREAD_SOAK_NODES", 3);
  const int workers = 2 * nodes;
  ManagedCluster cluster(nodes, workers);
  cluster.WaitUntilReady();
  Callers callers(seed, kCallerThreads, is_long ? kLastingTasks : CallerLoad());
  for (std::size_t i = 0; i < cluster.nodes(); ++i) {
    callers.SetNodeAddress(i, cluster.node(i).address("front"));
  }
  FaultInjector injector(cluster, callers, workers, seed,
                         is_long ? kLongFaults : FaultLimits());
  callers.Start();
  injector.Run(
      Milliseconds(1'000 * IntFromEnvironment("MANGOSPREAD_SOAK_SECONDS", 8)));
  callers.Stop();
  injector.EndFaults();
  const std::string fault_log = Lines(injector.log());
  CAPTURE(seed);
  CAPTURE(fault_log);
  INFO("logs in ", cluster.log_directory());
  cluster.WaitUntilReady();
  for (const auto& [number, observed] : callers.submissions()) {
    if (!observed.accepted || observed.cancel_sent) continue;
    WaitUntil(
        SubmissionIdOf(number) + " is complete", kCompletionTimeout,
        [&, id = number] { return cluster.GetState(0, id) == "complete"; });
  }
  const RunCounters counts = cluster.GetCounters();
  for (const auto& [number, observed] : callers.submissions()) {
    CheckSubmission(cluster, number, observed, counts.started);
  }
  CheckConfiguration(cluster, injector.extra_route());
  CHECK(Lines(callers.violations()) == "");
  CHECK(Lines(injector.violations()) == "");
  CheckNoTaskRanTwice(counts);
  CHECK(counts.overloads == 0);
  std::size_t accepted = 0;
  std::size_t withdrawn = 0;
  for (const auto& [number, s] : callers.submissions()) {
    accepted += s.accepted;
    withdrawn += s.withdrawn;
  }
  MESSAGE("seed ", seed, ": ", injector.log().size(), " faults, ", accepted,
          " of ", callers.submissions().size(), " submissions accepted, ",
          withdrawn, " withdrawn, ", counts.starts, " starts, ",
          counts.expired_runs, " runs ended by lease expiry");
}

// Guards against code that keeps its guarantees under each fault alone but
// breaks them when faults follow one another and overlap: an accepted
// submission is lost, a refused one or one whose cancelling was acknowledged
// runs, a completed task runs again, or a task runs twice at once.
TEST_CASE("guarantees hold under random faults in sequence and overlapping") {
  for (const std::uint64_t seed : SeedsToRun()) RunWithSeed(seed);
}

}  // namespace
}  // namespace mangospread::testing
