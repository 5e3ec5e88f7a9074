/// @file
/// Model of the slowdown that tasks of one class cause to services and to tasks
/// of other classes.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Effect of one unthrottled task on ln(p99), and its uncertainty.
struct Effect {
  double mean = 0;
  double variance = 0;
};

/// Tasks of one class that ran beside a victim. `amount` is the number of
/// running tasks, reduced by throttling and by the part of the interval in
/// which they did not run.
struct Exposure {
  ClassIndex aggressor = kOtherClass;
  double amount = 0;
};

/// Effect of an aggressor on a victim, linear in the victim's load: `low` at no
/// load, `high` at full load.
struct PairEffect {
  Effect low;
  Effect high;
  [[nodiscard]] Effect AtLoad(double load_level) const;
};

/// One measurement of a service's p99, or of a task's run time.
struct Observation {
  ClassIndex victim = kOtherClass;
  double load_level = 0;  ///< Load of the victim, 0..1.
  double pressure = 0;    ///< CpuPressure of the worker.
  /// p99 in milliseconds or run time in seconds; must be above 0.
  double value = 0;
  MonotonicTime measured_at{0};
  std::vector<Exposure> exposures;
};

/// Processor use beyond the share from which run queues lengthen, scaled to
/// 0..1; above 1 when the processors are overcommitted.
[[nodiscard]] double CpuPressure(double used_share);

/// Models ln(value) as the sum of the victim's baseline by load, a term for the
/// worker's processor use, and one term for each task on the worker. The effect
/// of a pair is linear in the victim's load. All coefficients are estimated by
/// a Kalman filter with a diagonal covariance: a measurement corrects the most
/// uncertain coefficients most, and the uncertainty grows with time.
class InterferenceModel {
 public:
  /// Maximum number of stored pairs; at the largest supported scale about 1,000
  /// task classes run beside 60 services.
  static constexpr std::size_t kMaxPairs = 65'536;

  explicit InterferenceModel(const ClassTable& classes) : classes_(classes) {}

  [[nodiscard]] PairEffect Find(ClassIndex aggressor, ClassIndex victim) const;
  [[nodiscard]] Effect Predict(ClassIndex aggressor, ClassIndex victim,
                               double load_level) const {
    return Find(aggressor, victim).AtLoad(load_level);
  }
  /// Expected ln(p99) of the victim without tasks.
  [[nodiscard]] double PredictAlone(ClassIndex victim, double load_level) const;
  /// Increase of ln(p99) for each unit of CpuPressure.
  [[nodiscard]] double PressureSlope(ClassIndex victim) const;

  void Learn(const Observation& observation);
  /// Learns from a deliberate change of one aggressor's throttling, all other
  /// conditions being equal.
  void LearnChange(ClassIndex aggressor, ClassIndex victim, double load_level,
                   double amount_change, double ln_change,
                   MonotonicTime measured_at);

  [[nodiscard]] std::size_t pairs() const noexcept { return pairs_.size(); }

 private:
  using Coefficient = Effect;
  /// Effect at no load and at full load.
  struct Pair {
    Coefficient low;
    Coefficient high;
    MonotonicTime updated_at{0};
    std::uint32_t generations = 0;
  };
  /// Number of load levels, evenly spaced over 0..1, for which a victim's
  /// baseline is estimated.
  static constexpr std::size_t kKnots = 5;
  struct Victim {
    std::array<Coefficient, kKnots> knots;  ///< Baseline of ln(value) by load.
    Coefficient pressure;
    double noise = 0;  ///< Variance of a measurement of ln(value).
    MonotonicTime updated_at{0};
    std::uint32_t generation = 0;
  };
  /// Mean effect of an aggressor over all victims that it has run beside.
  struct Aggressor {
    double mean = 0;
    double samples = 0;
    std::uint32_t generation = 0;
  };
  struct Term {
    Coefficient* coefficient;
    double amount;
  };

  [[nodiscard]] Coefficient Prior(ClassIndex aggressor) const;
  [[nodiscard]] std::uint32_t Generations(ClassIndex aggressor,
                                          ClassIndex victim) const;
  Pair& FindPair(ClassIndex aggressor, ClassIndex victim,
                 MonotonicTime measured_at);
  Victim& FindVictim(const Observation& observation, double ln_value);
  /// Removes the tenth of the pairs that was updated least recently.
  void DropOldPairs();
  void UpdateAggressor(ClassIndex aggressor, const Pair& pair,
                       double load_level);
  /// @return the innovation before it is limited.
  static double ApplyMeasurement(std::vector<Term>& terms, double measured,
                                 double noise);

  const ClassTable& classes_;
  std::unordered_map<std::uint32_t, Pair> pairs_;
  std::unordered_map<ClassIndex, Victim> victims_;
  std::unordered_map<ClassIndex, Aggressor> aggressors_;
  std::vector<Term> terms_;
};

}  // namespace mangospread::scheduler::policy
