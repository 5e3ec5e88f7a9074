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
  /// The worker gets no new work after this time without a successful renewal.
  Milliseconds unreachable_after{2'000};
};

/// The lease and the slots of a worker; slots are counted nowhere else. A slot
/// is occupied from before its request is sent until the response has arrived,
/// or until the worker no longer reports the request.
class OwnedWorker : public std::enable_shared_from_this<OwnedWorker> {
 public:
  /// @param on_lost called once when the worker refuses the epoch.
  OwnedWorker(base::EventLoop& loop, VmInfo vm, Fence fence,
              std::unique_ptr<Worker> control,
              std::shared_ptr<net::HttpClientPool> requests,
              LeaseOptions options, std::function<void()> on_lost);
  ~OwnedWorker();
  OwnedWorker(const OwnedWorker&) = delete;
  OwnedWorker& operator=(const OwnedWorker&) = delete;

  /// Starts lease renewals.
  /// @param claim_report the worker's reply to the claim.
  void Start(const WorkerReport& claim_report);

  [[nodiscard]] const VmInfo& vm() const noexcept { return vm_; }
  [[nodiscard]] const Fence& fence() const noexcept { return fence_; }
  [[nodiscard]] Worker& control() noexcept { return *control_; }
  [[nodiscard]] net::HttpClientPool& requests() noexcept { return *requests_; }
  [[nodiscard]] const WorkerReport& report() const noexcept { return report_; }
  /// When the report was requested; it does not cover work placed later.
  [[nodiscard]] MonotonicTime report_requested_at() const noexcept {
    return report_requested_at_;
  }
  [[nodiscard]] int occupied_slots() const noexcept {
    return static_cast<int>(occupied_.size());
  }
  /// Slots available for new work; zero unless accepts_work().
  [[nodiscard]] int free_slots() const noexcept;
  /// False while the worker is unreachable, leaving or closed to new work by
  /// StopNewWork, and after Retire.
  [[nodiscard]] bool accepts_work() const noexcept;
  /// True if a recent renewal succeeded, see LeaseOptions::unreachable_after.
  [[nodiscard]] bool reachable() const noexcept;

  /// Occupies a slot for a request.
  /// @return false when no slot is free.
  [[nodiscard]] bool Acquire(const RequestId& id);
  /// Frees a slot whose request has definitely ended.
  void Release(const RequestId& id);
  /// Keeps the slot of a request with an unknown outcome occupied until the
  /// worker no longer reports the request.
  void KeepOccupied(const RequestId& id);

  void UpdateVm(const VmInfo& vm) { vm_ = vm; }
  /// Stops new work because an operator drains the VM.
  void StopNewWork() noexcept { draining_ = true; }
  void ResumeNewWork() noexcept { draining_ = false; }
  /// While yielding, renewals keep the worker's tasks running but ask for a
  /// lease of zero length, so that another node's claim is granted. This node
  /// serves the worker until then.
  void SetYielding(bool yielding);
  /// Ends renewals and new work permanently; requests in progress continue.
  void Retire();
  /// Called when the worker refuses this owner's fencing token, which means
  /// that another node has claimed the worker.
  void OnFenced();
  /// Called when the worker refuses a request because it is leaving. The worker
  /// counts as leaving until a report that was requested later shows otherwise.
  void OnLeaving();

  /// Sets a function that is called when a slot becomes free.
  void OnSlotFree(std::function<void()> callback) {
    on_slot_free_ = std::move(callback);
  }
  /// Sets a function that is called after each report.
  void OnReport(std::function<void()> callback) {
    on_report_ = std::move(callback);
  }

 private:
  struct Slot {
    /// This node waits for no response to the request; the slot is freed once
    /// the worker no longer reports the request.
    bool unresolved = false;
    MonotonicTime unresolved_since{0};
    /// Consecutive reports that did not list the request.
    int reports_without_request = 0;
  };

  void Renew();
  void OnRenewed(const Result<WorkerReport>& report,
                 MonotonicTime requested_at);
  void ApplyReport(const WorkerReport& report, MonotonicTime requested_at);

  base::EventLoop& loop_;
  VmInfo vm_;
  Fence fence_;
  std::unique_ptr<Worker> control_;
  std::shared_ptr<net::HttpClientPool> requests_;
  LeaseOptions options_;
  std::function<void()> on_lost_;
  std::function<void()> on_slot_free_;
  std::function<void()> on_report_;
  WorkerReport report_;
  MonotonicTime report_requested_at_{0};
  bool leaving_ = false;
  /// Time of the last report or refusal that showed the worker as leaving.
  MonotonicTime last_leaving_at_{0};
  std::map<RequestId, Slot> occupied_;
  bool draining_ = false;
  bool yielding_ = false;
  bool renewing_ = false;
  bool was_reachable_ = true;
  base::Timer timer_;
};

}  // namespace mangospread::ownership
