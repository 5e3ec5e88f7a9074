/// @file
/// What workers say of themselves, and the orders that they take.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dispatch/model/submission.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// A worker as it registered itself.
struct WorkerInfo {
  VmName vm;
  ServiceName service;
  Address address;
  DataCenter data_center;
  RackName rack;
  std::vector<Label> labels;
  WorkerCapacity capacity;
  bool draining = false;

  friend bool operator==(const WorkerInfo& a, const WorkerInfo& b) {
    return a.vm == b.vm && a.service == b.service && a.address == b.address &&
           a.data_center == b.data_center && a.rack == b.rack &&
           a.labels == b.labels && a.capacity.cpu == b.capacity.cpu &&
           a.capacity.memory == b.capacity.memory &&
           a.capacity.accelerators == b.capacity.accelerators &&
           a.draining == b.draining;
  }
};

/// Milliseconds on a worker's own steady clock, which may run 2% slow.
using WorkerTime = mangospread::detail::StrongCounter<struct WorkerTimeTag>;
/// Unix millisecond of a worker process's start.
using WorkerBirth = mangospread::detail::StrongCounter<struct WorkerBirthTag>;
/// Orders with a lower fence than the highest one seen are refused.
using WorkerFence = mangospread::detail::StrongCounter<struct WorkerFenceTag>;
/// Number of an end within one worker process; 0 before the first.
using EndNumber = mangospread::detail::StrongCounter<struct EndNumberTag>;

/// A run that a worker lists as present.
struct RunningRun {
  std::string task;
  Attempt run;
  std::string checkpoint;
  int percent = 0;  ///< Progress, or 100 for a long-running task at work.
  /// Tail latency in ms for a serving task, else millicores in use, over about
  /// the last half second.
  double measured = 0;
};

enum class RunEnd : unsigned char {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  ///< The lease ran out.
  kBroken,  ///< Another member of the gang ended.
  kAlone,   ///< The other members of the gang did not come in time.
};

[[nodiscard]] std::string_view RunEndName(RunEnd end) noexcept;

struct EndedRun {
  EndNumber number;
  std::string task;
  Attempt run;
  RunEnd how = RunEnd::kFailed;
  std::string checkpoint;
};

struct HoldReport {
  WorkerTime clock;
  WorkerBirth born;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

struct HoldOrder {
  WorkerFence fence;
  EndNumber acknowledged;
  WorkerTime lease_until;    ///< 0 extends nothing.
  Milliseconds max_wait{0};  ///< Time to wait for an end before replying.
};

struct StartOrder {
  std::string task;
  Attempt run;
  std::string spec;
  std::string checkpoint;
  WorkerTime lease_until;
  WorkerFence fence;
};

/// Result of an order that names one run.
enum class OrderOutcome : unsigned char {
  kAccepted,
  kStaleFence,
  kSuperseded,  ///< The worker knows this or a later run as ended.
  kLeaseOver,   ///< The lease that came with the order was over.
  kNoRoom,
  kInvalid,
  kUnhealthy,         ///< Refused by an unhealthy worker without effect.
  kOtherIncarnation,  ///< Another worker answers at the address.
  kNotSent,           ///< No byte left this process.
  kUnknown,           ///< May take effect, now or seconds later.
};

[[nodiscard]] std::string_view OutcomeName(OrderOutcome outcome) noexcept;

/// Calls to one worker. Callbacks come exactly once, later than the call.
class WorkerLink {
 public:
  using HoldCallback = std::function<void(Result<HoldReport>)>;
  using OrderCallback = std::function<void(OrderOutcome)>;

  virtual ~WorkerLink() = default;

  /// False when every connection to the process that answered last is gone:
  /// another process may answer the next call.
  [[nodiscard]] virtual bool Connected() const = 0;

  /// Extends the lease, acknowledges ends and returns what runs.
  /// @errors kStaleEpoch, kNotOwner (another worker answers), kUnavailable,
  ///   kMalformed, kTimeout, kConnectFailed, kConnectionLost.
  virtual void Hold(const HoldOrder& order, HoldCallback done) = 0;
  virtual void Start(const StartOrder& order, OrderCallback done) = 0;
  virtual void Stop(const std::string& task, Attempt run, WorkerFence fence,
                    OrderCallback done) = 0;
  /// Lets a task work at `percent` of its speed.
  virtual void Throttle(const std::string& task, Attempt run, int percent,
                        WorkerFence fence, OrderCallback done) = 0;
};

}  // namespace mangospread::dispatch
