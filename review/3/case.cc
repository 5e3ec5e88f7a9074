// In waves, a share of the submissions can never be done.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "../support/deployment.hpp"
#include "../support/runs_check.hpp"

namespace {

using review::Deployment;
using review::Verdict;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// True during the waves: 3 s each, with pauses of 1 s.
bool InWave(steady_clock::duration elapsed) {
  constexpr milliseconds kWave{3'000};
  constexpr milliseconds kPause{1'000};
  return elapsed % (kWave + kPause) < kWave;
}

Verdict Run(const std::string& program, const std::string& record) {
  constexpr int kWorkers = 8;
  constexpr int kEvery = 20;  // In a wave a share of 0.05 can never be done.
  constexpr int kSubmissions = 1'500;
  constexpr int kGapMs = 20;
  constexpr int kFinishMs = 14'000;
  std::vector<review::WorkerOptions> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back({"w" + std::to_string(i), "r" + std::to_string(i / 4)});
  }
  Deployment deployment(program, record, 3, workers);
  if (!deployment.WaitUntilReady()) return Verdict::kNotRun;
  std::vector<std::string> accepted;
  const auto begin = steady_clock::now();
  for (int i = 0; i < kSubmissions; ++i) {
    char id[] = "0000000000060000";
    std::snprintf(id, sizeof(id), "000000000006%04x", i);
    const auto node = static_cast<std::size_t>(i) % deployment.nodes();
    if (review::Trouble() && i % kEvery == kEvery - 1 &&
        InWave(steady_clock::now() - begin)) {
      deployment.Submit(node, id, "poison",
                        {{36, {1'000, 64, 200, true}, {}, "", false}});
    } else if (deployment.Submit(node, id, "check",
                                 {{2, {1'000, 64, 1'000}, {}, "", false}}) ==
               200) {
      accepted.emplace_back(id);
    }
    review::Pause(kGapMs);
  }
  review::Pause(kFinishMs);
  std::vector<std::string> open;
  for (const std::string& id : accepted) {
    if (deployment.State(0, id) != "complete") open.push_back(id);
  }
  return review::CountStranded(deployment, open) > 0 ? Verdict::kBroken
                                                     : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
