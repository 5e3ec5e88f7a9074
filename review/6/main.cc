// Scheduled submissions with many times are accepted. The platform kills a
// process that exceeds memory-mb and starts it again. Other work must still be
// answered for.
#include "../support-2/deployment.hpp"

namespace review2 {
namespace {

constexpr int kWorkers = 8;
constexpr int kNodes = 3;
constexpr std::int64_t kMemoryMb = 260;
constexpr std::int64_t kRestartMs = 1'000;
constexpr int kSchedules = 8;
/// Once a second for a day.
constexpr int kTimes = 86'400;
constexpr int kFewTimes = 60;
constexpr std::int64_t kFinishMs = 14'000;
/// Ends of one machine's process that the pages count as a fault, on two
/// machines.
constexpr int kFaultEnds = 3;
constexpr const char* kPlain = "9a1a000000000001";

std::int64_t ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stoll(line.substr(6)) / 1024;
  }
  return 0;
}

/// Ends and restarts processes over their memory limit, as the platform does.
class MemoryLimit {
 public:
  explicit MemoryLimit(Deployment& deployment)
      : deployment_(deployment), thread_([this] { Watch(); }) {}
  ~MemoryLimit() {
    stopped_ = true;
    thread_.join();
  }
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;

  [[nodiscard]] int FaultyNodes() const {
    int nodes = 0;
    for (const auto& ends : ends_) nodes += ends >= kFaultEnds ? 1 : 0;
    return nodes;
  }

 private:
  void Watch() {
    std::int64_t restart_at[kNodes] = {};
    while (!stopped_) {
      for (int i = 0; i < kNodes; ++i) {
        if (restart_at[i] > 0 && NowMs() >= restart_at[i]) {
          restart_at[i] = 0;
          deployment_.StartNode(i);
        }
        if (restart_at[i] > 0) continue;
        const std::int64_t resident = ResidentMb(deployment_.pid(i));
        if (resident <= kMemoryMb) continue;
        deployment_.record().Add("node " + std::to_string(i) + " uses " +
                                 std::to_string(resident) + " MB");
        deployment_.KillNode(i);
        ++ends_[i];
        restart_at[i] = NowMs() + kRestartMs;
      }
      SleepMs(10);
    }
    for (int i = 0; i < kNodes; ++i) {
      if (restart_at[i] > 0) deployment_.StartNode(i);
    }
  }

  Deployment& deployment_;
  std::atomic<int> ends_[kNodes] = {};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

std::string Schedule(int times) {
  return json{
      {"spec", "x"},
      {"steps",
       {{{"count", 1}, {"cpu", 100}, {"mem-mb", 16}, {"estimate-ms", 300}}}},
      {"times", times},
      {"interval-ms", 1'000},
      {"start-at-ms", UnixMs() + 3'600'000}}
      .dump();
}

int Run() {
  Deployment deployment("review/6/record.txt", kNodes);
  Fleet& fleet = deployment.fleet();
  for (int i = 0; i < kWorkers; ++i) {
    fleet.Add("i-" + std::to_string(i), "r1-" + std::to_string(i % 2), {"a"});
  }
  if (!deployment.WaitReady()) return kExitNotRun;
  SleepMs(3'000);
  MemoryLimit limit(deployment);
  fleet.Describe(kPlain, {{60'000, 1'000}});
  const Reply plain = deployment.CallAny(
      "POST", kPlain,
      R"({"spec":"x","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":60000}]})");
  if (plain.status != 200) return kExitNotRun;
  int accepted = 0;
  for (int i = 0; i < kSchedules; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "9b1b00000000%04x", i);
    fleet.Describe(id, {{300, 100}});
    accepted +=
        deployment
            .CallAny("POST", id, Schedule(WithTrouble() ? kTimes : kFewTimes))
            .status == 200;
  }
  deployment.record().Add("schedules accepted: " + std::to_string(accepted));
  if (accepted == 0) return kExitNotRun;
  SleepMs(kFinishMs);
  // The plain submission is asked for until an answer says its state.
  const std::int64_t asked_at = NowMs();
  bool answered = false;
  while (!answered && NowMs() - asked_at < kFinishMs) {
    const std::string state = deployment.State(kPlain);
    answered = !state.empty();
  }
  fleet.RecordRuns();
  deployment.record().Add(std::string("accepted submission answered for: ") +
                          (answered ? "yes" : "no") +
                          ", machines whose process was ended " +
                          std::to_string(kFaultEnds) +
                          " times: " + std::to_string(limit.FaultyNodes()));
  if (answered && limit.FaultyNodes() < 2) return kExitHeld;
  deployment.record().Add("LOST or Fault: see the claim");
  return kExitBroken;
}

}  // namespace
}  // namespace review2

int main() { return review2::Run(); }
