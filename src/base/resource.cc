#include "mangospread/resource.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread {
namespace {

using base::ObjectReader;
using base::Presence;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxSpecBytes = 64 * 1024;
constexpr std::int64_t kMaxTasksPerJob = 20'000;
constexpr std::int64_t kMaxRunTimeMs = 86'400'000;  // One day.
/// Bound of timeout_ms and of objective_p99_ms.
constexpr std::int64_t kMaxTimeoutMs = 600'000;
constexpr std::int64_t kMaxMillicores = 1'024'000;
constexpr std::int64_t kMaxMebibytes = 16'777'216;
constexpr std::int64_t kMaxAccelerators = 64;
/// Bound of max_rate and of max_concurrency.
constexpr std::int64_t kMaxRateOrConcurrency = 1'000'000;
/// Bound of the quotas of a team, in millicores and in accelerators.
constexpr std::int64_t kMaxQuota = 1'000'000'000;
constexpr std::size_t kMaxDrainedVms = 10'000;
constexpr double kMaxWeight = 1'000;

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.';
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), IsNameChar) &&
         name.front() != '-' && name.front() != '.';
}

template <typename Name>
void ReadName(ObjectReader& reader, const char* field, Name& out,
              Presence presence) {
  std::string text = out.str();
  reader.String(field, kMaxNameBytes, text, presence);
  out = Name(std::move(text));
}

template <typename QuantityType>
void ReadQuantity(ObjectReader& reader, const char* field, std::int64_t min,
                  std::int64_t max, QuantityType& out) {
  std::int64_t value = out.value();
  reader.Integer(field, min, max, value);
  out = QuantityType(value);
}

void ReadDuration(ObjectReader& reader, const char* field, std::int64_t min,
                  std::int64_t max, Milliseconds& out) {
  std::int64_t value = out.count();
  reader.Integer(field, min, max, value);
  out = Milliseconds(value);
}

/// Parses `text` and calls `read` with a reader of the parsed object.
template <typename Spec, typename Read>
Result<Spec> ParseSpec(std::string_view text, const char* path, Read read) {
  if (text.size() > kMaxSpecBytes) return Error{Errc::kTooLarge, path};
  Result<json> parsed = base::ParseJson(text, path);
  if (!parsed.ok()) return parsed.error();
  ObjectReader reader(parsed.value(), path);
  Spec spec;
  read(reader, spec);
  if (auto error = reader.Finish()) return *error;
  return spec;
}

}  // namespace

std::string_view ResourceKindName(ResourceKind kind) noexcept {
  switch (kind) {
    case ResourceKind::kService:
      return "service";
    case ResourceKind::kJob:
      return "job";
    case ResourceKind::kTeam:
      return "team";
    case ResourceKind::kPolicy:
      return "policy";
  }
  return "service";
}

Result<ResourceKind> ParseResourceKind(std::string_view name) {
  for (const auto kind : {ResourceKind::kService, ResourceKind::kJob,
                          ResourceKind::kTeam, ResourceKind::kPolicy}) {
    if (ResourceKindName(kind) == name) return kind;
  }
  return Error{Errc::kInvalidArgument, "kind"};
}

Result<ServiceSpec> ParseServiceSpec(std::string_view text) {
  return ParseSpec<ServiceSpec>(
      text, "service", [](ObjectReader& reader, ServiceSpec& spec) {
        ReadName(reader, "team", spec.team, Presence::kRequired);
        reader.String("pool", kMaxNameBytes, spec.pool, Presence::kRequired);
        ReadDuration(reader, "timeout_ms", 1, kMaxTimeoutMs, spec.timeout);
        ReadDuration(reader, "objective_p99_ms", 1, kMaxTimeoutMs,
                     spec.objective_p99);
        reader.Boolean("guard", spec.guard);
        reader.Integer("max_rate", 0, kMaxRateOrConcurrency, spec.max_rate);
        reader.Integer("max_concurrency", 0, kMaxRateOrConcurrency,
                       spec.max_concurrency);
        reader.String("task_class", kMaxNameBytes, spec.task_class);
      });
}

Result<JobSpec> ParseJobSpec(std::string_view text) {
  return ParseSpec<JobSpec>(
      text, "job", [](ObjectReader& reader, JobSpec& spec) {
        ReadName(reader, "team", spec.team, Presence::kRequired);
        reader.Integer("tasks", 1, kMaxTasksPerJob, spec.tasks);
        reader.Boolean("urgent", spec.urgent);
        reader.String("task_class", kMaxNameBytes, spec.task_class);
        ReadQuantity(reader, "cpu_millis", 1, kMaxMillicores, spec.cpu);
        ReadQuantity(reader, "memory_mb", 1, kMaxMebibytes, spec.memory);
        ReadQuantity(reader, "accelerators", 0, kMaxAccelerators,
                     spec.accelerators);
        ReadDuration(reader, "run_time_ms", 1, kMaxRunTimeMs, spec.run_time);
        reader.Integer("max_attempts", 1, 1'000, spec.max_attempts);
        reader.Boolean("cancelled", spec.cancelled);
      });
}

Result<TeamSpec> ParseTeamSpec(std::string_view text) {
  return ParseSpec<TeamSpec>(
      text, "team", [](ObjectReader& reader, TeamSpec& spec) {
        ReadQuantity(reader, "cpu_quota_millis", 0, kMaxQuota, spec.cpu_quota);
        ReadQuantity(reader, "accelerator_quota", 0, kMaxQuota,
                     spec.accelerator_quota);
        reader.Number("weight", 0.001, kMaxWeight, spec.weight);
        reader.Integer("max_rate", 0, kMaxRateOrConcurrency, spec.max_rate);
        reader.Integer("max_concurrency", 0, kMaxRateOrConcurrency,
                       spec.max_concurrency);
      });
}

Result<PolicySpec> ParsePolicySpec(std::string_view text) {
  return ParseSpec<PolicySpec>(
      text, "policy", [](ObjectReader& reader, PolicySpec& spec) {
        reader.Number("latency_weight", 0, kMaxWeight, spec.latency_weight);
        reader.Number("throughput_weight", 0, kMaxWeight,
                      spec.throughput_weight);
        reader.Number("eviction_weight", 0, kMaxWeight, spec.eviction_weight);
        std::vector<std::string> names;
        reader.Strings("drain", kMaxDrainedVms, names);
        for (auto& name : names) spec.drain.emplace_back(std::move(name));
      });
}

Result<std::string> ValidateResource(const ResourceKey& key,
                                     std::string_view text) {
  if (!IsValidName(key.name)) return Error{Errc::kInvalidArgument, "name"};
  const auto parse = [&]() -> Result<Done> {
    const auto without_value = [](const auto& spec) -> Result<Done> {
      if (!spec.ok()) return spec.error();
      return Done{};
    };
    switch (key.kind) {
      case ResourceKind::kService:
        return without_value(ParseServiceSpec(text));
      case ResourceKind::kJob:
        return without_value(ParseJobSpec(text));
      case ResourceKind::kTeam:
        return without_value(ParseTeamSpec(text));
      case ResourceKind::kPolicy:
        return without_value(ParsePolicySpec(text));
    }
    return Error{Errc::kInvalidArgument, "kind"};
  };
  if (const auto result = parse(); !result.ok()) return result.error();
  Result<json> parsed = base::ParseJson(text, "spec");
  if (!parsed.ok()) return parsed.error();
  return base::DumpJson(parsed.value());
}

}  // namespace mangospread
