/// @file
/// Why workers get no task of a step.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {

class StepPlacer;

/// The first reason that applies why one more task of a step cannot start on a
/// worker.
enum class Rejection : unsigned char {
  kNone,  ///< It can start there.
  kLeaving,
  kEvacuated,   ///< Its data centre is under evacuation.
  kDetached,    ///< No agent is connected to it.
  kSilent,      ///< It does not respond.
  kUnknownUse,  ///< Runs that are being stopped use its capacity.
  kRefused,     ///< It has just refused starts for lack of capacity.
  kOnTrial,     ///< It has just started a suspected task.
  kLabel,       ///< It lacks the label that the step requires.
  /// Its process has not registered yet, and the step requires a label or the
  /// worker does not guard its capacity.
  kUnregistered,
  kProcessors,
  kMemory,
  kAccelerators,
  kSpread,     ///< It has as many tasks of the step as one worker may have.
  kHeadroom,   ///< A latency-critical task there would miss its target.
  kSuspected,  ///< It has room but is excluded, since runs on it failed.
};
inline constexpr std::size_t kRejectionCount =
    static_cast<std::size_t>(Rejection::kSuspected) + 1;

/// Name for logs.
[[nodiscard]] std::string_view RejectionName(Rejection rejection) noexcept;

/// Why the worker can start no task at all at present.
[[nodiscard]] Rejection StartRejection(const WorkerState& worker,
                                       MonotonicTime now) noexcept;
/// Whether the worker has the label that the step requires.
[[nodiscard]] Rejection LabelRejection(const WorkerState& worker,
                                       const StepSpec& spec);
/// Whether a task of the step fits into the worker's free capacity.
[[nodiscard]] Rejection FitRejection(const WorkerState& worker,
                                     const StepSpec& spec) noexcept;
/// Number of tasks of the step, run at the same time, that fit into the
/// worker's free capacity; at most `most`.
[[nodiscard]] int FitCount(const WorkerState& worker, const StepSpec& spec,
                           int most) noexcept;
/// Processor time available to further best-effort tasks, in millicores.
[[nodiscard]] double UnusedMillicores(const WorkerState& worker) noexcept;

/// Number of workers of a service by the reason why they get no task of a step.
struct Rejections {
  std::array<int, kRejectionCount> workers{};
  /// Latency-critical image beside which most of the workers without headroom
  /// have none; empty if there are no such workers.
  ImageName image;

  [[nodiscard]] int Of(Rejection rejection) const noexcept {
    return workers[static_cast<std::size_t>(rejection)];
  }
};

/// Counts all workers of the service. Takes as long as the construction of the
/// placer, so it is only for steps that someone asks about.
[[nodiscard]] Rejections CountRejections(const WorkerRegistry& registry,
                                         const ServiceName& service,
                                         StepPlacer& placer);

}  // namespace mangospread::dispatch
