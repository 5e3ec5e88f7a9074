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

enum class Timing : unsigned char {
  kFirstStart,   ///< Acceptance of a submission to its first start order.
  kStartAnswer,  ///< Start order to the worker's answer.
  kEndNoted,     ///< End of a run to its storage.
  kStoreCall,    ///< Call to the table.
  kTakeover,     ///< Leadership won to restored work going on.
};
inline constexpr std::size_t kTimings = 5;

using ObserveTiming = std::function<void(Timing, MonotonicTime)>;

/// Collects durations and shows them in the Prometheus text format.
class Timings {
 public:
  Timings();
  ~Timings();
  Timings(const Timings&) = delete;
  Timings& operator=(const Timings&) = delete;

  void Observe(Timing timing, MonotonicTime duration);
  [[nodiscard]] std::string Expose() const;

 private:
  std::unique_ptr<prometheus::Registry> registry_;
  std::array<prometheus::Histogram*, kTimings> histograms_{};
};

}  // namespace mangospread::dispatch
