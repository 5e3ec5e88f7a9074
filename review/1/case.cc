// A worker is cut off while it ends more than 500 runs.
#include <string>

#include "../support/deployment.hpp"
#include "../support/runs_check.hpp"

namespace {

using review::Deployment;
using review::Verdict;

constexpr int kTasks = 800;
constexpr int kTaskMs = 2'000;
constexpr int kCutMs = 3'000;

Verdict Run(const std::string& program, const std::string& record) {
  constexpr int kStartMs = 6'000;
  constexpr int kEndMs = 20'000;
  Deployment deployment(program, record, 3,
                        {{"w1", "r1"},
                         {"w2", "r2"},
                         {"w3", "r2"},
                         {"w4", "r3"},
                         {"w5", "r3"},
                         {"w6", "r4"}});
  if (!deployment.WaitUntilReady()) return Verdict::kNotRun;
  const std::string id = "00000000000000b1";
  if (!deployment.SubmitWithRetries(
          id, "reconcile", {{kTasks, {30, 64, kTaskMs}, {}, "r1", false}}, 4)) {
    return Verdict::kNotRun;
  }
  review::Worker& worker = deployment.worker(0);
  if (!review::WaitFor([&] { return worker.running() >= kTasks; }, kStartMs)) {
    deployment.record().Add("the tasks don't run together");
    return Verdict::kNotRun;
  }
  if (review::Trouble()) {
    worker.SetCut(true);
    review::Pause(kCutMs);
    worker.SetCut(false);
  }
  deployment.AwaitState(id, {"complete", "failed"}, kEndMs);
  return review::CheckTwice(deployment) ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
