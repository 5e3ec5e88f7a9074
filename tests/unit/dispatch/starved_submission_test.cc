// Accepted submissions of which nothing runs beside free workers, over random
// services.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>

#include "unit/dispatch/starved_world.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr std::uint64_t kSeeds = 250;
/// HARM: a task may exceed its target for 4 s because of best-effort tasks.
constexpr MonotonicTime kMaxExcess = std::chrono::seconds(4);

/// The environment variables MANGOSPREAD_STARVED_SEEDS and
/// MANGOSPREAD_STARVED_FIRST_SEED replace the number of seeds and the first
/// one.
std::uint64_t Setting(const char* name, std::uint64_t usual) {
  const char* wanted = std::getenv(name);
  return wanted == nullptr ? usual : std::stoull(wanted);
}

/// The seeds that broke a rule and what the worlds have tried.
struct Outcome {
  std::string starved;
  std::string harmed;
  std::string first;                  ///< Description of the first break.
  std::map<std::string, int> causes;  ///< Number of seeds by first cause.
  int broken = 0;
  int takeovers = 0;
  int losses = 0;
  int owed = 0;
  int done = 0;
  MonotonicTime longest_excess{0};
};

void Add(Outcome& outcome, std::uint64_t seed, const StarvedWorld& world) {
  outcome.takeovers += world.takeovers();
  outcome.losses += world.losses();
  outcome.owed += world.owed();
  outcome.done += world.done();
  outcome.longest_excess =
      std::max(outcome.longest_excess, world.longest_excess());
  if (world.longest_excess() >= kMaxExcess) {
    outcome.harmed += " " + std::to_string(seed);
  }
  if (world.starved().empty()) return;
  const StarvedSubmission& first = world.starved().front();
  ++outcome.broken;
  ++outcome.causes[first.cause];
  outcome.starved += " " + std::to_string(seed);
  if (outcome.first.empty() || outcome.causes[first.cause] == 1) {
    outcome.first += "seed " + std::to_string(seed) + ", " + first.id + " at " +
                     std::to_string(Milli(first.at)) + " ms: " + first.cause +
                     "\n  " + first.state + "\n";
  }
}

}  // namespace

// Guards against accepted work that waits beside a half-empty service (LOST):
// of a submission whose ready task fits twice while under half of the
// processors are reserved, something runs within 3 s, also after a takeover,
// after the loss of workers, and beside latency-critical tasks that learned
// effects protect. These are kept from harm meanwhile.
TEST_CASE("no submission starves beside a half-empty service") {
  const std::uint64_t seeds = Setting("MANGOSPREAD_STARVED_SEEDS", kSeeds);
  const std::uint64_t first = Setting("MANGOSPREAD_STARVED_FIRST_SEED", 1);
  Outcome outcome;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    StarvedWorld world(seed);
    world.Run();
    Add(outcome, seed, world);
  }
  MESSAGE(seeds << " seeds, " << outcome.losses << " workers lost, "
                << outcome.takeovers << " takeovers, promise applied to "
                << outcome.owed << " submissions, " << outcome.done
                << " done; longest time above a target "
                << Milli(outcome.longest_excess) << " ms");
  for (const auto& [cause, count] : outcome.causes) {
    MESSAGE(count << " seeds: " << cause);
  }
  CHECK(outcome.takeovers > 0);
  CHECK(outcome.losses > 0);
  CHECK(outcome.owed > 0);
  CHECK_MESSAGE(outcome.broken == 0, outcome.broken << " seeds"
                                                    << outcome.starved << "\n"
                                                    << outcome.first);
  CHECK_MESSAGE(outcome.harmed.empty(), "harm on seeds" << outcome.harmed);
}

}  // namespace mangospread::dispatch::test
