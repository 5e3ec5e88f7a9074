#include "scheduler/policy/queue/queue.hpp"

#include <algorithm>
#include <limits>

namespace mangospread::scheduler::policy {
namespace {

constexpr MonotonicTime kInitialBackoff = std::chrono::milliseconds(200);
constexpr MonotonicTime kMaxBackoff = std::chrono::seconds(2);
/// Urgent work must start within 8.7 s, so it is retried at this interval.
constexpr MonotonicTime kUrgentBackoff = std::chrono::milliseconds(200);
constexpr std::uint64_t kAgedOfferInterval = 4;
/// Waiting time that compensates for a share of the whole fleet.
constexpr double kAgePeriodSeconds = 3'600;

std::string GroupKey(const TaskDemand& task) {
  std::string key = task.job.str();
  for (const std::int64_t part :
       {static_cast<std::int64_t>(task.urgent), task.cpu.value(),
        task.memory.value(), task.accelerators.value(),
        static_cast<std::int64_t>(task.run_time.count())}) {
    key += '/';
    key += std::to_string(part);
  }
  key += '/';
  key += task.task_class.str();
  return key;
}

double Seconds(MonotonicTime time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

Queue::Team& Queue::FindOrAddTeam(const TeamName& name) {
  Team& team = teams_[name];
  team.quota.team = name;
  return team;
}

void Queue::SetQuotas(const std::vector<TeamQuota>& quotas) {
  for (auto& [name, team] : teams_) {
    team.quota = TeamQuota{};
    team.quota.team = name;
  }
  for (const TeamQuota& quota : quotas) FindOrAddTeam(quota.team).quota = quota;
}

void Queue::Add(const TaskDemand& task, MonotonicTime now) {
  Remove(task.id);
  Team& team = FindOrAddTeam(task.team);
  std::unique_ptr<Group>& slot = team.groups[GroupKey(task)];
  if (!slot) {
    slot = std::make_unique<Group>();
    slot->prototype = task;
    slot->oldest = now;
  }
  Group& group = *slot;
  const std::uint64_t sequence = next_sequence_++;
  // Evicted tasks have partial results, so they resume before others of the
  // group.
  if (task.evictions > 0) {
    group.order.emplace_front(task.id, sequence);
  } else {
    group.order.emplace_back(task.id, sequence);
  }
  ++group.queued_count;
  queued_tasks_[task.id] = QueuedTask{&group, sequence, now, task.evictions};
}

void Queue::Remove(const TaskId& task) {
  const auto found = queued_tasks_.find(task);
  if (found == queued_tasks_.end()) return;
  // The entry in the group's order becomes stale. It is removed when it reaches
  // the front or when more than half of the order is stale.
  Group& group = *found->second.group;
  queued_tasks_.erase(found);
  if (--group.queued_count == 0) {
    group.order.clear();
  } else if (group.order.size() > 2 * group.queued_count + 16) {
    std::erase_if(group.order, [this](const auto& entry) {
      const auto it = queued_tasks_.find(entry.first);
      return it == queued_tasks_.end() || it->second.sequence != entry.second;
    });
  }
}

void Queue::DropStale(Group& group) const {
  while (!group.order.empty()) {
    const auto it = queued_tasks_.find(group.order.front().first);
    if (it != queued_tasks_.end() &&
        it->second.sequence == group.order.front().second) {
      return;
    }
    group.order.pop_front();
  }
}

void Queue::PrepareTeam(Team& team) {
  team.urgent.clear();
  team.batch.clear();
  team.next_urgent = 0;
  team.next_batch = 0;
  for (auto it = team.groups.begin(); it != team.groups.end();) {
    Group& group = *it->second;
    if (group.queued_count == 0) {
      it = team.groups.erase(it);
      continue;
    }
    ++it;
    DropStale(group);
    group.oldest = queued_tasks_.at(group.order.front().first).enqueued_at;
    if (group.retry_at > now_) continue;
    (group.prototype.urgent ? team.urgent : team.batch).push_back(&group);
  }
  const auto older = [](const Group* a, const Group* b) {
    return a->oldest < b->oldest;
  };
  std::stable_sort(team.urgent.begin(), team.urgent.end(), older);
  std::stable_sort(team.batch.begin(), team.batch.end(), older);
}

void Queue::BeginRound(MonotonicTime now, const FleetCapacity& fleet) {
  now_ = now;
  fleet_ = fleet;
  offered_team_ = nullptr;
  offered_group_ = nullptr;
  for (auto& [name, team] : teams_) PrepareTeam(team);
}

bool Queue::WithinQuota(const Team& team, const TaskDemand& task) const {
  const TeamQuota& quota = team.quota;
  if (quota.cpu.value() > 0 && team.used.cpu + task.cpu > quota.cpu) {
    return false;
  }
  return quota.accelerators.value() == 0 || task.accelerators.value() == 0 ||
         team.used.accelerators + task.accelerators <= quota.accelerators;
}

bool Queue::ExceedsQuota(const TaskDemand& task) const {
  const auto found = teams_.find(task.team);
  if (found == teams_.end()) return false;
  const TeamQuota& quota = found->second.quota;
  return (quota.cpu.value() > 0 && task.cpu > quota.cpu) ||
         (quota.accelerators.value() > 0 &&
          task.accelerators > quota.accelerators);
}

Queue::Group* Queue::Front(Team& team, bool urgent) {
  std::vector<Group*>& groups = urgent ? team.urgent : team.batch;
  std::size_t& next = urgent ? team.next_urgent : team.next_batch;
  while (next < groups.size()) {
    Group& group = *groups[next];
    if (group.queued_count > 0 &&
        (WithinQuota(team, group.prototype) || ExceedsQuota(group.prototype))) {
      return &group;
    }
    ++next;
  }
  return nullptr;
}

double Queue::Share(const Team& team) const {
  double share = 0;
  if (fleet_.cpu.value() > 0) {
    share = static_cast<double>(team.used.cpu.value()) /
            static_cast<double>(fleet_.cpu.value());
  }
  if (fleet_.accelerators.value() > 0) {
    share =
        std::max(share, static_cast<double>(team.used.accelerators.value()) /
                            static_cast<double>(fleet_.accelerators.value()));
  }
  return share / std::max(team.quota.weight, 1e-6);
}

Queue::Team* Queue::PickTeam(bool urgent) {
  Team* best = nullptr;
  double best_rank = std::numeric_limits<double>::infinity();
  for (auto& [name, team] : teams_) {
    const Group* group = Front(team, urgent);
    if (group == nullptr) continue;
    const double rank =
        Share(team) - Seconds(now_ - group->oldest) / kAgePeriodSeconds;
    if (rank < best_rank) {
      best = &team;
      best_rank = rank;
    }
  }
  return best;
}

Queue::Team* Queue::PickAged() {
  Team* best = nullptr;
  MonotonicTime oldest = now_ - kAgeLimit;
  for (auto& [name, team] : teams_) {
    const Group* group = Front(team, false);
    if (group == nullptr || group->oldest > oldest) continue;
    best = &team;
    oldest = group->oldest;
  }
  return best;
}

const Queue::Offer* Queue::Next() {
  Team* team = nullptr;
  bool urgent = false;
  if (offers_ % kAgedOfferInterval == kAgedOfferInterval - 1) team = PickAged();
  if (team == nullptr) {
    team = PickTeam(true);
    urgent = team != nullptr;
  }
  if (team == nullptr) team = PickTeam(false);
  if (team == nullptr) return nullptr;
  Group& group = *Front(*team, urgent);
  DropStale(group);
  const TaskId& id = group.order.front().first;
  const QueuedTask& queued_task = queued_tasks_.at(id);
  offer_.demand = group.prototype;
  offer_.demand.id = id;
  offer_.demand.evictions = queued_task.evictions;
  offer_.enqueued_at = queued_task.enqueued_at;
  offered_team_ = team;
  offered_group_ = &group;
  return &offer_;
}

Queue::LastRefusal Queue::FindLastRefusal(const TaskId& task) const {
  const auto found = queued_tasks_.find(task);
  if (found == queued_tasks_.end()) return {};
  const Group& group = *found->second.group;
  const auto team = teams_.find(group.prototype.team);
  return {&group.prototype, group.refusal,
          team != teams_.end() && !WithinQuota(team->second, group.prototype)};
}

void Queue::Skip(Refusal refusal) {
  // Refused offers are counted too. Otherwise aged tasks that do not fit would
  // be offered until the round ends, and urgent tasks never.
  ++offers_;
  Group& group = *offered_group_;
  group.refusal = refusal;
  if (group.prototype.urgent) {
    group.retry_at = now_ + kUrgentBackoff;
    ++offered_team_->next_urgent;
    return;
  }
  group.backoff = std::clamp(2 * group.backoff, kInitialBackoff, kMaxBackoff);
  group.retry_at = now_ + group.backoff;
  ++offered_team_->next_batch;
}

void Queue::Take() {
  Group& group = *offered_group_;
  group.backoff = MonotonicTime{0};
  group.order.pop_front();
  --group.queued_count;
  queued_tasks_.erase(offer_.demand.id);
  if (group.queued_count > 0) DropStale(group);
  ++offers_;
}

void Queue::AddCharge(const TeamName& team, const Charge& charge) {
  Team& entry = FindOrAddTeam(team);
  entry.used.cpu += charge.cpu;
  entry.used.accelerators += charge.accelerators;
}

void Queue::RemoveCharge(const TeamName& team, const Charge& charge) {
  Team& entry = FindOrAddTeam(team);
  entry.used.cpu -= charge.cpu;
  entry.used.accelerators -= charge.accelerators;
}

}  // namespace mangospread::scheduler::policy
