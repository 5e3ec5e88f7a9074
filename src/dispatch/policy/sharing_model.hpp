/// @file
/// Learns how much best-effort tasks of each image slow down latency-critical
/// tasks of each image.
#pragma once

#include <map>
#include <vector>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Estimates the utilisation of a latency-critical task from its tail latency:
/// 1 - t0/t for a queue whose tail is t, with the tail t0 of an idle task. 0 is
/// idle; towards 1 the tail grows without bound.
[[nodiscard]] double UtilisationOf(double tail_ms, double idle_tail_ms);

/// Cores used by tasks of a best-effort image beside a latency-critical task.
struct BestEffortUse {
  ImageName image;
  double cores = 0;
};

/// A measurement of a latency-critical task.
struct InterferenceSample {
  MonotonicTime time{0};
  double tail_ms = 0;
  Milliseconds target{0};
  /// Cores that best-effort tasks use beside it.
  std::vector<BestEffortUse> uses;
};

/// Learned values for one latency-critical image, without covariances.
struct LearnedInterference {
  struct ImageEffect {
    ImageName image;    ///< Best-effort image.
    double effect = 0;  ///< Utilisation added per core.
    double variance = 0;
  };
  ImageName image;
  double idle_tail_ms = 0;
  double level = 0;
  double level_variance = 0;
  std::vector<ImageEffect> effects;
};

/// The utilisation of a latency-critical task is modelled as a base
/// utilisation, its level, which varies with its load, plus the cores in use by
/// best-effort tasks times a coefficient for each pair of images.
///
/// A level changes slowly while best-effort tasks start and end abruptly, so
/// the coefficients are learned from the difference between two consecutive
/// measurements of the same task: recursive least squares for each
/// latency-critical image, with a forgetting factor, since the coefficients
/// change over time.
class InterferenceModel {
 public:
  /// Updates the model with two consecutive measurements of a latency-critical
  /// task.
  void Learn(const ImageName& latency_critical_image,
             const InterferenceSample& before, const InterferenceSample& after);

  /// Utilisation added per core of the best-effort image, never below 0.
  [[nodiscard]] double Effect(const ImageName& best_effort_image,
                              const ImageName& latency_critical_image) const;
  /// Base utilisation that a latency-critical task rarely exceeds.
  [[nodiscard]] double HighBaseUtilisation(
      const ImageName& latency_critical_image) const;
  /// Utilisation at which a latency-critical task reaches the usable share of
  /// its target.
  [[nodiscard]] double UtilisationLimit(const ImageName& latency_critical_image,
                                        Milliseconds target) const;
  /// Utilisation in the sample without the part of the best-effort tasks.
  [[nodiscard]] double BaseUtilisation(const ImageName& latency_critical_image,
                                       const InterferenceSample& sample) const;
  /// Utilisation derived from the tail latency.
  [[nodiscard]] double Utilisation(const ImageName& latency_critical_image,
                                   double tail_ms) const;

  /// Learned values, as the initial state of a later leader.
  [[nodiscard]] std::vector<LearnedInterference> Export() const;
  void Import(const std::vector<LearnedInterference>& learned);

 private:
  struct ImageModel {
    double idle_tail_ms = 0;
    double level = 0;
    double level_variance = 0;
    std::map<ImageName, std::size_t> index;  ///< Coefficient of each image.
    std::vector<double> weights;             ///< Effects per core.
    std::vector<double> covariance;          ///< Square matrix, row by row.
  };
  /// Index of the image's coefficient, which is added if there is none;
  /// kNoIndex if the model already holds the maximum number of images.
  static std::size_t IndexOf(ImageModel& model,
                             const ImageName& best_effort_image);
  static void Grow(ImageModel& model, const ImageName& best_effort_image,
                   double effect, double variance);
  static void LearnEffects(ImageModel& model, const std::vector<double>& change,
                           double difference, MonotonicTime elapsed);
  static void LearnLevel(ImageModel& model, double utilisation,
                         const std::vector<double>& cores);

  std::map<ImageName, ImageModel> models_;
};

}  // namespace mangospread::dispatch
