/// @file
/// Excludes workers that fail requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::gateway {

struct WorkerBackoffOptions {
  /// First and maximum delay before a probe; it doubles after each failed
  /// probe.
  Milliseconds initial_delay{200};
  Milliseconds max_delay{30'000};
  /// Maximum share of the owned workers that may be excluded at the same time.
  /// A fault common to all workers (a bad release, a bad request) must not
  /// exclude all of them.
  double max_excluded_share = 0.5;
};

/// Result of an attempt, as far as it concerns the worker.
enum class AttemptResult : unsigned char {
  kSuccess,
  kServerError,  ///< A response with status 500 or above.
  kRefused,      ///< A refusal, no connection or no response.
};

/// Excludes a worker when its failure rate exceeds a threshold; after an
/// exponential delay one request probes it. Without this, a worker that fails
/// requests immediately would appear idle and attract all requests.
class WorkerBackoff {
 public:
  using Clock = std::function<MonotonicTime()>;

  /// @param random returns values uniform in [0, 1), for the jitter of delays.
  WorkerBackoff(WorkerBackoffOptions options, Clock now,
                std::function<double()> random);

  /// False while the worker is excluded and no probe is due.
  [[nodiscard]] bool MayUse(const VmName& vm) const;
  /// Records that a request is sent to the worker. If the worker is excluded,
  /// the request is the probe.
  void OnSent(const VmName& vm);
  /// Updates the failure rate with the result of a request.
  /// @param owned number of owned workers, to which
  ///   WorkerBackoffOptions::max_excluded_share applies.
  void OnResult(const VmName& vm, AttemptResult result, std::size_t owned);

  /// Number of excluded workers.
  [[nodiscard]] std::size_t excluded() const noexcept { return excluded_; }

  /// Removes the state of workers for which `is_owned` returns false.
  void Prune(const std::function<bool(const VmName&)>& is_owned);

 private:
  struct State {
    double failure_rate = 0;  ///< Moving average of failed requests, 0 to 1.
    bool excluded = false;
    bool probing = false;   ///< The probe is in flight.
    int backoff_count = 0;  ///< Delays since the worker was excluded.
    MonotonicTime excluded_until{0};
  };

  /// Sets the time of the next probe.
  void StartBackoff(const VmName& vm, State& state);

  WorkerBackoffOptions options_;
  Clock now_;
  std::function<double()> random_;
  std::map<VmName, State> states_;
  std::size_t excluded_ = 0;
};

}  // namespace mangospread::gateway
