// A worker crashes and starts again at once under its id and at its address,
// as one of another kind. Until it has registered, the store holds the entry of
// its former life. No task may start on it that requires the former kind.
#include "../support-2/deployment.hpp"

namespace review2 {
namespace {

constexpr int kWorkers = 8;
constexpr int kWorkersOfKindA = 2;
constexpr std::int64_t kDownMs = 1'500;
constexpr std::int64_t kSubmitPeriodMs = 200;
constexpr int kBefore = 15;
constexpr int kAfter = 30;

std::string Id(int n) {
  char text[17];
  std::snprintf(text, sizeof text, "7a5e00000000%04x", n);
  return text;
}

void Submit(Deployment& deployment, int n) {
  deployment.fleet().Describe(Id(n), {{400, 1'000}});
  (void)deployment.CallAny(
      "POST", Id(n),
      R"({"spec":"x","steps":[{"count":2,"cpu":1000,"mem-mb":64,"estimate-ms":400,"requires":"a"}]})");
  SleepMs(kSubmitPeriodMs);
}

int Run() {
  Deployment deployment("review/10/record.txt", 3);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2),
              {i < kWorkersOfKindA ? "a" : "b"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  int submitted = 0;
  while (submitted < kBefore) Submit(deployment, submitted++);
  std::thread trouble;
  if (WithTrouble()) {
    fleet.Crash("i-0");
    trouble = std::thread([&fleet] {
      SleepMs(kDownMs);
      fleet.RestartAs("i-0", {"b"});
    });
  }
  while (submitted < kBefore + kAfter) Submit(deployment, submitted++);
  if (trouble.joinable()) trouble.join();
  SleepMs(3'000);
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
