/// @file
/// Simulated services with latency-critical tasks, on which submissions of all
/// kinds wait, workers are lost and leaders change.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {

/// For traces.
inline std::int64_t Milli(MonotonicTime time) {
  return std::chrono::duration_cast<Milliseconds>(time).count();
}

/// A submission that had nothing running for too long.
struct StarvedSubmission {
  std::string id;
  MonotonicTime at{0};
  /// Its kind and the reasons for which its tasks wait.
  std::string cause;
  std::string state;  ///< Of its tasks and workers, for the test's output.
};

/// A service that the seed describes. Its dispatcher is replaced with each
/// takeover by one that is restored from the stored rows and from the runs that
/// the workers list.
class StarvedWorld : private DispatcherFixture {
 public:
  static constexpr MonotonicTime kTick = std::chrono::milliseconds(50);
  /// LOST: a submission may have nothing running for this long while a task of
  /// it is ready, fits twice and under half of the processors are reserved.
  static constexpr MonotonicTime kMaxStarved = std::chrono::seconds(3);

  explicit StarvedWorld(std::uint64_t seed);
  ~StarvedWorld() = default;
  StarvedWorld(const StarvedWorld&) = delete;
  StarvedWorld& operator=(const StarvedWorld&) = delete;

  /// Runs to the end of the simulated time.
  void Run();

  /// Each submission at most once.
  [[nodiscard]] const std::vector<StarvedSubmission>& starved() const {
    return starved_;
  }
  /// The longest time that a latency-critical task was above its target because
  /// of the best-effort tasks beside it.
  [[nodiscard]] MonotonicTime longest_excess() const { return longest_excess_; }
  [[nodiscard]] int takeovers() const { return takeovers_; }
  [[nodiscard]] int losses() const { return losses_; }
  /// Number of submissions to which the promise applied at some moment.
  [[nodiscard]] int owed() const { return static_cast<int>(owed_.size()); }
  [[nodiscard]] int done() const;

 private:
  struct WorkerRun {
    Attempt number;
    const StepSpec* spec = nullptr;
    double phase = 0;  ///< Of a latency-critical task's load.
    int percent = 100;
    double seconds_left = 0;  ///< At full speed.
    MonotonicTime started{0};
    MonotonicTime over_target_for{0};
  };
  struct Worker {
    WorkerInfo info;
    std::uint64_t incarnation = 1;
    bool up = true;
    bool reachable = true;
    bool attached = false;         ///< To the present leader.
    MonotonicTime attaches_at{0};  ///< After a takeover or a loss; 0 for none.
    MonotonicTime lease_until{0};  ///< Of an unreachable worker.
    std::uint64_t last_end = 0;
    std::uint64_t starts_seen = 0;
    std::map<std::string, WorkerRun> runs;
    std::vector<EndedRun> ended;    ///< Not acknowledged.
    std::vector<RunId> known_runs;  ///< To the former leader.
  };
  struct Accepted {
    Submission submission;
    QueuePolicy policy;
    MonotonicTime at{0};
    JobProgress stored;
    std::set<std::string> done;  ///< Tasks whose ends the leader knows.
    std::map<std::string, double> seconds_left;  ///< By task, at its last end.
    MonotonicTime starved_for{0};
  };

  int Draw(int lowest, int highest);
  bool Chance(double probability);
  double Uniform(double lowest, double highest);

  // Drawing (starved_world_draws.cc).
  void DrawServices();
  void DrawInterference();
  void DrawArrivals();
  void DrawFaults();
  StepSpec DrawStep(const std::string& service);
  void AcceptLatencyCritical(const std::string& service, int workers);

  // Events.
  void Accept(const Accepted& accepted);
  void LoseWorker(bool after_start);
  void Crash(Worker& worker);
  void MoveWorkers();
  void Attach(Worker& worker);
  void RemoveExpired(Worker& worker);
  void EndLeader();
  void StartLeader();
  void RestoreDone(Accepted& accepted) const;
  void MoveTakeover();
  void Forget(const Worker& worker);

  // Runs (starved_world_runs.cc).
  void CarryOut(const AgentCommand& command);
  void StartTask(Worker& worker, const StartRun& start);
  void EndRun(Worker& worker, const std::string& task, RunEnd end_kind);
  void MoveRuns();
  void EndGang(const TaskName& member);
  void NoteDone(const std::string& task);
  void Judge(const Worker& worker, WorkerRun& run);
  void ReportLoads();
  void Store();
  [[nodiscard]] double Load(const WorkerRun& run) const;
  [[nodiscard]] double Added(const Worker& worker, const WorkerRun& run) const;

  // The promise (starved_world_promise.cc).
  void CheckPromise();
  [[nodiscard]] bool Runs(const std::string& id) const;
  [[nodiscard]] std::set<std::string> HeldTasks() const;
  [[nodiscard]] double ReservedShare(const ServiceName& service) const;
  [[nodiscard]] bool HasReadyTaskThatFitsTwice(
      const Accepted& accepted, const std::set<std::string>& held) const;
  [[nodiscard]] int Places(const ServiceName& service, const StepSpec& spec,
                           const std::string& step_prefix) const;
  [[nodiscard]] StarvedSubmission Describe(const Accepted& accepted) const;

  std::mt19937_64 random_;
  std::vector<std::string> services_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Accepted> accepted_;
  std::multimap<MonotonicTime, Accepted> arrivals_;
  std::multimap<MonotonicTime, bool> worker_losses_;  ///< Just after a start?
  std::set<MonotonicTime> leader_ends_;
  std::map<std::pair<ImageName, ImageName>, double> effects_;
  double mean_load_ = 0;
  MonotonicTime command_delay_{0};
  MonotonicTime store_delay_{0};
  std::vector<LearnedInterference> stored_interference_;

  bool leads_ = true;
  bool resumed_ = true;
  MonotonicTime resumed_at_{0};
  MonotonicTime next_leader_at_{0};
  std::uint32_t first_run_ = 1;
  std::deque<std::pair<MonotonicTime, AgentCommand>> in_flight_;
  struct Save {
    MonotonicTime at{0};
    SubmissionId id;
    std::uint64_t generation = 0;
    JobProgress progress;
  };
  std::deque<Save> saves_;

  std::vector<StarvedSubmission> starved_;
  std::set<std::string> owed_;
  MonotonicTime longest_excess_{0};
  int takeovers_ = 0;
  int losses_ = 0;
};

}  // namespace mangospread::dispatch::test
