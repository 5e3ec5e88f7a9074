/// @file
/// A worker that this node owns: its lease, slots and connections.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop/event_loop.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/platform/worker.hpp"
#include "net/http_client.hpp"

namespace mangospread::ownership {

struct LeaseOptions {
  Milliseconds lease{3'000};
  Milliseconds renew_period{500};
  /// No new work after this time without an answered renewal.
  Milliseconds unreachable_after{2'000};
};

/// Slots are counted here and nowhere else. A slot is occupied from before the
/// send until the answer has come, or until the worker no longer reports the
/// request.
class OwnedWorker : public std::enable_shared_from_this<OwnedWorker> {
 public:
  /// @param lost called once when the worker refuses the epoch.
  OwnedWorker(base::EventLoop& loop, VmInfo vm, Fence fence,
              std::unique_ptr<Worker> control,
              std::shared_ptr<net::HttpClientPool> requests,
              LeaseOptions options, std::function<void()> lost);
  ~OwnedWorker();
  OwnedWorker(const OwnedWorker&) = delete;
  OwnedWorker& operator=(const OwnedWorker&) = delete;

  /// Starts renewals from the claim's answer.
  void Start(const WorkerReport& claimed);

  [[nodiscard]] const VmInfo& vm() const noexcept { return vm_; }
  [[nodiscard]] const Fence& fence() const noexcept { return fence_; }
  [[nodiscard]] Worker& control() noexcept { return *control_; }
  [[nodiscard]] net::HttpClientPool& requests() noexcept { return *requests_; }
  [[nodiscard]] const WorkerReport& report() const noexcept { return report_; }
  /// When the report was requested; what was placed later is not in it.
  [[nodiscard]] MonotonicTime report_asked_at() const noexcept {
    return report_asked_at_;
  }
  [[nodiscard]] int occupied_slots() const noexcept {
    return static_cast<int>(occupied_.size());
  }
  /// Free slots for new work: none while the worker is unreachable, leaving or
  /// being given up.
  [[nodiscard]] int free_slots() const noexcept;
  [[nodiscard]] bool accepts_work() const noexcept;
  [[nodiscard]] bool reachable() const noexcept;

  /// Occupies a slot.
  /// @return false when there is none.
  [[nodiscard]] bool Acquire(const RequestId& id);
  /// Frees a slot whose request has definitely ended.
  void Release(const RequestId& id);
  /// Keeps a slot of a request whose end is not known until the worker no
  /// longer reports it.
  void Hold(const RequestId& id);

  void UpdateVm(const VmInfo& vm) { vm_ = vm; }
  /// Stops new work: an operator drains the VM or ownership moves.
  void StopNewWork() noexcept { draining_ = true; }
  void ResumeNewWork() noexcept { draining_ = false; }
  /// While yielding, renewals keep the worker's tasks running but hold no
  /// lease, so that another node's claim is granted; this one serves until
  /// then.
  void SetYielding(bool yielding);
  /// Ends renewals for good; requests in progress go on.
  void Retire();
  /// The worker refused this owner's fence, so another node has claimed it.
  void OnFenced();
  /// The worker refused a request since it is leaving. Holds until a report
  /// that was requested later says otherwise.
  void OnLeaving();

  /// Called when a slot becomes free.
  void OnSlotFree(std::function<void()> fn) { slot_free_ = std::move(fn); }
  /// Called after each report.
  void OnReport(std::function<void()> fn) { on_report_ = std::move(fn); }

 private:
  struct Slot {
    bool held = false;
    MonotonicTime held_since{0};
    int reports_without = 0;
  };

  void Renew();
  void OnRenewed(const Result<WorkerReport>& report, MonotonicTime asked_at);
  void TakeReport(const WorkerReport& report, MonotonicTime asked_at);

  base::EventLoop& loop_;
  VmInfo vm_;
  Fence fence_;
  std::unique_ptr<Worker> control_;
  std::shared_ptr<net::HttpClientPool> requests_;
  LeaseOptions options_;
  std::function<void()> lost_;
  std::function<void()> slot_free_;
  std::function<void()> on_report_;
  WorkerReport report_;
  MonotonicTime report_asked_at_{0};
  bool leaving_ = false;
  MonotonicTime leaving_since_{0};  ///< Last time that the worker said so.
  std::map<RequestId, Slot> occupied_;
  bool draining_ = false;
  bool yielding_ = false;
  bool renewing_ = false;
  bool was_reachable_ = true;
  base::Timer timer_;
};

}  // namespace mangospread::ownership
