/// @file
/// Metrics in the Prometheus text format.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace mangospread::api {

enum class MetricType : unsigned char { kCounter, kGauge };

/// One value of a metric family. Samples with the same name form a family.
struct Sample {
  std::string name;  ///< Without the "mangospread_" prefix.
  std::string help;
  MetricType type = MetricType::kGauge;
  double value = 0;
  std::vector<std::pair<std::string, std::string>> labels;
};

/// Appends the current value of every metric; called at each scrape.
using SampleSource = std::function<void(std::vector<Sample>&)>;

/// Formats the samples as Prometheus text; adds the "mangospread_" prefix to
/// their names.
[[nodiscard]] std::string FormatPrometheusText(
    const std::vector<Sample>& samples);

}  // namespace mangospread::api
