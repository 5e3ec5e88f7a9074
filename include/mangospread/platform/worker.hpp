/// @file
/// What the system needs from a worker. Implementations exist for workers that
/// fence by epoch and for workers that only honour leases.
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

/// The owner's right to command a worker.
struct Fence {
  NodeId owner;
  Epoch epoch;
};

/// Why a claim may be granted.
enum class ClaimBasis : unsigned char {
  kTable,  ///< The table's ownership row names the claimant.
  /// The worker itself decides: only if the lease of any other owner ran out.
  /// It grants the claimed epoch or its own highest + 1, whichever is higher,
  /// and says which in its report.
  kLeaseExpired,
};

enum class TaskPhase : unsigned char { kRunning, kStopped, kDone, kFailed };

/// A task as its worker sees it.
struct TaskReport {
  std::string task;  ///< "<job>/<index>".
  Attempt attempt;
  TaskPhase phase = TaskPhase::kRunning;
  std::string checkpoint;  ///< Last checkpoint, empty when there is none.
  Millicores cpu_used;
  Mebibytes memory_used;
  int throttle_percent = 0;  ///< 0 runs at full speed.
};

/// Measurements of one service on a worker over the last report interval.
struct ServiceReport {
  ServiceName service;
  double p99_ms = 0;
  std::uint64_t requests = 0;
};

/// A worker's answer to a claim or a renewal.
struct WorkerReport {
  Epoch epoch;
  NodeId owner;
  std::string boot_id;  ///< Changes when the worker restarts.
  bool leaving = false;
  std::vector<RequestId> in_flight;
  std::vector<TaskReport> tasks;
  std::vector<ServiceReport> services;
  /// Epoch that a refused claim or renewal met.
  Milliseconds lease_remaining{0};
};

enum class TaskVerb : unsigned char {
  kStart,
  kThrottle,
  kCheckpoint,
  kStop,    ///< Of an unknown attempt: its later start is refused.
  kForget,  ///< Drops the record of an ended attempt; a start of this or an
            ///< earlier attempt is refused from then on.
};

struct TaskCommand {
  TaskVerb verb = TaskVerb::kStart;
  std::string task;
  Attempt attempt;
  std::string checkpoint;  ///< For kStart: where to resume.
  std::string task_class;  ///< For kStart.
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  Milliseconds run_time{0};  ///< For kStart: declared run time.
  int throttle_percent = 0;  ///< For kThrottle.
};

/// Commands to one worker. Every call is fenced: a worker that knows a higher
/// epoch, or the same epoch for another owner, refuses with kStaleEpoch and
/// does nothing. The error's subject is the epoch that it knows, if it says so.
/// A worker stops its tasks by itself when no owner renewed a lease for the
/// task lease (60 s).
class Worker {
 public:
  using ReportCallback = std::function<void(Result<WorkerReport>)>;

  virtual ~Worker() = default;

  /// Makes `fence.owner` the owner for `lease` and returns what runs there.
  /// @errors kStaleEpoch, kLeaseHeld (basis kLeaseExpired only),
  ///   kConnectFailed, kTimeout, kConnectionLost.
  virtual void Claim(Fence fence, ClaimBasis basis, Milliseconds lease,
                     ReportCallback done) = 0;

  /// Extends the lease and returns what runs.
  virtual void Renew(Fence fence, Milliseconds lease, ReportCallback done) = 0;

  /// Gives the worker up; it then serves nobody until the next claim.
  virtual void Release(Fence fence, ReportCallback done) = 0;

  /// Starts, throttles, checkpoints or stops a task. Repeating a command with
  /// the same attempt changes nothing more.
  /// @errors kNotFound when the worker does not know the attempt, or knows it
  ///   as stopped, forgotten or superseded; the others as for Claim.
  virtual void Command(Fence fence, TaskCommand command,
                       std::function<void(Result<TaskReport>)> done) = 0;
};

}  // namespace mangospread
