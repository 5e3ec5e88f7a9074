/// @file
/// Until when a worker may hold a lease, as far as the leader knows.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// What shows that an agent may have granted a lease.
enum class LeaseEvidence : std::uint8_t {
  kNone,
  kAttached,      ///< It had attached the worker.
  kReported,      ///< It named the time left when the worker fell silent.
  kReleased,      ///< It was released while it could grant leases.
  kAgentLost,     ///< It was lost while it could grant leases.
  kFormerLeader,  ///< It served the worker under a former leader.
};

[[nodiscard]] constexpr std::string_view LeaseEvidenceName(
    LeaseEvidence evidence) noexcept {
  switch (evidence) {
    case LeaseEvidence::kAttached:
      return "attached";
    case LeaseEvidence::kReported:
      return "reported";
    case LeaseEvidence::kReleased:
      return "released";
    case LeaseEvidence::kAgentLost:
      return "agent_lost";
    case LeaseEvidence::kFormerLeader:
      return "former_leader";
    default:
      return "none";
  }
}

/// Upper bound of the end of a worker's lease. What raises it is evidence of a
/// grant that it does not cover, not a change of the agent that watches the
/// worker.
class LeaseBound {
 public:
  /// 0 if no lease was granted, or while only its agent knows, which reports
  /// it.
  [[nodiscard]] MonotonicTime expires_at() const noexcept {
    return expires_at_;
  }
  [[nodiscard]] bool known() const noexcept { return expires_at_.count() > 0; }
  /// What raised the bound last.
  [[nodiscard]] LeaseEvidence raised_by() const noexcept { return raised_by_; }

  void Raise(MonotonicTime expires_at, LeaseEvidence evidence) noexcept {
    if (expires_at <= expires_at_) return;
    Set(expires_at, evidence);
  }
  /// Replaces the bound: no lease that was granted before counts any more.
  void Set(MonotonicTime expires_at, LeaseEvidence evidence) noexcept {
    expires_at_ = expires_at;
    raised_by_ = evidence;
  }
  /// Leaves it to the worker's agent to report the time left.
  void Forget() noexcept { Set(MonotonicTime(0), LeaseEvidence::kNone); }

 private:
  MonotonicTime expires_at_{0};
  LeaseEvidence raised_by_ = LeaseEvidence::kNone;
};

}  // namespace mangospread::dispatch
