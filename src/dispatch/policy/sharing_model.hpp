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

/// Utilisation of a serving task is modelled as a level of its own, which
/// swings with its load, plus a coefficient of each pair of images times the
/// cores that the filling tasks use. Recursive least squares for each serving
/// image, with forgetting, since both change over time.
class SharingModel {
 public:
  /// Takes in one measurement of a serving task.
  void Learn(const ImageName& serving, double tail_ms,
             const std::vector<FillUse>& fills);

  /// Utilisation per core of `fill`, never below 0.
  [[nodiscard]] double Effect(const ImageName& fill,
                              const ImageName& serving) const;
  /// Level that a serving task rarely exceeds without filling tasks.
  [[nodiscard]] double HighLevel(const ImageName& serving) const;
  /// Utilisation at which a serving task reaches a share of its target.
  [[nodiscard]] double Limit(const ImageName& serving,
                             Milliseconds target) const;
  /// Present utilisation by its tail latency.
  [[nodiscard]] double Utilisation(const ImageName& serving,
                                   double tail_ms) const;

 private:
  struct Serving {
    double idle_tail_ms = 0;
    std::map<ImageName, std::size_t> index;  ///< Of each fill's coefficient.
    std::vector<double> weights;             ///< The level, then the effects.
    std::vector<double> covariance;          ///< Square, by rows.
    double variance = 0;                     ///< Of the level.
  };
  static void Grow(Serving& serving, const ImageName& fill);

  std::map<ImageName, Serving> serving_;
};

}  // namespace mangospread::dispatch
