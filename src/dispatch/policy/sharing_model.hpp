/// @file
/// Learns how much filling tasks of each image slow serving tasks of each
/// image.
#pragma once

#include <map>
#include <vector>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Utilisation of a serving task as its tail latency shows it: with the tail
/// of an idle task t0, a queue whose tail is t is 1 - t0/t utilised. 0 is
/// idle; towards 1 the tail grows without bound.
[[nodiscard]] double UtilisationOf(double tail_ms, double idle_tail_ms);

/// A filling image at work beside a serving task.
struct FillUse {
  ImageName image;
  double cores = 0;
};

/// A serving task as measured at one moment.
struct SharingSample {
  MonotonicTime at{0};
  double tail_ms = 0;
  Milliseconds target{0};
  std::vector<FillUse> fills;  ///< At work beside it.
};

/// What is known of one serving image, without correlations.
struct LearnedSharing {
  struct Fill {
    ImageName image;
    double effect = 0;
    double variance = 0;
  };
  ImageName image;
  double idle_tail_ms = 0;
  double level = 0;
  double level_variance = 0;
  std::vector<Fill> fills;
};

/// Utilisation of a serving task is modelled as a level of its own, which
/// swings with its load, plus a coefficient of each pair of images times the
/// cores that the filling tasks use.
///
/// A level changes slowly while filling tasks start and end at once, so the
/// coefficients are learned from the difference between two measurements of
/// the same task in succession: recursive least squares for each serving
/// image, with forgetting, since the coefficients change over time.
class SharingModel {
 public:
  /// Takes in a measurement of a serving task and the one before it.
  void Learn(const ImageName& serving, const SharingSample& before,
             const SharingSample& after);

  /// Utilisation per core of `fill`, never below 0.
  [[nodiscard]] double Effect(const ImageName& fill,
                              const ImageName& serving) const;
  /// Level that a serving task rarely exceeds without filling tasks.
  [[nodiscard]] double HighLevel(const ImageName& serving) const;
  /// Utilisation at which a serving task reaches a share of its target.
  [[nodiscard]] double Limit(const ImageName& serving,
                             Milliseconds target) const;
  /// Utilisation of a task at that moment less the filling tasks' part.
  [[nodiscard]] double OwnLevel(const ImageName& serving,
                                const SharingSample& sample) const;
  /// Present utilisation by its tail latency.
  [[nodiscard]] double Utilisation(const ImageName& serving,
                                   double tail_ms) const;

  /// What a later leader starts from.
  [[nodiscard]] std::vector<LearnedSharing> Export() const;
  void Import(const std::vector<LearnedSharing>& learned);

 private:
  struct Serving {
    double idle_tail_ms = 0;
    double level = 0;
    double level_variance = 0;
    std::map<ImageName, std::size_t> index;  ///< Of each fill's coefficient.
    std::vector<double> weights;             ///< Effects per core.
    std::vector<double> covariance;          ///< Square, by rows.
  };
  static std::size_t IndexOf(Serving& serving, const ImageName& fill);
  static void Grow(Serving& serving, const ImageName& fill, double effect,
                   double variance);
  static void LearnEffects(Serving& serving, const std::vector<double>& change,
                           double difference, MonotonicTime elapsed);
  static void LearnLevel(Serving& serving, double utilisation,
                         const std::vector<double>& cores);

  std::map<ImageName, Serving> serving_;
};

}  // namespace mangospread::dispatch
