// A worker crashes four times under tasks that last.
#include <string>
#include <vector>

#include "../support/deployment.hpp"

namespace {

using review::Deployment;
using review::Verdict;

/// The worker that runs something; null if none does.
review::Worker* Busy(Deployment& deployment) {
  for (std::size_t i = 0; i < deployment.workers(); ++i) {
    if (deployment.worker(i).running() > 0) return &deployment.worker(i);
  }
  return nullptr;
}

Verdict Run(const std::string& program, const std::string& record) {
  constexpr int kWorkers = 8;
  constexpr int kCrashes = 4;
  constexpr int kAttempts = 6;
  constexpr int kConfigMs = 2'500;
  constexpr int kWorkMs = 2'500;
  constexpr int kDownMs = 1'000;
  constexpr int kStartMs = 10'000;
  std::vector<review::WorkerOptions> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back({"w" + std::to_string(i), "r" + std::to_string(i / 4)});
  }
  Deployment deployment(program, record, 3, workers);
  if (!deployment.WaitUntilReady()) return Verdict::kNotRun;
  // More attempts than workers crash.
  deployment.Configure(2, kAttempts);
  review::Pause(kConfigMs);
  const std::string id = "00000000000000f1";
  if (!deployment.SubmitWithRetries(
          id, "ledger", {{2, {6'400, 13'000, 0}, {}, "", true}}, 4)) {
    return Verdict::kNotRun;
  }
  bool failed = false;
  for (int i = 0; i < kCrashes && !failed; ++i) {
    review::WaitFor([&] { return Busy(deployment) != nullptr; }, kStartMs);
    review::Pause(kWorkMs);
    review::Worker* worker = Busy(deployment);
    if (worker == nullptr) break;
    if (review::Trouble()) worker->Crash();
    review::Pause(kDownMs);
    if (review::Trouble()) {
      worker->Restart();
      deployment.store().Put("servers", worker->id(), worker->Entry());
    }
    failed = deployment.State(static_cast<std::size_t>(i) % 3, id) == "failed";
  }
  failed = deployment.AwaitState(id, {"failed"}, kWorkMs) == "failed";
  int failed_runs = 0;
  for (const review::RunEvent& run : deployment.runs().All()) {
    if (run.how == "failed") ++failed_runs;
  }
  deployment.record().Add(
      "runs that ended failed: " + std::to_string(failed_runs) +
      (failed ? "; broken: the submission is shown as failed"
              : "; the submission goes on"));
  return failed ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
