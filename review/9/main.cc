// A submission of several thousand small tasks that last is cancelled, and the
// DELETE is answered with 200. Its tasks must be gone cancel_ms +
// stop-timeout-ms later.
#include "../support-2/deployment.hpp"

namespace review2 {
namespace {

constexpr int kWorkers = 8;
constexpr int kTasks = 6'000;
constexpr int kFewTasks = 160;
/// Other submissions, which nobody cancels.
constexpr int kOthers = 4;
constexpr std::int64_t kWatchMs = 15'000;
constexpr const char* kSubmission = "9ca0ce1000000001";

int AtWork(const Fleet& fleet) {
  int runs = 0;
  for (const StartedRun& run : fleet.Log()) {
    const bool cancelled = SubmissionOf(run.task) == kSubmission;
    runs += cancelled && run.ended_at < 0 ? 1 : 0;
  }
  return runs;
}

int Run() {
  Deployment deployment("review/9/record.txt", 3);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2), {"a"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  TaskPlan other;
  other.work_ms = 60'000;
  other.cpu = 100;
  for (int i = 0; i < kOthers; ++i) {
    const std::string id = "9ca0ce200000000" + std::to_string(i);
    fleet.Describe(id, {other});
    const Reply reply = deployment.CallAny(
        "POST", id,
        R"({"spec":"x","steps":[{"count":2,"cpu":100,"mem-mb":1,"estimate-ms":60000}]})");
    if (reply.status != 200) return kExitNotRun;
  }
  const int tasks = WithTrouble() ? kTasks : kFewTasks;
  TaskPlan plan;
  plan.lasts = true;
  plan.cpu = 10;
  fleet.Describe(kSubmission, {plan});
  const Reply accepted = deployment.CallAny("POST", kSubmission,
                                            json{{"spec", "x"},
                                                 {"steps",
                                                  {{{"count", tasks},
                                                    {"cpu", plan.cpu},
                                                    {"mem-mb", 1},
                                                    {"estimate-ms", 400},
                                                    {"long-running", true}}}}}
                                                .dump());
  if (accepted.status != 200) return kExitNotRun;
  for (int tries = 0; tries < 40 && AtWork(fleet) < tasks; ++tries) {
    SleepMs(500);
  }
  // Calm for longer than contact-ms.
  SleepMs(kContactMs + 2'000);
  deployment.record().Add("runs at work " + std::to_string(AtWork(fleet)));
  const Reply cancelled = deployment.CallAny("DELETE", kSubmission);
  const std::int64_t cancelled_at = NowMs();
  if (cancelled.status != 200) return kExitNotRun;
  int late = 0;
  while (NowMs() < cancelled_at + kWatchMs) {
    SleepMs(500);
    const int runs = AtWork(fleet);
    const std::int64_t since = NowMs() - cancelled_at;
    deployment.record().Add(std::to_string(since) +
                            " ms after the answer, runs at work " +
                            std::to_string(runs));
    if (since > kCancelMs + kStopTimeoutMs) late = std::max(late, runs);
    if (runs == 0) break;
  }
  if (late == 0) return kExitHeld;
  deployment.record().Add("UNASKED: tasks run on after the cancelling: " +
                          std::to_string(late));
  return kExitBroken;
}

}  // namespace
}  // namespace review2

int main() { return review2::Run(); }
