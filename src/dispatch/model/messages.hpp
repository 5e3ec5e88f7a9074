/// @file
/// Messages between the leader, which makes the decisions, and the agents,
/// which connect to the workers assigned to them.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/model/worker_types.hpp"

namespace mangospread::dispatch {

/// Identifies a run that may be on a worker.
struct RunId {
  std::string task;
  Attempt run;
  /// The run was started less than kStartTrial before the worker stopped
  /// responding.
  bool just_started = false;
  /// Speed last requested, in per cent of full speed.
  int percent = 100;
  /// The worker accepted the start or listed the run, so the run was certainly
  /// there. Without it, a next leader cannot count the loss of the run as
  /// certain.
  bool confirmed = false;
};

/// Assigns a worker to an agent. The agent may raise the fencing token by less
/// than kFenceStride; a later assignment starts with a higher one.
struct Assignment {
  WorkerInfo worker;
  /// All runs that may be on the worker; nullopt if they are not known.
  std::optional<std::vector<RunId>> known_runs;
  /// Upper bound of the remaining lease granted under earlier assignments;
  /// nullopt if it is not known.
  std::optional<Milliseconds> lease_left;
  WorkerFence fence;
  /// Number of the last start command issued under earlier assignments.
  std::uint64_t starts_before = 0;
  /// Time between load reports while no task is close to its latency target and
  /// none is throttled.
  Milliseconds normal_load_period{400};
  /// The newest assignment of the worker whose runs `known_runs` covers; 0 if
  /// that is not known.
  WorkerFence runs_as_of = WorkerFence();
};

/// Number of fencing tokens that one assignment may use.
inline constexpr std::uint64_t kFenceStride = 1024;

/// Properties of a run that an agent needs to protect the tasks beside it.
struct RunTraits {
  bool long_running = false;
  bool best_effort = false;
  Millicores cpu;
  Milliseconds latency_target{0};
  ImageName image;
};

struct StartRun {
  VmName vm;
  /// Sequence number among the start commands for this worker.
  std::uint64_t number = 0;
  std::string task;
  Attempt run;
  std::string spec;  ///< Submission::spec.
  /// Checkpoint from which the run continues; empty for none.
  std::string checkpoint;
  RunTraits traits;
  /// The newest attachment that the leader had handled. A start extends the
  /// lease, so it is not sent under a later one before that is handled, too.
  AttachmentNumber attachment = AttachmentNumber();
  /// The worker process that the start was decided for; 0 if it is not known.
  /// Another process under the worker's id may lack the required label.
  WorkerIncarnation incarnation = WorkerIncarnation();
};

/// Sends the agent the traits of a run that it found on its worker, and the
/// speed that the run should have.
struct DescribeRun {
  VmName vm;
  std::string task;
  Attempt run;
  RunTraits traits;
  int percent = 100;
};

struct StopRun {
  VmName vm;
  std::string task;
  Attempt run;
};

/// Throttles a run to `percent` of its speed.
struct ThrottleRun {
  VmName vm;
  std::string task;
  Attempt run;
  int percent = 100;
};

/// Acknowledges that ends up to `number` are stored.
struct AcknowledgeEnds {
  VmName vm;
  WorkerIncarnation incarnation;
  EndNumber number;
};

/// Ends the assignment of a worker. The worker's lease stays valid until it
/// expires.
struct Release {
  VmName vm;
};

using AgentCommand = std::variant<Assignment, StartRun, DescribeRun, StopRun,
                                  ThrottleRun, AcknowledgeEnds, Release>;

/// The worker has accepted the assignment's fencing token, so no earlier
/// command can take effect.
struct Attached {
  WorkerIncarnation incarnation;
  /// Number of the last start command that the agent has received. Later starts
  /// are not covered by the lists.
  std::uint64_t starts_seen = 0;
  /// Tasks whose start was received but not sent to the worker yet.
  std::vector<std::string> unsent;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
  /// False if the worker may have more ends than it has listed. A run that is
  /// not listed may then have ended in any way; the other ends follow as
  /// RunEnded, and then another Attached with complete lists.
  bool complete = true;
  AttachmentNumber attachment = AttachmentNumber();
  /// The worker's process may have got a lease from a command for the process
  /// before, whose clock differs; upper bound of its remaining time, 0 if there
  /// is none.
  Milliseconds restart_lease_left{0};
};

struct RunEnded {
  WorkerIncarnation incarnation;
  EndedRun end;
};

/// A start was refused or certainly does not happen.
struct RunNotStarted {
  std::string task;
  Attempt run;
  CommandOutcome reason = CommandOutcome::kUnknown;
};

struct RunStarted {
  std::string task;
  Attempt run;
};

/// A run makes no progress.
struct RunStalled {
  std::string task;
  Attempt run;
};

/// The worker does not respond; its runs may continue until the lease expires.
struct WorkerUnreachable {
  /// Upper bound of the remaining time of its lease.
  Milliseconds lease_left{0};
};

/// The worker has accepted a higher fencing token than this leader issued.
struct WorkerSuperseded {};

/// The worker process has terminated, and its runs with it.
struct WorkerEnded {};

/// State of one run in a worker's report, without the checkpoint.
struct RunSample {
  std::string task;
  Attempt run;
  /// Tail latency in ms for a latency-critical task, else millicores in use.
  double measured = 0;
  int percent = 0;  ///< Progress, or 100 for a long-running task that is ready.
};

/// Measurements over the last half second of all runs that share a worker.
struct WorkerLoad {
  std::vector<RunSample> runs;
  /// False after a failed renewal, until the next reply; `runs` is then empty.
  /// A failed renewal ends the attachment.
  bool responding = true;
  /// Upper bound of the remaining lease, with `responding` false; nullopt from
  /// a version that may go on extending it.
  std::optional<Milliseconds> lease_left = std::nullopt;
  /// The attachment that begins with this report; 0 if none does.
  AttachmentNumber attachment = AttachmentNumber();
};

/// Runs that may be on a worker which an agent serves for a former leader.
/// Nothing else of that leader runs there.
struct FormerLeaderRuns {
  WorkerInfo worker;
  std::vector<RunId> runs;
  /// The worker did not reply to the agent's last renewals.
  bool unreachable = false;
  /// The worker's process has ended, and the runs with it.
  bool ended = false;
  /// Upper bound of the remaining lease; nullopt if it is not known.
  std::optional<Milliseconds> lease_left;
  /// The agent goes on renewing the lease until the worker is assigned anew or
  /// released.
  bool renewing = false;
  /// The newest assignment of the worker whose runs `runs` covers; 0 if that is
  /// not known. An agent with a newer one may have started others.
  WorkerFence runs_as_of = WorkerFence();
};

/// A lease granted in a session that is not among the reports of its agent: the
/// session has ended, or its runs are not known.
struct UnreportedLease {
  VmName vm;
  WorkerFence assignment;  ///< Of the session.
  Milliseconds lease_left{0};
};

/// Ends an agent's reports about former leaders. Its process has granted no
/// other valid lease under them than those reported or named here, and started
/// no run on a worker that is neither.
struct ReportsEnd {
  /// Time since the process started, by which the earlier ones of its node had
  /// ended. It does not know what these granted.
  Milliseconds process_age{0};
  std::vector<UnreportedLease> unreported;
};

struct AgentEvent {
  VmName vm;
  /// Fencing token of the assignment under which the event occurred.
  WorkerFence assignment;
  std::variant<Attached, RunEnded, RunNotStarted, RunStarted, RunStalled,
               WorkerUnreachable, WorkerSuperseded, WorkerEnded, WorkerLoad>
      details;
};

}  // namespace mangospread::dispatch
