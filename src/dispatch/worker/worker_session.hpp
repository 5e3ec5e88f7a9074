/// @file
/// An agent's conversation with one worker.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "dispatch/metrics/timings.hpp"
#include "dispatch/model/messages.hpp"

namespace mangospread::dispatch {

struct WorkerSessionOptions {
  /// Lease given with every hold.
  Milliseconds lease{6'000};
  /// Longest lease that a worker grants.
  Milliseconds max_lease{10'000};
  /// A hold waits this long for an end; also the period of measurements.
  Milliseconds hold_wait{500};
  /// An order without an answer for this long counts as unanswered.
  Milliseconds order_timeout{700};
  /// Without an answer for this long the worker counts as unreachable.
  Milliseconds unreachable_after{1'500};
  /// Pause after a reply whose ends are not acknowledged yet.
  Milliseconds acknowledge_wait{80};
  Milliseconds retry_pause{200};
  /// A task whose progress stands still for this long is stalled.
  Milliseconds stalled_after{2'000};
  /// The same for a task that only gets unused processor time.
  Milliseconds fill_stalled_after{5'000};
  /// A long-running task that is not at work for this long is stalled.
  Milliseconds startup_limit{4'000};
};

/// Holds the worker, carries orders out and reports what becomes of them.
///
/// An order without an answer may take effect seconds later. So after one the
/// session raises its fence and holds the worker with it: from the answer on
/// no order with the old fence can take effect, and the lists that come with
/// it say which did.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  using Emit = std::function<void(AgentEvent)>;

  [[nodiscard]] static std::shared_ptr<WorkerSession> Create(
      base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
      Assignment assignment, WorkerSessionOptions options, Emit emit,
      ObserveTiming observe);

  void Begin();
  /// Ends the conversation; the worker's lease goes on until it is over.
  void Close();

  void Start(StartRun order);
  /// Drops starts that wait for the worker's lists.
  void DropUnsent() { waiting_starts_.clear(); }
  void Describe(const DescribeRun& order);
  void Stop(const StopRun& order);
  void Pace(const PaceRun& order);
  void Acknowledge(const AcknowledgeEnds& order);

  /// Runs that may be on the worker; none when they are not known.
  [[nodiscard]] std::optional<RememberedRuns> Remember() const;

  [[nodiscard]] WorkerFence assignment() const noexcept {
    return assignment_.fence;
  }

 private:
  /// What is known of a run on the worker.
  struct Run {
    Attempt number;
    RunTraits traits;
    bool described = false;
    int percent = -1;
    int pace = 100;         ///< Last speed that the worker confirmed.
    int wanted_pace = 100;  ///< Last speed that the leader ordered.
    bool pacing = false;
    bool stall_reported = false;
    MonotonicTime progress_at{0};
  };

  WorkerSession(base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
                Assignment assignment, WorkerSessionOptions options, Emit emit,
                ObserveTiming observe);

  void SendHold(Milliseconds wait);
  void OnHold(const Result<HoldReport>& result, std::uint64_t generation);
  void OnReport(const HoldReport& report);
  void ScheduleHold();
  /// Takes the lists as the worker's whole state.
  void Synchronise(const HoldReport& report);
  /// Raises the fence, which makes orders in flight void.
  void Invalidate();
  /// Invalidates and asks the worker for its lists.
  void Resynchronise();
  void OnHoldFailed(const Error& error);
  /// Another process answers under the worker's id.
  void OnOtherProcess(WorkerBirth born);
  void SendWaitingStarts();
  void SendStart(StartRun order);
  void OnStartAnswer(const StartRun& order, OrderOutcome outcome);
  void SendStop(StopRun order);
  void UpdateRuns(const HoldReport& report);
  void CheckProgress(const RunningRun& running, Run& run);
  /// Reports the measurements where serving and filling tasks share.
  void ReportLoad(const HoldReport& report);
  void SendPace(const PaceRun& order);
  void Report(decltype(AgentEvent::what) what);
  /// The worker may hold a lease that is so long from now on.
  void ExtendLease(Milliseconds lease);
  /// The end of a new lease on the worker's clock.
  [[nodiscard]] WorkerTime LeaseUntil();
  void ReportUnreachable();

  base::EventLoop& loop_;
  std::shared_ptr<WorkerLink> link_;
  Assignment assignment_;
  WorkerSessionOptions options_;
  Emit emit_;
  ObserveTiming observe_;
  WorkerFence fence_;
  /// Of the hold that is awaited; replies to earlier ones are dropped.
  std::uint64_t hold_generation_ = 0;
  bool hold_in_flight_ = false;
  bool synchronised_ = false;
  bool runs_known_ = false;
  /// The process that answered last may have ended: until the next answer it
  /// gets no acknowledgement, lease or start, which are meant for one process.
  bool process_unconfirmed_ = true;
  bool closed_ = false;
  bool unreachable_reported_ = false;
  WorkerBirth born_;
  EndNumber acknowledged_;
  EndNumber reported_;
  EndNumber highest_listed_;
  /// Ends of the newest list. Until they are acknowledged the leader may not
  /// have stored them.
  std::vector<EndedRun> listed_ends_;
  std::uint64_t starts_seen_ = 0;
  WorkerTime clock_;
  MonotonicTime clock_at_{0};
  MonotonicTime answered_at_{0};
  MonotonicTime lease_over_at_{0};
  MonotonicTime load_reported_at_{0};
  std::map<std::string, Run> runs_;
  std::vector<StartRun> waiting_starts_;
  base::Timer hold_timer_;
};

}  // namespace mangospread::dispatch
