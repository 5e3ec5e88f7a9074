/// @file
/// Submissions: directed acyclic graphs of steps whose tasks run on the workers
/// of a queue's service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Chosen by the caller; submitting again with the same id is idempotent.
using SubmissionId = mangospread::detail::StrongString<struct SubmissionIdTag>;
using QueueName = mangospread::detail::StrongString<struct QueueNameTag>;
/// Image that a step's tasks execute. Tasks with the same image interfere
/// alike.
using ImageName = mangospread::detail::StrongString<struct ImageNameTag>;
/// A property that a worker has or lacks.
using Label = mangospread::detail::StrongString<struct LabelTag>;

/// Longest duration in a submission or a queue's settings. Sums over all steps
/// stay far below the maximum of MonotonicTime.
inline constexpr Milliseconds kMaxDuration = std::chrono::hours(24 * 30);

/// Identical tasks of a submission.
struct StepSpec {
  int count = 1;
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  /// The caller's rough estimate of one task's run time.
  Milliseconds estimate{0};
  /// Indices of earlier steps whose tasks must all be done before this step.
  std::vector<int> after;
  /// Tasks write checkpoints, from which their next run continues.
  bool checkpoints = false;
  /// The tasks can only run together: all are started at once, and if one ends,
  /// the others are stopped.
  bool gang = false;
  /// A gang that spans several racks runs slower.
  bool same_rack = false;
  bool speculative = false;
  /// Runs until the submission is cancelled; restarted when it ends.
  bool long_running = false;
  /// Best effort: uses only processor time that other tasks leave unused.
  bool best_effort = false;
  Label required_label;
  /// Rack that holds the input data; tasks on other racks run slower.
  RackName data_rack;
  /// Maximum number of the step's tasks on one worker; 0 is unlimited.
  int max_per_worker = 0;
  ImageName image;
  /// Latency target of a latency-critical task; 0 for none.
  Milliseconds latency_target{0};
  /// Maximum number of tasks that the scheduler itself may interrupt at a time.
  int max_unavailable = 0;
};

struct Submission {
  SubmissionId id;
  std::string spec;  ///< Passed to the workers unchanged.
  std::vector<StepSpec> steps;
  /// Number of scheduled repetitions; 0 for a single immediate run.
  int occurrences = 0;
  Milliseconds first_due{0};  ///< Since the Unix epoch.
  Milliseconds interval{0};
  std::size_t stored_bytes = 0;  ///< Size of the request that describes it.
};

/// Queue settings that apply to a submission, as of its acceptance.
struct QueuePolicy {
  QueueName queue;
  ServiceName service;
  int priority = 0;  ///< 0 is the most urgent.
  /// Number of failed runs of a task at which its submission fails.
  int attempts = 1;
  /// The completion objective is `stretch` times the critical path plus
  /// `latency_target`.
  double stretch = 1;
  Milliseconds latency_target{0};
};

enum class SubmissionState : unsigned char {
  kQueued,
  kRunning,
  kComplete,
  kFailed,
  kCancelled,
};

[[nodiscard]] constexpr bool IsFinal(SubmissionState state) noexcept {
  return state >= SubmissionState::kComplete;
}

/// Lower-case name for logs and records.
[[nodiscard]] std::string_view StateName(SubmissionState state) noexcept;
/// Returns nullopt for an unknown name.
[[nodiscard]] std::optional<SubmissionState> ParseState(
    std::string_view name) noexcept;

/// Identifies a task within a submission.
struct TaskIndex {
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskIndex&, const TaskIndex&) = default;
};

/// A task of a submission. Its text form is "<id>.<occurrence>.<step>.<index>".
struct TaskName {
  SubmissionId submission;
  int occurrence = 0;
  TaskIndex task;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

[[nodiscard]] std::string ToString(const TaskName& name);
/// @errors kMalformed with the text as subject.
[[nodiscard]] Result<TaskName> ParseTaskName(std::string_view text);

}  // namespace mangospread::dispatch
