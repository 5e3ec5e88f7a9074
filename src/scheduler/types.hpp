/// @file
/// Data types of tasks and workers, and the interface of the decision engine.
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
/// Tasks of one class are expected to cause similar interference.
using TaskClass = mangospread::detail::StrongString<struct TaskClassTag>;

/// Declared requirements of a task. Declared amounts can be wrong by a factor
/// of ten.
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
  int evictions = 0;  ///< Earlier evictions of the task.
};

/// A task placed on a worker: assigned, starting or running.
struct PlacedTask {
  TaskDemand demand;
  MonotonicTime placed_at{0};
  /// Measured use in the last report; zero until a report includes the task.
  Millicores cpu_used;
  Mebibytes memory_used;
  /// Percentage by which the speed of the task is reduced.
  int throttle_percent = 0;
};

/// Last measurement of a service on a worker.
struct ServiceLoad {
  ServiceName service;
  TaskClass task_class;  ///< Empty if the service forms its own class.
  double p99_ms = 0;
  Milliseconds objective_p99{0};  ///< 0 if the service has none.
  /// False if tasks may slow the service without limit.
  bool guard = true;
  double requests_per_second = 0;
};

/// Last reported state of a worker. The measured figures do not include tasks
/// placed after `report_at`; these are accounted for with their full declared
/// size.
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
  /// Tasks that the caller has assigned to the worker.
  std::vector<PlacedTask> tasks;
};

struct TeamQuota {
  TeamName team;
  Millicores cpu;             ///< 0 is unlimited.
  Accelerators accelerators;  ///< 0 is unlimited.
  double weight = 1.0;        ///< Share of the capacity, relative to others.
};

/// Relative importance of the goals of the policy.
struct Weights {
  double latency = 1.0;
  double throughput = 1.0;
  double evictions = 1.0;
};

/// A worker that was considered, with its cost; lower is better.
struct Alternative {
  VmName vm;
  double cost = 0;
};

struct PlaceDecision {
  TaskId task;
  VmName vm;
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::string reason;
};

struct EvictDecision {
  TaskId task;
  VmName vm;
  std::string reason;
};

struct ThrottleDecision {
  TaskId task;
  VmName vm;
  int throttle_percent = 0;  ///< 0 ends the throttling.
  std::string reason;
};

/// The task can never run, for example because it is larger than any worker.
struct CannotRunDecision {
  TaskId task;
  std::string reason;
};

/// Too many attempts on a worker failed; no task is placed on it for a while.
struct QuarantineDecision {
  VmName vm;
  std::string reason;
};

using Decision = std::variant<PlaceDecision, EvictDecision, ThrottleDecision,
                              CannotRunDecision, QuarantineDecision>;

/// Outcome of an attempt, used for learning and for quarantine.
enum class AttemptEnd : unsigned char {
  kDone,
  kFailed,
  kEvicted,
  kCancelled,
  kLost,  ///< The worker was lost while the attempt ran.
};

/// Decides which task runs on which worker. Reads no clock, opens no sockets,
/// and derives its state only from the calls that it receives; the caller
/// executes the decisions and reports their results.
class DecisionEngine {
 public:
  virtual ~DecisionEngine() = default;

  virtual void SetWeights(const Weights& weights) = 0;
  virtual void SetQuotas(const std::vector<TeamQuota>& quotas) = 0;

  /// Adds a worker or replaces its state.
  virtual void UpdateWorker(const WorkerState& worker) = 0;
  virtual void RemoveWorker(const VmName& vm) = 0;

  /// Queues a task for placement. Replaces a queued task with the same id.
  virtual void Enqueue(const TaskDemand& task, MonotonicTime now) = 0;
  /// Removes a queued task.
  virtual void Dequeue(const TaskId& task) = 0;
  [[nodiscard]] virtual std::size_t queued() const = 0;
  /// Reason for which a queued task was not placed at the last attempt; empty
  /// if the task has not been tried or is not queued.
  [[nodiscard]] virtual std::string WaitReason(const TaskId& /*task*/) const {
    return {};
  }

  /// Returns the next decisions, with at most `limit` placements. A placed task
  /// leaves the queue and uses capacity of its worker from then on.
  [[nodiscard]] virtual std::vector<Decision> Decide(MonotonicTime now,
                                                     std::size_t limit) = 0;

  /// A placed task could not be started; its capacity is released. The caller
  /// enqueues it again if it should run.
  virtual void OnNotStarted(const TaskId& task, const VmName& vm) = 0;
  /// A placed task has ended.
  virtual void OnEnded(const TaskId& task, const VmName& vm, AttemptEnd end,
                       MonotonicTime now) = 0;
};

}  // namespace mangospread::scheduler
