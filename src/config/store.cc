#include "config/store.hpp"

#include <algorithm>

#include "base/events.hpp"

namespace mangospread::config {

Store::Store(std::size_t max_log_entries) : max_log_entries_(max_log_entries) {}

const Resource* Store::Find(const ResourceKey& key) const {
  const auto it = resources_.find(key);
  return it == resources_.end() ? nullptr : &it->second;
}

std::vector<Resource> Store::List(ResourceKind kind) const {
  std::vector<Resource> list;
  for (const auto& [key, resource] : resources_) {
    if (key.kind == kind) list.push_back(resource);
  }
  return list;
}

std::vector<Resource> Store::All() const {
  std::vector<Resource> list;
  list.reserve(resources_.size());
  for (const auto& [key, resource] : resources_) list.push_back(resource);
  return list;
}

std::optional<std::vector<Change>> Store::Since(Revision revision) const {
  if (revision >= revision_) return std::vector<Change>();
  if (log_.empty() || log_.front().revision > revision.next()) {
    return std::nullopt;
  }
  const auto first = std::find_if(
      log_.begin(), log_.end(),
      [revision](const Change& change) { return change.revision > revision; });
  return std::vector<Change>(first, log_.end());
}

const ServiceSpec* Store::FindService(const ServiceName& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

const TeamSpec* Store::FindTeam(const TeamName& name) const {
  const auto it = teams_.find(name);
  return it == teams_.end() ? nullptr : &it->second;
}

bool Store::IsDrained(const VmName& vm) const {
  return std::any_of(
      policies_.begin(), policies_.end(), [&](const auto& policy) {
        const auto& drain = policy.second.drain;
        return std::find(drain.begin(), drain.end(), vm) != drain.end();
      });
}

InstallResult Store::Install(const Change& change) {
  if (change.revision <= revision_) {
    ++counters_.stale;
    return InstallResult::kStale;
  }
  if (!loaded_ || change.revision != revision_.next()) {
    ++counters_.gaps;
    return InstallResult::kGap;
  }
  revision_ = change.revision;
  if (change.deleted) {
    resources_.erase(change.key);
    RemoveFromIndex(change.key);
  } else {
    Resource resource{change.key, change.spec, change.revision};
    AddToIndex(resource);
    resources_[change.key] = std::move(resource);
  }
  log_.push_back(change);
  if (log_.size() > max_log_entries_) log_.pop_front();
  ++counters_.installed;
  base::Log(base::Event::kRevisionInstalled,
            {{"revision", change.revision.value()},
             {"kind", ResourceKindName(change.key.kind)},
             {"resource", change.key.name},
             {"deleted", change.deleted}});
  changed_.emit(change);
  return InstallResult::kInstalled;
}

InstallResult Store::InstallSnapshot(Revision revision,
                                     const std::vector<Resource>& resources) {
  if (loaded_ && revision <= revision_) {
    ++counters_.stale;
    return InstallResult::kStale;
  }
  loaded_ = true;
  revision_ = revision;
  resources_.clear();
  services_.clear();
  teams_.clear();
  policies_.clear();
  log_.clear();
  for (const Resource& resource : resources) {
    AddToIndex(resource);
    resources_[resource.key] = resource;
  }
  ++counters_.snapshots;
  base::Log(base::Event::kConfigurationLoaded,
            {{"revision", revision.value()}, {"resources", resources.size()}});
  replaced_.emit();
  return InstallResult::kInstalled;
}

void Store::AddToIndex(const Resource& resource) {
  switch (resource.key.kind) {
    case ResourceKind::kService:
      if (auto spec = ParseServiceSpec(resource.spec); spec.ok()) {
        services_[ServiceName(resource.key.name)] = std::move(spec.value());
      }
      return;
    case ResourceKind::kTeam:
      if (auto spec = ParseTeamSpec(resource.spec); spec.ok()) {
        teams_[TeamName(resource.key.name)] = spec.value();
      }
      return;
    case ResourceKind::kPolicy:
      if (auto spec = ParsePolicySpec(resource.spec); spec.ok()) {
        policies_[resource.key.name] = std::move(spec.value());
      }
      return;
    case ResourceKind::kJob:
      return;
  }
}

void Store::RemoveFromIndex(const ResourceKey& key) {
  switch (key.kind) {
    case ResourceKind::kService:
      services_.erase(ServiceName(key.name));
      return;
    case ResourceKind::kTeam:
      teams_.erase(TeamName(key.name));
      return;
    case ResourceKind::kPolicy:
      policies_.erase(key.name);
      return;
    case ResourceKind::kJob:
      return;
  }
}

}  // namespace mangospread::config
