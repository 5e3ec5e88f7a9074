/// @file
/// Keeps requests away from workers that fail them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::gateway {

struct WorkerBackoffOptions {
  Milliseconds first{200};
  Milliseconds longest{30'000};
  /// Share of the owned workers that may be out at once. A fault common to all
  /// workers (a bad release, a bad request) must not take all of them out.
  double max_out = 0.5;
};

/// What an attempt says about its worker.
enum class SendVerdict : unsigned char {
  kGood,
  kError,    ///< Answered with a server error.
  kRefused,  ///< Refused, or no connection, or no response.
};

/// A worker that fails at once looks idle and would attract all requests. Its
/// share of failures decides whether it is out; after an exponential pause one
/// request probes it.
class WorkerBackoff {
 public:
  using Clock = std::function<MonotonicTime()>;

  /// @param random uniform in [0, 1), for the jitter of pauses.
  WorkerBackoff(WorkerBackoffOptions options, Clock now,
                std::function<double()> random);

  /// False while the worker is out and no probe is due.
  [[nodiscard]] bool MayUse(const VmName& vm) const;
  /// A request goes to the worker; when it is out this is the probe.
  void OnSent(const VmName& vm);
  /// @param owned workers that the limit on those out is taken of.
  void OnResult(const VmName& vm, SendVerdict verdict, std::size_t owned);

  [[nodiscard]] std::size_t out() const noexcept { return out_; }

  /// Forgets workers that `owned` does not accept.
  void Prune(const std::function<bool(const VmName&)>& owned);

 private:
  struct State {
    double failures = 0;  ///< Decaying share of failed requests.
    bool out = false;
    bool probing = false;
    int pauses = 0;
    MonotonicTime until{0};
  };

  void Pause(const VmName& vm, State& state);

  WorkerBackoffOptions options_;
  Clock now_;
  std::function<double()> random_;
  std::map<VmName, State> states_;
  std::size_t out_ = 0;
};

}  // namespace mangospread::gateway
