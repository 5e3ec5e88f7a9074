/// @file
/// Messages between the leader, which decides, and the agents, which talk to
/// the workers assigned to them.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/model/worker_types.hpp"

namespace mangospread::dispatch {

/// A run that may be on a worker.
struct RememberedRun {
  std::string task;
  Attempt run;
};

/// Gives a worker to an agent. The agent may raise the fence by less than
/// kFenceStride; a later assignment starts at a higher one.
struct Assignment {
  WorkerInfo worker;
  /// All runs that may be on the worker; none when they are not known.
  std::optional<std::vector<RememberedRun>> known_runs;
  WorkerFence fence;
  /// Number of the last start ordered before; earlier assignments end with it.
  std::uint64_t starts_before = 0;
  /// Time between load reports while nothing is strained.
  Milliseconds calm_load_period{400};
};

/// Fences that one assignment may use.
inline constexpr std::uint64_t kFenceStride = 1024;

/// What an agent must know of a run to guard the tasks beside it.
struct RunTraits {
  bool long_running = false;
  bool fills = false;
  Millicores cpu;
  Milliseconds latency_target{0};
  ImageName image;
};

struct StartRun {
  VmName vm;
  /// Counts the starts ordered on this worker.
  std::uint64_t number = 0;
  std::string task;
  Attempt run;
  std::string spec;
  std::string checkpoint;
  RunTraits traits;
};

/// Tells the agent the traits of a run that it found on its worker.
struct DescribeRun {
  VmName vm;
  std::string task;
  Attempt run;
  RunTraits traits;
};

struct StopRun {
  VmName vm;
  std::string task;
  Attempt run;
};

/// Lets a run work at a share of its speed.
struct PaceRun {
  VmName vm;
  std::string task;
  Attempt run;
  int percent = 100;
};

/// Ends up to `number` are stored.
struct AcknowledgeEnds {
  VmName vm;
  WorkerBirth born;
  EndNumber number;
};

struct Release {
  VmName vm;
};

using AgentOrder = std::variant<Assignment, StartRun, DescribeRun, StopRun,
                                PaceRun, AcknowledgeEnds, Release>;

/// The worker obeys the assignment's fence: no earlier order can take effect.
struct Attached {
  WorkerBirth born;
  /// Number of the last start order that the agent has seen. A start after it
  /// is not covered by the lists.
  std::uint64_t starts_seen = 0;
  /// Starts seen but not sent yet.
  std::vector<std::string> unsent;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

struct RunEnded {
  WorkerBirth born;
  EndedRun end;
};

/// A start was refused, or certainly never happens.
struct RunNotStarted {
  std::string task;
  Attempt run;
  OrderOutcome why = OrderOutcome::kUnknown;
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

/// The worker does not answer; its runs may go on until the lease ends.
struct WorkerUnreachable {
  /// Upper bound of what is left of its lease.
  Milliseconds lease_left{0};
};

/// The worker obeys a higher fence than this leadership gave.
struct WorkerSuperseded {};

/// The worker process is over and its runs with it.
struct WorkerEnded {};

/// What a worker's list says of one run, without the checkpoint.
struct RunSample {
  std::string task;
  Attempt run;
  /// Tail latency in ms for a serving task, else millicores in use.
  double measured = 0;
  int percent = 0;  ///< Progress, or 100 for a long-running task at work.
};

/// Measurements of the last half second of all runs that share a worker.
struct WorkerLoad {
  std::vector<RunSample> runs;
};

/// Runs that may be on a worker that an agent serves for an earlier leadership.
/// Nothing else of that leadership runs there.
struct RememberedRuns {
  WorkerInfo worker;
  std::vector<RememberedRun> runs;
};

struct AgentEvent {
  VmName vm;
  /// Of the assignment under which it happened.
  WorkerFence assignment;
  std::variant<Attached, RunEnded, RunNotStarted, RunStarted, RunStalled,
               WorkerUnreachable, WorkerSuperseded, WorkerEnded, WorkerLoad>
      what;
};

}  // namespace mangospread::dispatch
