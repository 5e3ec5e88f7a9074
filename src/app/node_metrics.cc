#include "app/node_metrics.hpp"

#include <cstddef>
#include <cstdint>

#include "app/wait_status.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {

void AppendRefusals(const net::ClientRefusals& refusals,
                    std::vector<api::Sample>& samples) {
  for (std::size_t i = 0; i < refusals.size(); ++i) {
    samples.push_back(
        {"callers_refused_total",
         "Callers' connections closed and requests refused by the limits",
         api::MetricType::kCounter,
         static_cast<double>(refusals[i]),
         {{"reason",
           net::ClientRefusalName(static_cast<net::ClientRefusal>(i))}}});
  }
}

void AppendLeaderSamples(const dispatch::GroupLeader& leader,
                         std::vector<api::Sample>& samples) {
  const auto add = [&samples](const char* name, const char* help,
                              api::MetricType type, double value) {
    samples.push_back({name, help, type, value, {}});
  };
  constexpr auto kCounter = api::MetricType::kCounter;
  constexpr auto kGauge = api::MetricType::kGauge;
  const auto& counters = leader.dispatcher().counters();
  const auto add_counter = [&](const char* name, const char* help,
                               std::uint64_t value) {
    add(name, help, kCounter, static_cast<double>(value));
  };
  add_counter("starts_total", "Start orders", counters.started);
  add_counter("starts_refused_total", "Starts that did not happen",
              counters.refused);
  add_counter("runs_done_total", "Runs that ended as done", counters.done);
  add_counter("runs_failed_total", "Runs that failed", counters.failed);
  add_counter("runs_requeued_total", "Runs that start again",
              counters.requeued);
  add_counter("runs_stalled_total", "Runs without progress", counters.stalled);
  add_counter("workers_excluded_total", "Workers set aside for failures",
              counters.excluded);
  add_counter("workers_readmitted_total",
              "Workers set aside for failures and taken back early",
              counters.readmitted);
  add_counter("runs_lost_total", "Runs that ended with their worker's process",
              counters.lost);
  add_counter("tasks_given_up_total",
              "Tasks not started again since they crash workers",
              counters.given_up);
  add_counter("runs_moved_for_evacuation_total",
              "Runs stopped to go on outside an evacuated data centre",
              counters.evacuated);
  add_counter("store_changes_rejected_total",
              "Changes that the store does not accept",
              leader.writes().rejected_by_table);
  add("workers_unresolved",
      "Workers of the former leader whose runs are not known yet", kGauge,
      static_cast<double>(leader.unresolved_workers()));
  add("work_bytes", "Memory of accepted submissions", kGauge,
      static_cast<double>(leader.dispatcher().work_bytes()));
  add("submissions_active", "Submissions that have not ended", kGauge,
      static_cast<double>(leader.dispatcher().active()));
  AppendWaitSamples(leader, base::MonotonicNow(), samples);
}

}  // namespace mangospread::app
