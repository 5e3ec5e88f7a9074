/// @file
/// The hidden truth that fake workers live in: what tasks use, and how much
/// they slow services, by load.
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
  double base_ms = 10;
  double cpu = 3;  ///< Cores at full load.
  double memory = 6'000;
  double phase = 0;
};

/// What tasks of a class really do, and what they declare.
struct TaskTraits {
  double cpu = 2;
  double memory = 4'000;
  double seconds = 120;
  double declared_cpu = 1;     ///< Factor of the declaration.
  double declared_memory = 1;  ///< Factor of the declaration.
  /// Effect of one task on ln(p99) of each service class without load and at
  /// full load, and slowdown of other tasks.
  std::array<double, kServiceClasses> low{};
  std::array<double, kServiceClasses> high{};
  double slows_tasks = 0;
};

/// The hidden truth of one seed.
struct World {
  explicit World(std::uint64_t seed);
  /// Load of a service class, 0..1. Load shifts over minutes, with jumps.
  [[nodiscard]] double Level(int service, double seconds) const;

  std::array<ServiceTraits, kServiceClasses> services;
  std::array<TaskTraits, kTaskClasses> tasks;
  std::vector<double> jumps;
};

inline World::World(std::uint64_t seed) {
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
    task.slows_tasks = between(0, 0.01);
    // A quarter of the classes declares up to ten times too little, and a
    // quarter up to ten times too much.
    const double error = std::exp(between(std::log(2.0), std::log(10.0)));
    const double small = std::exp(between(-0.2, 0.2));
    const double factor = i % 4 == 0 ? 1 / error : i % 4 == 1 ? error : small;
    task.declared_cpu = std::min(factor, 20 / task.cpu);
    task.declared_memory = std::min(factor, 60'000 / task.memory);
    for (std::size_t s = 0; s < kServiceClasses; ++s) {
      const double kind = uniform(random);
      double effect = between(0.0, 0.008);
      if (kind > 0.88) {
        effect = between(0.1, 0.3);
      } else if (kind > 0.65) {
        effect = between(0.02, 0.06);
      }
      // Some pairs interfere only under load, others only without.
      const double shift = between(0.1, 1.9);
      task.low[s] = effect * (2 - shift);
      task.high[s] = effect * shift;
    }
  }
  for (int i = 0; i < 400; ++i) jumps.push_back(between(-0.2, 0.2));
}

inline double World::Level(int service, double seconds) const {
  const auto s = static_cast<std::size_t>(service);
  const double wave =
      0.5 + 0.25 * std::sin(services[s].phase + seconds / 400.0);
  const std::size_t slot =
      (static_cast<std::size_t>(seconds / 90) * kServiceClasses + s) %
      jumps.size();
  return std::clamp(wave + jumps[slot], 0.05, 1.0);
}

}  // namespace mangospread::bench
