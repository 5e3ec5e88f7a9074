// Metrics of a node, exposed at /metrics.
#include <sys/resource.h>

#include <utility>

#include "app/node/node.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {
namespace {

struct ProcessUsage {
  double cpu_seconds = 0;
  double resident_bytes = 0;
};

ProcessUsage ReadProcessUsage() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kBytesPerKibibyte = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
  };
  return {seconds(usage.ru_utime) + seconds(usage.ru_stime),
          static_cast<double>(usage.ru_maxrss) * kBytesPerKibibyte};
}

}  // namespace

void Node::CollectSamples(std::vector<api::Sample>& samples) const {
  using api::MetricType;
  const auto add =
      [&samples](const char* name, const char* help, MetricType type,
                 auto value,
                 std::vector<std::pair<std::string, std::string>> labels = {}) {
        samples.push_back(
            {name, help, type, static_cast<double>(value), std::move(labels)});
      };
  const auto& requests = gateway_.counters();
  constexpr const char* kRequestsHelp = "Requests of callers by outcome.";
  add("requests_total", kRequestsHelp, MetricType::kCounter, requests.answered,
      {{"outcome", "answered"}});
  add("requests_total", kRequestsHelp, MetricType::kCounter, requests.not_run,
      {{"outcome", "not-run"}});
  add("requests_total", kRequestsHelp, MetricType::kCounter, requests.unknown,
      {{"outcome", "unknown"}});
  add("requests_forwarded_total", "Requests passed on to another node.",
      MetricType::kCounter, requests.forwarded);
  add("requests_retried_total", "Further sends of a request.",
      MetricType::kCounter, requests.retried);
  add("requests_in_flight", "Requests without an outcome yet.",
      MetricType::kGauge, gateway_.in_flight());
  add("retries_denied_total", "Retries that the budget did not allow.",
      MetricType::kCounter, requests.retries_denied);
  add("limit_refused_total", "Requests above a limit of team or service.",
      MetricType::kCounter, gateway_.limiter().refused());
  add("workers_backed_off", "Workers without requests since they fail them.",
      MetricType::kGauge, router_.excluded_workers());
  const auto& queue = gateway_.queue().counters();
  add("queue_waiting", "Requests that wait for a slot.", MetricType::kGauge,
      gateway_.queue().waiting());
  add("queue_joined_total", "Requests that waited for a slot.",
      MetricType::kCounter, queue.enqueued);
  for (const auto& [end, value] :
       {std::pair{"sent", queue.sent}, std::pair{"expired", queue.expired},
        std::pair{"abandoned", queue.abandoned}, std::pair{"full", queue.full},
        std::pair{"hopeless", requests.refused_early}}) {
    add("queue_ended_total", "Ends of waits, and requests that did not wait.",
        MetricType::kCounter, value, {{"end", end}});
  }
  const MonotonicTime now = base::MonotonicNow();
  for (const auto& [loop, stalls] :
       {std::pair{"core", &core_stalls_}, std::pair{"rpc", &peers_.stalls()}}) {
    add("loop_stall_seconds",
        "Longest delay of a callback in the last half to one minute.",
        MetricType::kGauge,
        std::chrono::duration<double>(stalls->Longest(now)).count(),
        {{"loop", loop}});
  }
  const ProcessUsage usage = ReadProcessUsage();
  add("process_cpu_seconds_total", "Processor time of this process.",
      MetricType::kCounter, usage.cpu_seconds);
  add("process_resident_bytes", "Highest resident memory of this process.",
      MetricType::kGauge, usage.resident_bytes);
  const auto& keys = keys_.counters();
  for (const auto& [result, value] :
       {std::pair{"claimed", keys.claimed},
        std::pair{"replayed", keys.replayed},
        std::pair{"unknown", keys.unknown},
        std::pair{"mismatched", keys.mismatched},
        std::pair{"unavailable", keys.unavailable}}) {
    add("idempotency_claims_total", "Requests with an idempotency key.",
        MetricType::kCounter, value, {{"result", result}});
  }
  add("idempotency_released_total", "Claims deleted because nothing ran.",
      MetricType::kCounter, keys.released);
  add("idempotency_release_delayed_total",
      "Claims that could not be deleted at once.", MetricType::kCounter,
      keys.release_delayed);
  add("idempotency_swept_total", "Keys deleted after their retention time.",
      MetricType::kCounter, key_sweep_.swept());
  add("config_revision", "Installed configuration revision.",
      MetricType::kGauge, store_.revision().value());
  add("config_stale_total", "Dropped changes of a lower revision.",
      MetricType::kCounter, store_.counters().stale);
  add("owned_workers", "Workers owned by this node.", MetricType::kGauge,
      ownership_.owned().size());
  const auto& ownership = ownership_.counters();
  add("ownership_claims_total", "Claims sent to workers.", MetricType::kCounter,
      ownership.claims);
  add("ownership_claims_refused_total", "Claims that workers refused.",
      MetricType::kCounter, ownership.claims_refused);
  add("ownership_grants_total", "Claims granted by a worker without the table.",
      MetricType::kCounter, ownership.grants);
  add("ownership_row_conflicts_total", "Ownership writes that lost a race.",
      MetricType::kCounter, ownership.row_conflicts);
  add("table_reads_total", "Table reads by purpose.", MetricType::kCounter,
      ownership.reads, {{"purpose", "ownership"}});
  for (const auto& [purpose, writer] :
       {std::pair{"config", &config_writer_},
        std::pair{"ownership", &ownership_writer_},
        std::pair{"idempotency", &key_writer_}}) {
    const auto& counters = writer->counters();
    add("table_transactions_total", "Table transactions by purpose.",
        MetricType::kCounter, counters.transactions, {{"purpose", purpose}});
    add("table_changes_total", "Changes sent in transactions by purpose.",
        MetricType::kCounter, counters.changes, {{"purpose", purpose}});
    add("table_unknown_total", "Transactions whose reply was lost.",
        MetricType::kCounter, counters.unknown, {{"purpose", purpose}});
  }
  scheduling_.CollectSamples(samples);
}

}  // namespace mangospread::app
