#include "dispatch/leader/former_leaders.hpp"

#include <algorithm>
#include <iterator>

#include "dispatch/model/lease.hpp"

namespace mangospread::dispatch {

void FormerLeaders::OnLastStopped(MonotonicTime at) {
  if (!last_stopped_at_) last_stopped_at_ = at;
}

void FormerLeaders::OnProcess(const NodeId& node, Incarnation incarnation,
                              MonotonicTime started_at, MonotonicTime now) {
  seen_.try_emplace(node, SeenProcess{incarnation, started_at, now});
}

MonotonicTime FormerLeaders::LimitOfSilent(const FormerLeader& leader) const {
  if (leader == leaders_.back()) {
    const MonotonicTime limit =
        last_confirmed_by_ + OtherClockUpperBound(leader.undivided
                                                      ? timeouts_.undivided
                                                      : timeouts_.leases);
    return std::min(limit, LimitOfLast());
  }
  const MonotonicTime limit = last_elected_by_ + timeouts_.undivided;
  if (leader.undivided) return limit;
  // Until it was elected, the agent may have confirmed that it follows.
  const bool newly = newly_divided_.contains(leader.node);
  return std::min(limit,
                  (newly ? elected_at_ : last_elected_by_) + timeouts_.leases);
}

MonotonicTime FormerLeaders::LimitOf(const FormerLeader& leader) const {
  const MonotonicTime limit = LimitOfSilent(leader);
  const auto seen = seen_.find(leader.node);
  if (seen == seen_.end()) return limit;
  const SeenProcess& process = seen->second;
  const bool ended = process.incarnation != leader.incarnation;
  return std::min(limit, ended ? process.started_at : process.seen_at);
}

MonotonicTime FormerLeaders::LimitOfLast() const {
  MonotonicTime limit = last_stopped_at_.value_or(MonotonicTime::max());
  for (const auto& [node, process] : seen_) {
    if (!agents_.contains(node)) continue;
    limit = std::min(limit, process.seen_at + timeouts_.leases);
  }
  return limit;
}

MonotonicTime FormerLeaders::LimitOfEarlier() const {
  MonotonicTime limit{0};
  for (const FormerLeader& leader : leaders_) {
    if (leader != leaders_.back()) limit = std::max(limit, LimitOf(leader));
  }
  return limit;
}

MonotonicTime FormerLeaders::Limit() const {
  if (leaders_.empty()) return MonotonicTime(0);
  return std::max(LimitOfEarlier(), LimitOf(leaders_.back()));
}

std::vector<FormerLeader> FormerLeaders::Remaining(MonotonicTime now) const {
  std::vector<FormerLeader> result;
  std::copy_if(
      leaders_.begin(), leaders_.end(), std::back_inserter(result),
      [&](const FormerLeader& leader) { return LimitOf(leader) >= now; });
  return result;
}

}  // namespace mangospread::dispatch
