/// @file
/// Interface of a worker. There are implementations for workers that fence by
/// epoch and for workers that only honour leases.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/units.hpp"

namespace mangospread {

/// Fencing token that authorizes a node to command a worker: the owner and its
/// ownership epoch.
struct Fence {
  NodeId owner;
  Epoch epoch;
};

/// Basis on which a worker may grant a claim.
enum class ClaimBasis : unsigned char {
  kTable,  ///< The table's ownership row names the claimant.
  /// The worker itself decides: it grants the claim only if the lease of any
  /// other owner has expired. It grants the claimed epoch or its own highest
  /// epoch + 1, whichever is higher, and returns the granted epoch in its
  /// report.
  kLeaseExpired,
};

/// Phase of a task on its worker.
enum class TaskPhase : unsigned char { kRunning, kStopped, kDone, kFailed };

/// State of a task as reported by its worker.
struct TaskReport {
  std::string task;  ///< "<job>/<index>".
  Attempt attempt;
  TaskPhase phase = TaskPhase::kRunning;
  std::string checkpoint;  ///< Last checkpoint, empty when there is none.
  Millicores cpu_used;
  Mebibytes memory_used;
  /// Share of its speed that is withheld; 0 means full speed.
  int throttle_percent = 0;
};

/// Measurements of one service on a worker over the last report interval.
struct ServiceReport {
  ServiceName service;
  double p99_ms = 0;  ///< 99th percentile of the latency.
  std::uint64_t requests = 0;
};

/// A worker's reply to a claim, a renewal or a release.
struct WorkerReport {
  /// The worker's current epoch. A refused claim or renewal returns it as the
  /// subject of the error instead.
  Epoch epoch;
  NodeId owner;
  std::string boot_id;  ///< Changes when the worker restarts.
  bool leaving = false;
  std::vector<RequestId> in_flight;  ///< Requests in progress.
  std::vector<TaskReport> tasks;
  std::vector<ServiceReport> services;
  /// Time until the current lease expires.
  Milliseconds lease_remaining{0};
};

/// Operation of a TaskCommand.
enum class TaskVerb : unsigned char {
  kStart,
  kThrottle,
  kCheckpoint,
  /// For an unknown attempt: a later start of it is refused.
  kStop,
  /// Deletes the record of an ended attempt; a start of this or an earlier
  /// attempt is refused from then on.
  kForget,
};

/// Command for one attempt of a task.
struct TaskCommand {
  TaskVerb verb = TaskVerb::kStart;
  std::string task;
  Attempt attempt;
  std::string checkpoint;  ///< For kStart: checkpoint to resume from.
  std::string task_class;  ///< For kStart.
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  Milliseconds run_time{0};  ///< For kStart: declared run time.
  /// For kThrottle: share of the speed to withhold; 0 ends the throttling.
  int throttle_percent = 0;
};

/// Commands to one worker. Every call is fenced: a worker that has a higher
/// epoch, or the same epoch with another owner, refuses the call with
/// kStaleEpoch and without effect. The subject of the error is the worker's
/// epoch, if the worker reports it. A worker stops its tasks by itself when no
/// owner has renewed a lease within the task lease (60 s).
class Worker {
 public:
  using ReportCallback = std::function<void(Result<WorkerReport>)>;

  virtual ~Worker() = default;

  /// Makes `fence.owner` the owner for the duration `lease` and reports the
  /// requests and tasks that run on the worker.
  /// @errors kStaleEpoch, kLeaseHeld (basis kLeaseExpired only),
  ///   kConnectFailed, kTimeout, kConnectionLost, kNoCapacity (all connections
  ///   to the worker are in use), kMalformed (invalid reply).
  virtual void Claim(Fence fence, ClaimBasis basis, Milliseconds lease,
                     ReportCallback done) = 0;

  /// Renews the lease and reports the requests and tasks that run on the
  /// worker.
  virtual void Renew(Fence fence, Milliseconds lease, ReportCallback done) = 0;

  /// Releases the ownership; the worker then serves no owner until the next
  /// claim.
  virtual void Release(Fence fence, ReportCallback done) = 0;

  /// Starts, throttles, checkpoints or stops a task, or deletes its record.
  /// Repeating a command for the same attempt has no further effect.
  /// @errors kNotFound when the worker has no record of the attempt, or when
  ///   the attempt was stopped, forgotten or superseded; kNoCapacity and
  ///   kLeaving when the worker refuses a start; the others as for Claim.
  virtual void Command(Fence fence, TaskCommand command,
                       std::function<void(Result<TaskReport>)> done) = 0;
};

}  // namespace mangospread
