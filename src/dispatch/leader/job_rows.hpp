/// @file
/// Encoding of the table rows that store submissions.
#pragma once

#include <string>
#include <string_view>

#include "dispatch/core/job.hpp"
#include "mangospread/error.hpp"

namespace mangospread::dispatch {

/// Row "job/<id>": the accepted submission. Deleted when the submission ends.
struct JobRow {
  QueuePolicy policy;
  std::uint64_t accepted_at_ms = 0;  ///< Since the Unix epoch.
  std::string payload;               ///< The request body as received.
};

/// Row "progress/<id>": the progress of a submission. Absent until the first
/// change is stored.
struct ProgressRow {
  QueueName queue;
  JobProgress progress;
};

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kProgressPrefix = "progress/";
/// Row with the names of all workers that may hold a lease, one per line.
inline constexpr const char* kRosterKey = "roster/workers";

[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
/// @errors kMalformed and those of base::ObjectReader.
[[nodiscard]] Result<JobRow> DecodeJobRow(std::string_view value);

[[nodiscard]] std::string EncodeProgressRow(const ProgressRow& row);
/// @errors kMalformed.
[[nodiscard]] Result<ProgressRow> DecodeProgressRow(std::string_view value);

}  // namespace mangospread::dispatch
