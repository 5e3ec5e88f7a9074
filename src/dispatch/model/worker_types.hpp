/// @file
/// Reports of workers and the commands that they accept.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "crash/lost_run.hpp"
#include "dispatch/model/submission.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Incarnation of a worker process: the Unix time of its start in milliseconds.
using WorkerIncarnation =
    mangospread::detail::StrongCounter<struct WorkerIncarnationTag>;

/// A worker as registered.
struct WorkerInfo {
  VmName vm;
  /// The process that registered; 0 if the registration does not say. Another
  /// process under the same id may have other labels.
  WorkerIncarnation incarnation;
  ServiceName service;
  Address address;
  DataCenter data_center;
  RackName rack;
  std::vector<Label> labels;
  WorkerCapacity capacity;
  bool draining = false;
  bool listed = true;  ///< False once it is missing from the list of workers.
  /// True once it has been missing for so long that it has left.
  bool gone = false;

  /// True if it leaves or may have left, so that it gets no further work.
  [[nodiscard]] bool leaving() const noexcept { return draining || !listed; }

  friend bool operator==(const WorkerInfo& a, const WorkerInfo& b) {
    return a.vm == b.vm && a.incarnation == b.incarnation &&
           a.service == b.service && a.address == b.address &&
           a.data_center == b.data_center && a.rack == b.rack &&
           a.labels == b.labels && a.capacity.cpu == b.capacity.cpu &&
           a.capacity.memory == b.capacity.memory &&
           a.capacity.accelerators == b.capacity.accelerators &&
           a.draining == b.draining && a.listed == b.listed && a.gone == b.gone;
  }
};

/// Milliseconds on a worker's own steady clock, which may run 2% slow.
using WorkerTime = mangospread::detail::StrongCounter<struct WorkerTimeTag>;
/// Fencing token: commands with a lower one than the highest seen are refused.
using WorkerFence = mangospread::detail::StrongCounter<struct WorkerFenceTag>;
/// Number of an attachment: a time in which an agent's session may extend its
/// worker's lease. Counted within an assignment, from 1; 0 from a version that
/// does not number them.
using AttachmentNumber =
    mangospread::detail::StrongCounter<struct AttachmentNumberTag>;
/// Sequence number of an end within one worker process; 0 before the first.
using EndNumber = mangospread::detail::StrongCounter<struct EndNumberTag>;

using crash::JustStarted;
using crash::kStartTrial;

/// A run that a worker lists as running.
struct RunningRun {
  std::string task;
  Attempt run;
  std::string checkpoint;
  int percent = 0;  ///< Progress, or 100 for a long-running task that is ready.
  /// Tail latency in ms for a latency-critical task, else millicores in use,
  /// over about the last half second.
  double measured = 0;
};

enum class RunEnd : unsigned char {
  kDone,
  kFailed,
  kStopped,
  kExpired,          ///< The worker's lease expired.
  kGangMemberEnded,  ///< Another member of the gang ended.
  kGangIncomplete,   ///< The other gang members did not start in time.
};

[[nodiscard]] std::string_view RunEndName(RunEnd end) noexcept;

struct EndedRun {
  EndNumber number;
  std::string task;
  Attempt run;
  RunEnd end_kind = RunEnd::kFailed;
  std::string checkpoint;
};

struct RenewReply {
  WorkerTime clock;
  WorkerIncarnation incarnation;
  std::vector<RunningRun> running;
  /// Ends that are not acknowledged, by ascending number.
  std::vector<EndedRun> ended;
  /// False if the worker may have more ends, which it lists after the
  /// acknowledgement of these.
  bool ends_complete = true;
};

struct RenewCommand {
  WorkerFence fence;
  EndNumber acknowledged;
  WorkerTime lease_until;  ///< 0 does not renew the lease.
  /// Maximum time to wait for an end before replying.
  Milliseconds max_wait{0};
};

struct StartCommand {
  std::string task;
  Attempt run;
  std::string spec;
  std::string checkpoint;
  WorkerTime lease_until;
  WorkerFence fence;
};

/// Result of a command for one run.
enum class CommandOutcome : unsigned char {
  kAccepted,
  kStaleFence,
  kSuperseded,    ///< This or a later run has ended, as the worker recorded.
  kLeaseExpired,  ///< The lease sent with the command had expired.
  kNoCapacity,
  kInvalid,
  kUnhealthy,         ///< Refused without effect by an unhealthy worker.
  kOtherIncarnation,  ///< Another worker process responds at the address.
  kNotSent,           ///< No byte of the command was sent.
  kUnknown,           ///< May take effect now or seconds later.
};

[[nodiscard]] std::string_view CommandOutcomeName(
    CommandOutcome outcome) noexcept;
/// True if the command had no effect or possibly none, and may have one if it
/// is sent again with the present fencing token.
[[nodiscard]] bool MayRetry(CommandOutcome outcome) noexcept;

/// Calls to one worker. Every callback is invoked exactly once, after the call
/// has returned.
class WorkerLink {
 public:
  using RenewCallback = std::function<void(Result<RenewReply>)>;
  using CommandCallback = std::function<void(CommandOutcome)>;

  virtual ~WorkerLink() = default;

  /// False if all connections to the process that responded last are closed, so
  /// that another process may handle the next call.
  [[nodiscard]] virtual bool Connected() const = 0;

  /// Renews the lease, acknowledges ends and returns the runs on the worker.
  /// @errors kStaleEpoch, kNotOwner (another worker responds), kUnavailable,
  ///   kMalformed, kTimeout, kConnectFailed, kConnectionLost.
  virtual void RenewLease(const RenewCommand& command, RenewCallback done) = 0;
  virtual void Start(const StartCommand& command, CommandCallback done) = 0;
  virtual void Stop(const std::string& task, Attempt run, WorkerFence fence,
                    CommandCallback done) = 0;
  /// Throttles a task to `percent` of its speed.
  virtual void Throttle(const std::string& task, Attempt run, int percent,
                        WorkerFence fence, CommandCallback done) = 0;
};

}  // namespace mangospread::dispatch
