// The store is down for some seconds. Meanwhile a worker crashes and starts
// again under its id and at its address, as one of another kind, and cannot
// register yet. No task may start on it that requires the former kind.
#include "../support-2/deployment.hpp"

namespace review2 {
namespace {

constexpr int kWorkers = 8;
constexpr int kWorkersOfKindA = 2;
constexpr std::int64_t kStoreDownMs = 4'200;
constexpr std::int64_t kCrashAfterMs = 500;
constexpr std::int64_t kDownMs = 1'500;
constexpr int kTasks = 200;
constexpr const char* kSubmission = "7a5e000000000001";

int Run() {
  Deployment deployment("review/10/record.txt", 3);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2),
              {i < kWorkersOfKindA ? "a" : "b"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  fleet.Describe(kSubmission, {{400, 8'000}});
  const Reply accepted = deployment.CallAny("POST", kSubmission,
                                            json{{"spec", "x"},
                                                 {"steps",
                                                  {{{"count", kTasks},
                                                    {"cpu", 8'000},
                                                    {"mem-mb", 64},
                                                    {"estimate-ms", 400},
                                                    {"requires", "a"}}}}}
                                                .dump());
  if (accepted.status != 200) return kExitNotRun;
  SleepMs(2'000);
  if (WithTrouble()) {
    deployment.record().Add("the store is down");
    deployment.store().SetDown(true);
    const std::int64_t up_at = NowMs() + kStoreDownMs;
    SleepMs(kCrashAfterMs);
    fleet.Crash("i-0");
    SleepMs(kDownMs);
    fleet.RestartAs("i-0", {"b"});
    SleepMs(up_at - NowMs());
    deployment.store().SetDown(false);
    deployment.record().Add("the store is back");
  }
  SleepMs(10'000);
  fleet.RecordRuns();
  int runs = 0;
  int wrong = 0;
  for (const StartedRun& run : fleet.Log()) {
    ++runs;
    wrong += run.labels.contains("a") ? 0 : 1;
  }
  deployment.record().Add("runs " + std::to_string(runs) +
                          ", without the label that they require " +
                          std::to_string(wrong));
  if (runs == 0) return kExitNotRun;
  if (wrong == 0) return kExitHeld;
  deployment.record().Add("ROUTE: started without the label in requires");
  return kExitBroken;
}

}  // namespace
}  // namespace review2

int main() { return review2::Run(); }
