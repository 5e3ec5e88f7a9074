#include "api/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace mangospread::api {

std::string FormatPrometheusText(const std::vector<Sample>& samples) {
  std::map<std::string, prometheus::MetricFamily> families;
  for (const Sample& sample : samples) {
    const bool is_counter = sample.type == MetricType::kCounter;
    auto& family = families[sample.name];
    family.name = "mangospread_" + sample.name;
    family.help = sample.help;
    family.type = is_counter ? prometheus::MetricType::Counter
                             : prometheus::MetricType::Gauge;
    prometheus::ClientMetric metric;
    if (is_counter) {
      metric.counter.value = sample.value;
    } else {
      metric.gauge.value = sample.value;
    }
    for (const auto& [name, value] : sample.labels) {
      metric.label.push_back({name, value});
    }
    family.metric.push_back(std::move(metric));
  }
  std::vector<prometheus::MetricFamily> sorted;
  sorted.reserve(families.size());
  for (auto& [name, family] : families) sorted.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(sorted);
}

}  // namespace mangospread::api
