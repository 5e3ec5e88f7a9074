/// @file
/// Rows of submissions in the table.
#pragma once

#include <string>
#include <string_view>

#include "dispatch/core/job.hpp"
#include "mangospread/error.hpp"

namespace mangospread::dispatch {

/// "job/<id>": what was accepted. Deleted when the submission has ended.
struct JobRow {
  QueuePolicy policy;
  std::uint64_t accepted_at_ms = 0;  ///< Since the Unix epoch.
  std::string payload;               ///< The hand-in as received.
};

/// "progress/<id>": what became of it. Absent until something has.
struct ProgressRow {
  QueueName queue;
  JobProgress progress;
};

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kProgressPrefix = "progress/";
/// Workers that may hold a lease, one a line.
inline constexpr const char* kRosterKey = "roster/workers";

[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
/// @errors kMalformed and those of base::ObjectReader.
[[nodiscard]] Result<JobRow> DecodeJobRow(std::string_view value);

[[nodiscard]] std::string EncodeProgressRow(const ProgressRow& row);
/// @errors kMalformed.
[[nodiscard]] Result<ProgressRow> DecodeProgressRow(std::string_view value);

}  // namespace mangospread::dispatch
