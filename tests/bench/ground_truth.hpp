/// @file
/// Parameters of the simulation that the policies cannot read: what tasks use,
/// and how much they slow services, by load.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace mangospread::bench {

inline constexpr int kServiceClasses = 6;
inline constexpr int kTaskClasses = 14;

struct ServiceTraits {
  double base_p99_ms = 10;
  double cpu = 3;         ///< Cores at full load.
  double memory = 6'000;  ///< MiB.
  double phase = 0;       ///< Of the periodic load, in radians.
};

/// Actual resource use of the tasks of a class, and their declarations.
struct TaskTraits {
  double cpu = 2;         ///< Cores.
  double memory = 4'000;  ///< MiB.
  double seconds = 120;   ///< Run time at full speed.
  /// Declared amounts relative to the actual ones.
  double declared_cpu_factor = 1;
  double declared_memory_factor = 1;
  /// Effect of one task on ln(p99) of each service class without load and at
  /// full load, and slowdown of other tasks.
  std::array<double, kServiceClasses> low{};
  std::array<double, kServiceClasses> high{};
  double task_slowdown = 0;
};

/// Parameters of one seed.
struct GroundTruth {
  explicit GroundTruth(std::uint64_t seed);
  /// Load of a service class, 0..1. It varies over minutes, with jumps.
  [[nodiscard]] double LoadLevel(int service, double seconds) const;

  std::array<ServiceTraits, kServiceClasses> services;
  std::array<TaskTraits, kTaskClasses> tasks;
  /// Added to the load of the service classes, each value for 90 s.
  std::vector<double> jumps;
};

inline GroundTruth::GroundTruth(std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919 + 1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto between = [&](double a, double b) {
    return a + (b - a) * uniform(random);
  };
  for (ServiceTraits& service : services) {
    service = {between(8, 40), between(2, 4.5), between(4'000, 9'000),
               between(0, 6.28)};
  }
  for (int i = 0; i < kTaskClasses; ++i) {
    TaskTraits& task = tasks[static_cast<std::size_t>(i)];
    task.cpu = between(0.5, 4);
    task.memory = between(1'000, 9'000);
    task.seconds = between(60, 360);
    task.task_slowdown = between(0, 0.01);
    // A quarter of the classes declares up to ten times too little, and a
    // quarter up to ten times too much.
    const double error = std::exp(between(std::log(2.0), std::log(10.0)));
    const double small_error = std::exp(between(-0.2, 0.2));
    const double factor = i % 4 == 0   ? 1 / error
                          : i % 4 == 1 ? error
                                       : small_error;
    task.declared_cpu_factor = std::min(factor, 20 / task.cpu);
    task.declared_memory_factor = std::min(factor, 60'000 / task.memory);
    for (std::size_t s = 0; s < kServiceClasses; ++s) {
      const double selector = uniform(random);
      double effect = between(0.0, 0.008);
      if (selector > 0.88) {
        effect = between(0.1, 0.3);
      } else if (selector > 0.65) {
        effect = between(0.02, 0.06);
      }
      // Some pairs interfere only under load, others only without load.
      const double shift = between(0.1, 1.9);
      task.low[s] = effect * (2 - shift);
      task.high[s] = effect * shift;
    }
  }
  for (int i = 0; i < 400; ++i) jumps.push_back(between(-0.2, 0.2));
}

inline double GroundTruth::LoadLevel(int service, double seconds) const {
  const auto index = static_cast<std::size_t>(service);
  const double periodic_load =
      0.5 + 0.25 * std::sin(services[index].phase + seconds / 400.0);
  const std::size_t slot =
      (static_cast<std::size_t>(seconds / 90) * kServiceClasses + index) %
      jumps.size();
  return std::clamp(periodic_load + jumps[slot], 0.05, 1.0);
}

}  // namespace mangospread::bench
