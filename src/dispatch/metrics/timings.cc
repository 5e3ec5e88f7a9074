#include "dispatch/metrics/timings.hpp"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace mangospread::dispatch {
namespace {

struct HistogramDescription {
  const char* name;
  const char* help;
};

/// Indexed by Timing.
constexpr std::array<HistogramDescription, kTimingCount> kDescriptions = {{
    {"mangospread_first_start_seconds",
     "Acceptance of a submission to its first start order"},
    {"mangospread_start_answer_seconds", "Start order to the worker's answer"},
    {"mangospread_end_noted_seconds", "End of a run to its storage"},
    {"mangospread_store_call_seconds", "Call to the table"},
    {"mangospread_takeover_seconds",
     "Leadership won to restored work going on"},
    {"mangospread_lease_expired_seconds",
     "Last contact with a worker to its removal at the end of its lease"},
    {"mangospread_submission_idle_seconds",
     "Time during which a submission had nothing running though a step was "
     "ready"},
}};

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries kBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0};

}  // namespace

Timings::Timings() : registry_(std::make_unique<prometheus::Registry>()) {
  for (std::size_t index = 0; index < kTimingCount; ++index) {
    auto& family = prometheus::BuildHistogram()
                       .Name(kDescriptions[index].name)
                       .Help(kDescriptions[index].help)
                       .Register(*registry_);
    histograms_[index] = &family.Add({}, kBuckets);
  }
}

Timings::~Timings() = default;

void Timings::Observe(Timing timing, MonotonicTime duration) {
  histograms_[static_cast<std::size_t>(timing)]->Observe(
      std::chrono::duration<double>(duration).count());
}

std::string Timings::Expose() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mangospread::dispatch
