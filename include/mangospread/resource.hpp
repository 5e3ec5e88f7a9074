/// @file
/// Resources that operators create, and their validation.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread {

/// Kind of a resource.
enum class ResourceKind : unsigned char { kService, kJob, kTeam, kPolicy };

/// Name of a kind: "service", "job", "team" or "policy".
[[nodiscard]] std::string_view ResourceKindName(ResourceKind kind) noexcept;
/// Parses the name of a kind.
/// @errors kInvalidArgument.
[[nodiscard]] Result<ResourceKind> ParseResourceKind(std::string_view name);

/// Identifies a resource. Names are unique within a kind.
struct ResourceKey {
  ResourceKind kind = ResourceKind::kService;
  std::string name;

  friend bool operator==(const ResourceKey&, const ResourceKey&) = default;
  friend auto operator<=>(const ResourceKey&, const ResourceKey&) = default;
};

/// A resource as stored: its JSON specification and its position in the log of
/// all changes.
struct Resource {
  ResourceKey key;
  std::string spec;   ///< Canonical JSON object.
  Revision revision;  ///< Revision of its last change, also its version.
};

/// One entry of the change log.
struct Change {
  Revision revision;
  ResourceKey key;
  bool deleted = false;
  std::string spec;  ///< Empty when deleted.
};

/// A latency-critical service on the endpoints of a pool.
struct ServiceSpec {
  TeamName team;
  std::string pool;
  /// Timeout of a request that does not set its own.
  Milliseconds timeout{2'000};
  /// Objective for the 99th percentile of the latency.
  Milliseconds objective_p99{50};
  bool guard = true;  ///< Throttle or evict tasks to meet objective_p99.
  /// Limits for the whole deployment, divided among the live nodes.
  int max_rate = 0;         ///< Requests per second; 0 is unlimited.
  int max_concurrency = 0;  ///< Requests in progress; 0 is unlimited.
  std::string task_class;
};

/// A batch job of `tasks` identical tasks.
struct JobSpec {
  TeamName team;
  int tasks = 1;
  bool urgent = false;  ///< Takes precedence over tasks that are not urgent.
  std::string task_class;
  /// Demand of each task.
  Millicores cpu{1'000};
  Mebibytes memory{1'024};
  Accelerators accelerators{0};
  Milliseconds run_time{60'000};  ///< Declared run time of each task.
  int max_attempts = 10;  ///< A task that has failed this often is given up.
  bool cancelled = false;
};

/// Quotas, limits and weight of a team.
struct TeamSpec {
  Millicores cpu_quota{0};  ///< 0 is unlimited.
  Accelerators accelerator_quota{0};
  double weight = 1.0;
  /// Limits for the whole deployment, divided among the live nodes.
  int max_rate = 0;         ///< Requests per second; 0 is unlimited.
  int max_concurrency = 0;  ///< Requests in progress; 0 is unlimited.
};

/// Weights of the scheduling objectives, and VMs that operators drain.
struct PolicySpec {
  double latency_weight = 1.0;
  double throughput_weight = 1.0;
  double eviction_weight = 1.0;
  std::vector<VmName> drain;
};

/// Parses a JSON object strictly: unknown fields, wrong types and values out of
/// range are errors with the name of the field as subject.
/// @errors kMalformed, kUnknownField, kMissingField, kOutOfRange, kTooLarge.
[[nodiscard]] Result<ServiceSpec> ParseServiceSpec(std::string_view json);
[[nodiscard]] Result<JobSpec> ParseJobSpec(std::string_view json);
[[nodiscard]] Result<TeamSpec> ParseTeamSpec(std::string_view json);
[[nodiscard]] Result<PolicySpec> ParsePolicySpec(std::string_view json);

/// Checks a resource's name and specification and returns the specification in
/// canonical form.
/// @errors those of the Parse functions; kInvalidArgument for the name.
[[nodiscard]] Result<std::string> ValidateResource(const ResourceKey& key,
                                                   std::string_view json);

}  // namespace mangospread
