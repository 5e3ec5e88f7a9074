/// @file
/// Encoding of the tasks of a submission that are done.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// JSON text with the field "done", ranges given by position and count, or the
/// field "done_bits", whichever is shorter. In "done_bits" each character holds
/// six tasks, the first one in the lowest bit. Its length is at most a sixth of
/// the number of tasks.
[[nodiscard]] std::string EncodeDone(const std::vector<DoneTasks>& done);
/// Most bytes that EncodeDone returns for the tasks of the submission.
[[nodiscard]] std::size_t MaxDoneBytes(const Submission& submission);
/// Decodes the fields, both optional. Returns false if one is malformed.
[[nodiscard]] bool DecodeDone(const nlohmann::json& object,
                              std::vector<DoneTasks>& done);

/// True if listing each of the tasks takes at most `max_bytes`.
[[nodiscard]] bool CanListDone(const std::vector<DoneTasks>& done,
                               std::size_t max_bytes);
/// JSON rows for each of the tasks, in the form of former versions, each
/// followed by a comma. The number of the run is 0: it is not used.
[[nodiscard]] std::string ListDone(const std::vector<DoneTasks>& done);

}  // namespace mangospread::dispatch
