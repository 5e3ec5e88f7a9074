/// @file
/// Encoding of the table rows that store submissions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
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
/// change is stored. If it has no space for the tasks, they are listed in rows
/// "progress/<id>.b<n>", each with those of one block of positions. Former
/// versions listed them in rows "progress/<id>.<n>", from n = 1.
struct ProgressRow {
  QueueName queue;
  JobProgress progress;
  int parts = 0;         ///< Number of further rows of a former version.
  bool blocked = false;  ///< The tasks are listed in the rows of the blocks.
  /// False for a submission that was cancelled before anybody submitted it;
  /// former versions take it for one that was submitted.
  bool submitted = true;
};

/// Number of positions in a block.
inline constexpr int kTasksPerBlock = 128;

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kProgressPrefix = "progress/";
/// Row with the names of all workers that may hold a lease, one per line. Names
/// for which it has no space are in the rows "roster/workers.<n>", from n = 1.
inline constexpr const char* kRosterKey = "roster/workers";

[[nodiscard]] std::string EncodeJobRow(const JobRow& row);
/// @errors kMalformed and those of base::ObjectReader.
[[nodiscard]] Result<JobRow> DecodeJobRow(std::string_view value);

/// Encodes all progress in one row of at most `max_bytes`. It lists each task
/// that is done, as former versions do, if it has the space, and otherwise
/// holds them as ranges or as a set of bits.
/// @errors kTooLarge.
[[nodiscard]] Result<std::string> EncodeProgressRow(const ProgressRow& row,
                                                    std::size_t max_bytes);
/// Encodes a first row of at most `max_bytes` without the tasks that the rows
/// of the blocks list.
/// @errors kTooLarge if the tasks that are done have no space.
[[nodiscard]] Result<std::string> EncodeBlockedProgressRow(
    const ProgressRow& row, std::size_t max_bytes);
/// Encodes the tasks of a block in a row of at most `max_bytes`. Checkpoints
/// for which it has no space are left out, the longest ones first; under the
/// next leader these tasks start over.
[[nodiscard]] std::string EncodeProgressBlock(
    std::span<const TaskProgress> tasks, std::size_t max_bytes);
/// Decodes a row "progress/<id>" or "progress/<id>.<n>"; `parts` and `blocked`
/// are set from the first one only.
/// @errors kMalformed.
[[nodiscard]] Result<ProgressRow> DecodeProgressRow(std::string_view value);
/// Decodes the row of a block.
/// @errors kMalformed.
[[nodiscard]] Result<std::vector<TaskProgress>> DecodeProgressBlock(
    std::string_view value);

/// Divides the names over rows of at most `max_bytes`, at least one.
[[nodiscard]] std::vector<std::string> EncodeRoster(
    const std::set<VmName>& workers, std::size_t max_bytes);
/// Adds the names in one of the rows.
void DecodeRoster(std::string_view value, std::set<VmName>& workers);
/// Key of a row with names of workers; part 0 is the first one.
[[nodiscard]] std::string RosterKey(int part);

/// Key of a row with progress; part 0 is the first one.
[[nodiscard]] std::string ProgressKey(const SubmissionId& id, int part);
/// Key of the row of a block.
[[nodiscard]] std::string ProgressBlockKey(const SubmissionId& id, int block);

/// Which row of a submission's progress a key names.
struct ProgressRowName {
  SubmissionId id;
  int part = 0;
  std::optional<int> block;
};
/// The reverse of ProgressKey and ProgressBlockKey, for a key without the
/// prefix. A text that names neither a part nor a block is an id.
[[nodiscard]] ProgressRowName ParseProgressKey(std::string_view key);

/// Hash of what a block's row holds of the tasks.
[[nodiscard]] std::uint64_t BlockDigest(std::span<const TaskProgress> tasks);

/// The rows of a submission's progress in the table beside the first one.
struct FurtherProgressRows {
  /// The first row says that the rows of the blocks hold.
  bool blocked = false;
  int parts = 0;  ///< Highest number of a row "progress/<id>.<n>".
  /// The digests of the blocks that have a row.
  std::map<int, std::uint64_t> blocks;

  [[nodiscard]] bool empty() const noexcept {
    return !blocked && parts == 0 && blocks.empty();
  }
};

/// The progress rows read from the table, with the further ones joined to the
/// first one.
struct StoredProgress {
  std::map<SubmissionId, ProgressRow> rows;
  std::map<SubmissionId, FurtherProgressRows> further;

  /// Adds a row with the given key (without the prefix). Returns false if it is
  /// malformed. A row has to follow the first one, as in the order of keys.
  bool Add(std::string_view key, std::string_view value);

 private:
  bool AddBlock(const SubmissionId& id, int block, std::string_view value);
};

}  // namespace mangospread::dispatch
