/// @file
/// The node's copy of all resources. Its revision never decreases.
#pragma once

#include <sigc++/sigc++.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangospread/resource.hpp"

namespace mangospread::config {

enum class InstallResult : unsigned char {
  kInstalled,
  kStale,  ///< Not newer than the store's revision; dropped.
  kGap,    ///< Changes before it are missing; not installed.
};

struct StoreCounters {
  std::uint64_t installed = 0;
  std::uint64_t stale = 0;
  std::uint64_t gaps = 0;
  std::uint64_t snapshots = 0;
};

/// Resources by key, with a log of recent changes.
class Store {
 public:
  /// @param max_log_entries changes kept in the log for peers and watches.
  explicit Store(std::size_t max_log_entries = 5'000);

  [[nodiscard]] Revision revision() const noexcept { return revision_; }
  /// False until a first snapshot, possibly empty, has been installed.
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }
  /// Null when the resource does not exist.
  [[nodiscard]] const Resource* Find(const ResourceKey& key) const;
  [[nodiscard]] std::vector<Resource> List(ResourceKind kind) const;
  [[nodiscard]] std::vector<Resource> All() const;
  /// Changes after `revision`, or nullopt when the log no longer contains all
  /// of them.
  [[nodiscard]] std::optional<std::vector<Change>> Since(
      Revision revision) const;
  [[nodiscard]] const StoreCounters& counters() const noexcept {
    return counters_;
  }

  /// Parsed specification of a service or team; null when there is none.
  [[nodiscard]] const ServiceSpec* FindService(const ServiceName& name) const;
  [[nodiscard]] const TeamSpec* FindTeam(const TeamName& name) const;
  [[nodiscard]] const std::map<ServiceName, ServiceSpec>& services() const {
    return services_;
  }
  /// True if a policy drains the VM.
  [[nodiscard]] bool IsDrained(const VmName& vm) const;

  /// Installs `change` if it directly follows the present revision. Without a
  /// snapshot, every change is a gap.
  InstallResult Install(const Change& change);

  /// Replaces all resources if `revision` is higher than the present one, or if
  /// this is the first snapshot. The log is emptied.
  InstallResult InstallSnapshot(Revision revision,
                                const std::vector<Resource>& resources);

  /// Emitted once for each installed change, in revision order.
  sigc::signal<void(const Change&)>& changed() noexcept { return changed_; }
  /// Emitted after a snapshot has replaced all resources.
  sigc::signal<void()>& replaced() noexcept { return replaced_; }

 private:
  void AddToIndex(const Resource& resource);
  void RemoveFromIndex(const ResourceKey& key);

  std::size_t max_log_entries_;
  Revision revision_;
  bool loaded_ = false;
  std::map<ResourceKey, Resource> resources_;
  std::map<ServiceName, ServiceSpec> services_;
  std::map<TeamName, TeamSpec> teams_;
  std::map<std::string, PolicySpec> policies_;
  std::deque<Change> log_;
  StoreCounters counters_;
  sigc::signal<void(const Change&)> changed_;
  sigc::signal<void()> replaced_;
};

}  // namespace mangospread::config
