// A task whose workers crash while it is at work, one worker at a time. It can
// be done, and none of its runs ends as failed, so its submission must not be
// shown as failed.
#include "deployment.hpp"

namespace {

using namespace review2;

constexpr int kWorkers = 8;
constexpr int kCrashes = 4;
constexpr std::int64_t kAtWorkMs = 1'000;
constexpr std::int64_t kDownMs = 2'000;
constexpr const char* kSubmission = "5c0e7a21d94b36f8";

int Run() {
  Deployment deployment("review/9/record.txt", 3);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2), {"a"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  fleet.Describe(kSubmission, {{6'000, 2'000}});
  const Reply accepted = deployment.CallAny(
      "POST", kSubmission,
      R"({"spec":"x","steps":[{"count":1,"cpu":2000,"mem-mb":256,"estimate-ms":6000}]})");
  if (accepted.status != 200) return kExitNotRun;
  const int crashes = WithTrouble() ? kCrashes : 0;
  for (int i = 0; i < crashes; ++i) {
    std::string worker;
    for (int tries = 0; tries < 400 && worker.empty(); ++tries) {
      worker = fleet.WorkerOf(kSubmission, kAtWorkMs);
      if (worker.empty()) SleepMs(50);
    }
    if (worker.empty()) break;
    fleet.Crash(worker);
    SleepMs(kDownMs);
    fleet.Restart(worker);
  }
  std::string state;
  for (int tries = 0; tries < 40; ++tries) {
    state = deployment.State(kSubmission);
    if (state == "complete" || state == "failed" || state == "cancelled") break;
    SleepMs(500);
  }
  fleet.RecordRuns();
  int failed_runs = 0;
  for (const StartedRun& run : fleet.Log()) failed_runs += run.how == "failed";
  deployment.record().Add("state " + state + ", runs that ended as failed: " +
                          std::to_string(failed_runs));
  if (state == "complete") return kExitHeld;
  if (state == "failed" && failed_runs == 0) {
    deployment.record().Add("LOST: shown as failed without cause");
    return kExitBroken;
  }
  return kExitNotRun;
}

}  // namespace

int main() { return Run(); }
