// A submission with many tasks that checkpoint. All machines of the system lose
// power for some seconds, so the leases expire and every run ends as lapsed,
// with its checkpoint. The submission can be done, and must not be shown as
// failed.
#include "../support-2/deployment.hpp"

namespace review2 {
namespace {

constexpr int kWorkers = 8;
constexpr int kNodes = 3;
constexpr int kTasks = 20'000;
constexpr std::int64_t kWorkMs = 30'000;
constexpr std::int64_t kDownMs = 7'000;
constexpr const char* kSubmission = "10b0000000000001";

std::size_t Begun(const Fleet& fleet) { return fleet.Log().size(); }

int Run() {
  Deployment deployment("review/8/record.txt", kNodes);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2), {"a"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  TaskPlan plan;
  plan.work_ms = kWorkMs;
  plan.cpu = 10;
  plan.checkpoints = true;
  fleet.Describe(kSubmission, {plan});
  const Reply accepted = deployment.CallAny("POST", kSubmission,
                                            json{{"spec", "x"},
                                                 {"steps",
                                                  {{{"count", kTasks},
                                                    {"cpu", plan.cpu},
                                                    {"mem-mb", 1},
                                                    {"estimate-ms", kWorkMs},
                                                    {"checkpoint", true}}}}}
                                                .dump());
  if (accepted.status != 200) return kExitNotRun;
  for (int tries = 0; tries < 25 && Begun(fleet) < kTasks; ++tries) {
    SleepMs(1'000);
  }
  deployment.record().Add("runs begun: " + std::to_string(Begun(fleet)));
  SleepMs(2'000);
  if (WithTrouble()) {
    for (int i = 0; i < kNodes; ++i) deployment.KillNode(i);
    SleepMs(kDownMs);
    for (int i = 0; i < kNodes; ++i) deployment.StartNode(i);
  }
  std::string state;
  while (NowMs() < 105'000) {
    state = deployment.State(kSubmission);
    if (state == "complete" || state == "failed" || state == "cancelled") break;
    SleepMs(1'000);
  }
  std::map<std::string, int> ends;
  for (const StartedRun& run : fleet.Log()) ++ends[run.how];
  std::string summary = "state " + state + ", ends of runs:";
  for (const auto& [how, count] : ends) {
    summary += " " + (how.empty() ? "none" : how) + " " + std::to_string(count);
  }
  deployment.record().Add(summary);
  if (state == "failed" && ends["failed"] == 0) {
    deployment.record().Add("LOST: shown as failed without cause");
    return kExitBroken;
  }
  return state == "complete" || state == "running" ? kExitHeld : kExitNotRun;
}

}  // namespace
}  // namespace review2

int main() { return review2::Run(); }
