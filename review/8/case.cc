// A machine freezes with a consumer's request in its socket. The consumer gets
// no answer in its time, leaves, and cancels at another machine, which answers
// at once. No task of the submission may start or run on later than `cancel_ms`
// after that.
#include "deployment.hpp"

namespace {

using namespace review2;

constexpr int kWorkers = 8;
constexpr std::int64_t kFreezeMs = 4'000;
constexpr int kDeadlineMs = 3'000;
constexpr std::int64_t kWatchMs = 20'000;
constexpr const char* kSubmission = "8ca0ce1000000001";
constexpr const char* kBody =
    R"({"spec":"x","steps":[{"count":2,"cpu":1000,"mem-mb":64,"estimate-ms":1000,"long-running":true}]})";

int Run() {
  Deployment deployment("review/8/record.txt", 3);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2), {"a"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  const int leader = deployment.Leader();
  if (leader < 0) return kExitNotRun;
  const int frozen = (leader + 1) % deployment.size();
  const int other = (leader + 2) % deployment.size();
  TaskPlan plan;
  plan.lasts = true;
  fleet.Describe(kSubmission, {plan});
  std::thread thaw;
  if (WithTrouble()) {
    deployment.Signal(frozen, SIGSTOP, "freezes");
    thaw = std::thread([&] {
      SleepMs(kFreezeMs);
      deployment.Signal(frozen, SIGCONT, "wakes");
    });
  }
  // The consumer waits for as long as its Deadline-Ms says, then leaves.
  const Reply handed_in =
      deployment.CallNode(frozen, "POST", kSubmission, kBody, kDeadlineMs);
  if (!WithTrouble()) SleepMs(1'000);
  const Reply cancelled = deployment.CallNode(other, "DELETE", kSubmission);
  const std::int64_t cancelled_at = NowMs();
  if (thaw.joinable()) thaw.join();
  if (cancelled.status != 200 && cancelled.status != 410) return kExitNotRun;
  if (WithTrouble() && handed_in.status != 0) return kExitNotRun;
  SleepMs(kWatchMs - (NowMs() - cancelled_at));
  (void)deployment.State(kSubmission);
  fleet.RecordRuns();
  const std::int64_t bound = cancelled_at + kCancelMs + kStopTimeoutMs;
  // Counted only once the frozen machine has been in touch again.
  const std::int64_t in_touch = cancelled_at + kFreezeMs + 2 * kContactMs;
  bool broken = false;
  for (const StartedRun& run : fleet.Log()) {
    const std::int64_t until = run.ended_at < 0 ? NowMs() : run.ended_at;
    broken = broken || (until > bound && until > in_touch);
  }
  deployment.record().Add("cancelling acknowledged at " +
                          std::to_string(cancelled_at));
  if (!broken) return kExitHeld;
  deployment.record().Add("UNASKED: runs on after its cancelling");
  return kExitBroken;
}

}  // namespace

int main() { return Run(); }
