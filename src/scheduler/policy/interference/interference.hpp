/// @file
/// How much tasks of one class slow services and tasks of another.
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

/// Tasks of one class that a victim was exposed to. `amount` counts running
/// tasks, reduced by throttling and by the part of the time that they ran.
struct Exposure {
  ClassIndex aggressor = kOtherClass;
  double amount = 0;
};

/// Effect of a pair, linear in the victim's load.
struct PairEffect {
  Effect low;
  Effect high;
  [[nodiscard]] Effect At(double level) const;
};

/// One measurement of a service's p99, or of a task's run time.
struct Observation {
  ClassIndex victim = kOtherClass;
  double level = 0;     ///< Load of the victim, 0..1.
  double pressure = 0;  ///< CpuPressure of the worker.
  double value = 0;     ///< Milliseconds or seconds; must be above 0.
  MonotonicTime at{0};
  std::vector<Exposure> exposures;
};

/// Processor use above which run queues lengthen, scaled to 0..1 and beyond.
[[nodiscard]] double CpuPressure(double used_share);

/// ln(value) is modelled as the victim's own level by load, a term for the
/// worker's processor use, and a sum over the tasks there. The effect of a
/// pair is linear in the victim's load. All coefficients are estimated by a
/// Kalman filter with a diagonal covariance: a measurement corrects what is
/// least certain most, and certainty fades with time.
class InterferenceModel {
 public:
  /// Pairs kept; at the target about 1,000 task classes meet 60 services.
  static constexpr std::size_t kMaxPairs = 65'536;

  explicit InterferenceModel(const ClassTable& classes) : classes_(classes) {}

  [[nodiscard]] PairEffect Find(ClassIndex aggressor, ClassIndex victim) const;
  [[nodiscard]] Effect Predict(ClassIndex aggressor, ClassIndex victim,
                               double level) const {
    return Find(aggressor, victim).At(level);
  }
  /// Expected ln(p99) of the victim without tasks.
  [[nodiscard]] double PredictAlone(ClassIndex victim, double level) const;
  /// Increase of ln(p99) for each unit of CpuPressure.
  [[nodiscard]] double PressureSlope(ClassIndex victim) const;

  void Learn(const Observation& observation);
  /// Learns from a deliberate change of one aggressor, all else being equal.
  void LearnChange(ClassIndex aggressor, ClassIndex victim, double level,
                   double amount_change, double ln_change, MonotonicTime at);

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
  static constexpr std::size_t kKnots = 5;
  struct Victim {
    std::array<Coefficient, kKnots> knots;
    Coefficient pressure;
    double noise = 0;
    MonotonicTime updated_at{0};
    std::uint32_t generation = 0;
  };
  /// Mean effect of an aggressor on the victims it has met.
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
  Pair& FindPair(ClassIndex aggressor, ClassIndex victim, MonotonicTime at);
  Victim& FindVictim(const Observation& observation, double ln_value);
  void DropOldPairs();
  void UpdateAggressor(ClassIndex aggressor, const Pair& pair, double level);
  /// @return the innovation before limiting.
  static double Correct(std::vector<Term>& terms, double measured,
                        double noise);

  const ClassTable& classes_;
  std::unordered_map<std::uint32_t, Pair> pairs_;
  std::unordered_map<ClassIndex, Victim> victims_;
  std::unordered_map<ClassIndex, Aggressor> aggressors_;
  std::vector<Term> terms_;
};

}  // namespace mangospread::scheduler::policy
