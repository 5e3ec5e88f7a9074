/// @file
/// Latency histograms of a node.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "mangospread/units.hpp"

namespace prometheus {
class Histogram;
class Registry;
}  // namespace prometheus

namespace mangospread::dispatch {

/// Durations that a node measures, each from one event to another.
enum class Timing : unsigned char {
  kFirstStart,  ///< Acceptance of a submission to its first start command.
  kStartReply,  ///< Start command to the worker's reply.
  /// First unstored change of a submission's progress, such as the end of a
  /// run, to the storage of the progress in the table.
  kEndStored,
  kTableCall,  ///< Call to the table, until its reply.
  kTakeover,   ///< Election to the resumption of restored work.
  /// Last contact with a worker to its removal at the end of its lease.
  kWorkerRemoved,
  /// Time during which a submission has nothing running though a step is
  /// ready. Shorter times than the leader's period of checks may be missing.
  kIdle,
};
inline constexpr std::size_t kTimingCount = 7;

using ObserveTiming = std::function<void(Timing, MonotonicTime)>;

/// Collects durations and exports them in the Prometheus text format.
class Timings {
 public:
  Timings();
  ~Timings();
  Timings(const Timings&) = delete;
  Timings& operator=(const Timings&) = delete;

  void Observe(Timing timing, MonotonicTime duration);
  /// All histograms in the Prometheus text format.
  [[nodiscard]] std::string Expose() const;

 private:
  std::unique_ptr<prometheus::Registry> registry_;
  std::array<prometheus::Histogram*, kTimingCount> histograms_{};
};

}  // namespace mangospread::dispatch
