#include "ownership/owned_worker.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::ownership {
namespace {

constexpr double kRenewJitter = 0.1;

/// Reports without a request after which its slot is freed. The request may
/// still be in transit to the worker when the first of them is made, so one
/// report does not prove that the request has ended.
constexpr int kReportsToFree = 2;

}  // namespace

OwnedWorker::OwnedWorker(base::EventLoop& loop, VmInfo vm, Fence fence,
                         std::unique_ptr<Worker> control,
                         std::shared_ptr<net::HttpClientPool> requests,
                         LeaseOptions options, std::function<void()> on_lost)
    : loop_(loop),
      vm_(std::move(vm)),
      fence_(std::move(fence)),
      control_(std::move(control)),
      requests_(std::move(requests)),
      options_(options),
      on_lost_(std::move(on_lost)) {}

OwnedWorker::~OwnedWorker() = default;

void OwnedWorker::Start(const WorkerReport& claim_report) {
  // Requests of the former owner occupy slots until the worker no longer
  // reports them.
  for (const RequestId& id : claim_report.in_flight) {
    occupied_[id] = {true, base::MonotonicNow(), 0};
  }
  ApplyReport(claim_report, base::MonotonicNow());
  timer_ =
      loop_.Every(options_.renew_period, kRenewJitter, [this] { Renew(); });
}

bool OwnedWorker::reachable() const noexcept {
  return base::MonotonicNow() - report_requested_at_ <
         options_.unreachable_after;
}

bool OwnedWorker::accepts_work() const noexcept {
  return !draining_ && !leaving_ && vm_.state == VmState::kLive && reachable();
}

int OwnedWorker::free_slots() const noexcept {
  if (!accepts_work()) return 0;
  return std::max(0, vm_.capacity.slots - occupied_slots());
}

bool OwnedWorker::Acquire(const RequestId& id) {
  if (free_slots() == 0) return false;
  occupied_[id] = {};
  return true;
}

void OwnedWorker::Release(const RequestId& id) {
  if (occupied_.erase(id) > 0 && on_slot_free_) on_slot_free_();
}

void OwnedWorker::KeepOccupied(const RequestId& id) {
  const auto it = occupied_.find(id);
  if (it == occupied_.end()) return;
  it->second = {true, base::MonotonicNow(), 0};
  base::Log(base::Event::kSlotHeld,
            {{"vm", vm_.name.str()}, {"request", id.str()}});
}

void OwnedWorker::Renew() {
  const bool now_reachable = reachable();
  if (now_reachable != was_reachable_) {
    was_reachable_ = now_reachable;
    if (!now_reachable) {
      base::Log(base::Event::kWorkerUnreachable, {{"vm", vm_.name.str()}});
      requests_->CloseIdle();
    }
  }
  if (renewing_) return;
  renewing_ = true;
  const MonotonicTime requested_at = base::MonotonicNow();
  control_->Renew(fence_, yielding_ ? Milliseconds(0) : options_.lease,
                  [weak = weak_from_this(),
                   requested_at](const Result<WorkerReport>& report) {
                    if (const auto self = weak.lock()) {
                      self->OnRenewed(report, requested_at);
                    }
                  });
}

void OwnedWorker::OnRenewed(const Result<WorkerReport>& report,
                            MonotonicTime requested_at) {
  renewing_ = false;
  if (report.ok()) return ApplyReport(report.value(), requested_at);
  if (report.error().code == Errc::kStaleEpoch) OnFenced();
}

void OwnedWorker::SetYielding(bool yielding) {
  if (std::exchange(yielding_, yielding) != yielding) Renew();
}

void OwnedWorker::Retire() {
  timer_.reset();
  draining_ = true;
  on_lost_ = nullptr;
}

void OwnedWorker::OnFenced() {
  const auto on_lost = std::exchange(on_lost_, nullptr);
  Retire();
  if (!on_lost) return;
  base::Log(base::Event::kWorkerLost,
            {{"vm", vm_.name.str()}, {"epoch", fence_.epoch.value()}});
  on_lost();
}

void OwnedWorker::OnLeaving() {
  last_leaving_at_ = base::MonotonicNow();
  if (std::exchange(leaving_, true)) return;
  base::Log(base::Event::kWorkerLeaving, {{"vm", vm_.name.str()}});
}

void OwnedWorker::ApplyReport(const WorkerReport& report,
                              MonotonicTime requested_at) {
  if (report.leaving) {
    OnLeaving();
  } else if (requested_at > last_leaving_at_) {
    // A reply that was in transit when the worker refused a request is older
    // than the refusal.
    leaving_ = false;
  }
  report_ = report;
  report_requested_at_ = requested_at;
  const std::set<RequestId> running(report.in_flight.begin(),
                                    report.in_flight.end());
  std::vector<RequestId> ended;
  for (auto& [id, slot] : occupied_) {
    if (!slot.unresolved || slot.unresolved_since > requested_at) continue;
    slot.reports_without_request =
        running.contains(id) ? 0 : slot.reports_without_request + 1;
    if (slot.reports_without_request >= kReportsToFree) ended.push_back(id);
  }
  for (const RequestId& id : ended) Release(id);
  if (on_report_) on_report_();
}

}  // namespace mangospread::ownership
