/// @file
/// Encoding of the table rows that store submissions.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
/// change is stored. Tasks for which it has no space are listed in the rows
/// "progress/<id>.<n>", from n = 1.
struct ProgressRow {
  QueueName queue;
  JobProgress progress;
  int parts = 0;  ///< Number of further rows.
};

/// Most rows that store the progress of one submission: all of them fit in one
/// transaction of 1 MB.
inline constexpr int kMaxProgressRows = 11;

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kProgressPrefix = "progress/";
/// Row with the names of all workers that may hold a lease, one per line. Names
/// for which it has no space are in the rows "roster/workers.<n>", from n = 1.
inline constexpr const char* kRosterKey = "roster/workers";

[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
/// @errors kMalformed and those of base::ObjectReader.
[[nodiscard]] Result<JobRow> DecodeJobRow(std::string_view value);

/// Encodes progress in rows of at most `max_bytes`: the first one and the
/// further ones in order. The first one lists each task that is done, as former
/// versions do, if it has the space, and otherwise holds them as ranges or as a
/// set of bits. Tasks of which only a lost run is known are left out where
/// there is no space for them; the next leader takes them for tasks that never
/// ran.
/// @errors kTooLarge if they are more than kMaxProgressRows.
[[nodiscard]] Result<std::vector<std::string>> EncodeProgressRows(
    const ProgressRow& row, std::size_t max_bytes);
/// Decodes one of the rows; `parts` is set from the first one only.
/// @errors kMalformed.
[[nodiscard]] Result<ProgressRow> DecodeProgressRow(std::string_view value);

/// Divides the names over rows of at most `max_bytes`, at least one.
[[nodiscard]] std::vector<std::string> EncodeRoster(
    const std::set<VmName>& workers, std::size_t max_bytes);
/// Adds the names in one of the rows.
void DecodeRoster(std::string_view value, std::set<VmName>& workers);
/// Key of a row with names of workers; part 0 is the first one.
[[nodiscard]] std::string RosterKey(int part);

/// Key of a row with progress; part 0 is the first one.
[[nodiscard]] std::string ProgressKey(const SubmissionId& id, int part);
/// The reverse of ProgressKey, for a key without the prefix. A text that names
/// no part is an id.
[[nodiscard]] std::pair<SubmissionId, int> ParseProgressKey(
    std::string_view key);

/// The progress rows read from the table, with the further ones joined to the
/// first one.
struct StoredProgress {
  std::map<SubmissionId, ProgressRow> rows;
  /// Highest number of a further row of each submission.
  std::map<SubmissionId, int> parts;

  /// Adds a row with the given key (without the prefix). Returns false if it is
  /// malformed. A row has to follow the first one, as in the order of keys.
  bool Add(std::string_view key, std::string_view value);
};

}  // namespace mangospread::dispatch
