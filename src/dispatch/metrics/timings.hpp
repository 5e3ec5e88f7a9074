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

/// A measured duration; the comments name its start and end.
enum class Timing : unsigned char {
  kFirstStart,  ///< Acceptance of a submission to its first start command.
  kStartReply,  ///< Start command to the worker's reply.
  kEndStored,   ///< End of a run to its storage in the table.
  kTableCall,   ///< Duration of a call to the table.
  kTakeover,    ///< Election to the resumption of restored work.
};
inline constexpr std::size_t kTimings = 5;

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
  std::array<prometheus::Histogram*, kTimings> histograms_{};
};

}  // namespace mangospread::dispatch
