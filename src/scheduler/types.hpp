/// @file
/// What the scheduler knows of tasks and workers, and what it decides.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "mangospread/ids.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/platform/worker.hpp"
#include "mangospread/units.hpp"

namespace mangospread::scheduler {

/// "<job>/<index>".
using TaskId = mangospread::detail::StrongString<struct TaskIdTag>;
/// Tasks of a class are expected to interfere alike.
using TaskClass = mangospread::detail::StrongString<struct TaskClassTag>;

/// What a task asks for. Declared amounts can be wrong by a factor of ten.
struct TaskDemand {
  TaskId id;
  JobName job;
  TeamName team;
  TaskClass task_class;
  bool urgent = false;
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  Milliseconds run_time{0};
  int evictions = 0;
};

/// A task placed on a worker: assigned, starting or running.
struct PlacedTask {
  TaskDemand demand;
  MonotonicTime placed_at{0};
  /// Measured use from the last report; zero until a report includes it.
  Millicores cpu_used;
  Mebibytes memory_used;
  int throttle_percent = 0;
};

/// A service on a worker as last measured.
struct ServiceLoad {
  ServiceName service;
  TaskClass task_class;
  double p99_ms = 0;
  Milliseconds objective_p99{0};
  bool guard = true;
  double requests_per_second = 0;
};

/// A worker as last reported. Tasks placed after `report_at` are not in the
/// measured figures and count in full with their declared size.
struct WorkerState {
  VmName vm;
  DataCenter data_center;
  RackName rack;
  WorkerCapacity capacity;
  bool accepts_work = true;
  MonotonicTime report_at{0};
  /// Measured use of everything on the worker, services included.
  Millicores cpu_used;
  Mebibytes memory_used;
  std::vector<ServiceLoad> services;
  std::vector<PlacedTask> tasks;
};

struct TeamQuota {
  TeamName team;
  Millicores cpu;  ///< 0 is unlimited.
  Accelerators accelerators;
  double weight = 1.0;
};

struct Weights {
  double latency = 1.0;
  double throughput = 1.0;
  double evictions = 1.0;
};

/// A considered alternative with its cost; lower is better.
struct Alternative {
  VmName vm;
  double cost = 0;
};

struct PlaceDecision {
  TaskId task;
  VmName vm;
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::string why;
};

struct EvictDecision {
  TaskId task;
  VmName vm;
  std::string why;
};

struct ThrottleDecision {
  TaskId task;
  VmName vm;
  int throttle_percent = 0;  ///< 0 releases.
  std::string why;
};

/// The task can never run, for example because it is larger than any worker.
struct CannotRunDecision {
  TaskId task;
  std::string why;
};

/// A worker fails what it starts and gets no task for a while.
struct QuarantineDecision {
  VmName vm;
  std::string why;
};

using Decision = std::variant<PlaceDecision, EvictDecision, ThrottleDecision,
                              CannotRunDecision, QuarantineDecision>;

/// How an attempt ended, for learning and quarantine.
enum class AttemptEnd : unsigned char {
  kDone,
  kFailed,
  kEvicted,
  kCancelled,
  kLost,  ///< The worker was lost with it.
};

/// Decides what runs where. Has no clock, no sockets and no other state than
/// what its calls gave it; the caller carries decisions out and reports the
/// results back.
class DecisionEngine {
 public:
  virtual ~DecisionEngine() = default;

  virtual void SetWeights(const Weights& weights) = 0;
  virtual void SetQuotas(const std::vector<TeamQuota>& quotas) = 0;

  /// Adds a worker or replaces what is known of it.
  virtual void UpdateWorker(const WorkerState& worker) = 0;
  virtual void RemoveWorker(const VmName& vm) = 0;

  /// Adds a task that waits to be placed. A task that is known is replaced.
  virtual void Enqueue(const TaskDemand& task, MonotonicTime now) = 0;
  /// Drops a waiting task.
  virtual void Dequeue(const TaskId& task) = 0;
  [[nodiscard]] virtual std::size_t queued() const = 0;
  /// Why a waiting task was not placed when it was last tried; empty for one
  /// that was not tried or does not wait.
  [[nodiscard]] virtual std::string WaitReason(const TaskId& /*task*/) const {
    return {};
  }

  /// The next decisions, at most `limit` placements. A placed task has left
  /// the queue and occupies its worker from then on.
  [[nodiscard]] virtual std::vector<Decision> Decide(MonotonicTime now,
                                                     std::size_t limit) = 0;

  /// A placed task could not be started; its room is free again. The caller
  /// enqueues it again if it should run.
  virtual void OnNotStarted(const TaskId& task, const VmName& vm) = 0;
  /// A placed task has ended.
  virtual void OnEnded(const TaskId& task, const VmName& vm, AttemptEnd end,
                       MonotonicTime now) = 0;
};

}  // namespace mangospread::scheduler
