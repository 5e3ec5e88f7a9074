// Random faults against real nodes. MANGOSPREAD_SOAK="first-last" plays other
// seeds than the ones below, MANGOSPREAD_SOAK_SECONDS other lengths,
// MANGOSPREAD_SOAK_NODES other sizes.
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
constexpr int kCallers = 4;
/// Two leases and a takeover; the machine may be busy.
constexpr Milliseconds kSettleDeadline{90'000};

int Setting(const char* name, int fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::atoi(value);
}

/// Seeds of the short run, and those that failed once.
std::vector<std::uint64_t> Seeds() {
  const char* range = std::getenv("MANGOSPREAD_SOAK");
  // 4: an acknowledgement for a crashed worker reached its next process.
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

void CheckSubmission(ManagedSite& site, int number, const Told& told,
                     const std::set<std::string>& started) {
  CAPTURE(SubmissionIdOf(number));
  if (told.accepted && !told.cancel_sent) {
    CHECK(site.State(0, number) == "complete");
  }
  if (told.accepted && told.cancelled) {
    const std::string state = site.State(0, number);
    CHECK((state == "cancelled" || state == "complete"));
  }
  if (told.refused) {
    CHECK(site.Call(0, net::Method::kGet, number).status == kGone);
    CHECK_FALSE(started.contains(SubmissionIdOf(number)));
  }
}

/// The newest configuration is in force at every node.
void CheckConfiguration(ManagedSite& site, bool extra) {
  for (std::size_t node = 0; node < site.nodes(); ++node) {
    net::Request request;
    request.target = "/extra/" + SubmissionIdOf(999'999);
    request.headers.Add("Host", "jobs.example");
    const int expected = extra ? kGone : kNotFound;
    WaitUntil("the newest configuration is in force", kWaitDeadline, [&] {
      return Fetch(site.node(node).address("front"), request).status ==
             expected;
    });
  }
}

void Play(std::uint64_t seed) {
  const int nodes = Setting("MANGOSPREAD_SOAK_NODES", 3);
  const int workers = 2 * nodes;
  ManagedSite site(nodes, workers);
  site.AwaitReady();
  Callers callers(seed, kCallers);
  for (std::size_t i = 0; i < site.nodes(); ++i) {
    callers.SetNode(i, site.node(i).address("front"));
  }
  FaultInjector faults(site, callers, workers, seed);
  callers.Start();
  faults.Run(Milliseconds(1'000 * Setting("MANGOSPREAD_SOAK_SECONDS", 8)));
  callers.Stop();
  faults.Heal();
  std::string log;
  for (const std::string& line : faults.log()) log += "\n  " + line;
  CAPTURE(seed);
  CAPTURE(log);
  INFO("logs in ", site.directory());
  site.AwaitReady();
  for (const auto& [number, told] : callers.told()) {
    if (!told.accepted || told.cancel_sent) continue;
    WaitUntil(SubmissionIdOf(number) + " is complete", kSettleDeadline,
              [&, id = number] { return site.State(0, id) == "complete"; });
  }
  const SiteCounts counts = site.Counts();
  for (const auto& [number, told] : callers.told()) {
    CheckSubmission(site, number, told, counts.started);
  }
  CheckConfiguration(site, faults.extra_route());
  CHECK(callers.violations() == std::vector<std::string>());
  CHECK(faults.violations() == std::vector<std::string>());
  CHECK(counts.overlaps == 0);
  CHECK(counts.repeats == 0);
  CHECK(counts.overloads == 0);
  std::size_t accepted = 0;
  for (const auto& [number, told] : callers.told()) accepted += told.accepted;
  MESSAGE("seed ", seed, ": ", faults.log().size(), " faults, ", accepted,
          " of ", callers.told().size(), " submissions accepted, ",
          counts.starts, " starts, ", counts.lapses, " lapses");
}

// Guards against promises that hold under each fault alone and break when
// faults come in series and overlap.
TEST_CASE("promises hold under random faults") {
  for (const std::uint64_t seed : Seeds()) Play(seed);
}

}  // namespace
}  // namespace mangospread::testing
