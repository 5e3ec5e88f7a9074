/// @file
/// What a managed node shows of the tasks that wait.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "api/metrics.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/leader/leader_record.hpp"
#include "net/http_message.hpp"

namespace mangospread::app {

/// Path of the answer about a submission, followed by its id.
inline constexpr std::string_view kExplainPath = "/v1/explain/";

/// Appends the metrics of waiting tasks, of the processor time that is free
/// beside them and of the learned effects.
void AppendWaitSamples(const dispatch::GroupLeader& leader, MonotonicTime now,
                       std::vector<api::Sample>& samples);

/// The state of a submission and what its tasks wait for, as JSON.
/// @param leader null on a node that does not lead. It answers 503 with the
///   name of the leader that it knows.
/// @errors 404 if the leader knows no such submission.
[[nodiscard]] net::Response ExplainSubmission(
    const dispatch::GroupLeader* leader,
    const std::optional<dispatch::LeaderRecord>& known_leader,
    const std::string& id);

}  // namespace mangospread::app
