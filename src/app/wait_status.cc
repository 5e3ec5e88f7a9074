#include "app/wait_status.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_writer.hpp"
#include "dispatch/metrics/figures.hpp"
#include "net/http_status.hpp"

namespace mangospread::app {
namespace {

using dispatch::Rejection;
using dispatch::Rejections;
using dispatch::WaitCounts;
using dispatch::WaitingTasks;
using dispatch::WaitReason;

/// Upper bounds of the buckets, as labels.
constexpr std::array<const char*, dispatch::kWaitAgeCount> kAgeLabels = {
    "1s", "5s", "15s", "inf"};
constexpr std::array<const char*, dispatch::kEffectBuckets> kEffectLabels = {
    "0.005", "0.02", "0.05", "inf"};

constexpr auto kGauge = api::MetricType::kGauge;

void AppendWaitCounts(const WaitCounts& counts,
                      std::vector<api::Sample>& samples) {
  for (std::size_t reason = 0; reason < counts.size(); ++reason) {
    const std::string name(
        dispatch::WaitReasonName(static_cast<WaitReason>(reason)));
    for (std::size_t age = 0; age < kAgeLabels.size(); ++age) {
      samples.push_back({"waiting_tasks",
                         "Tasks without a running process, by what they wait "
                         "for and upper bound of their waiting time",
                         kGauge,
                         static_cast<double>(counts[reason][age]),
                         {{"reason", name}, {"age", kAgeLabels[age]}}});
    }
  }
}

void AppendIdleCounts(const dispatch::IdleCounts& counts,
                      std::vector<api::Sample>& samples) {
  for (std::size_t reason = 0; reason < counts.size(); ++reason) {
    const std::string name(
        dispatch::WaitReasonName(static_cast<WaitReason>(reason)));
    samples.push_back({"idle_submissions",
                       "Submissions that have nothing running though a step is "
                       "ready, by what a task of them waits for",
                       kGauge,
                       static_cast<double>(counts[reason]),
                       {{"reason", name}}});
  }
}

/// True if a task waits for a worker.
bool WorkersAreMissing(const WaitCounts& counts) {
  for (std::size_t reason = 0; reason < counts.size(); ++reason) {
    if (!dispatch::WaitsForWorker(static_cast<WaitReason>(reason))) continue;
    for (const int tasks : counts[reason]) {
      if (tasks > 0) return true;
    }
  }
  return false;
}

nlohmann::json CountsToJson(const Rejections& rejections) {
  nlohmann::json counts = nlohmann::json::object();
  for (std::size_t i = 0; i < rejections.workers.size(); ++i) {
    if (rejections.workers[i] == 0) continue;
    const std::string name(dispatch::RejectionName(static_cast<Rejection>(i)));
    counts[name] = rejections.workers[i];
  }
  return counts;
}

nlohmann::json ToJson(const WaitingTasks& waiting) {
  nlohmann::json json = {
      {"task", ToString(waiting.task)},
      {"tasks", waiting.tasks},
      {"reason", dispatch::WaitReasonName(waiting.wait.reason)},
      {"waited_ms",
       std::chrono::duration_cast<Milliseconds>(waiting.wait.waited).count()},
      {"running", waiting.runs.running},
      {"paused", waiting.runs.paused}};
  if (waiting.capacity) {
    json["reserved"] = waiting.capacity->reserved;
    json["fits"] = waiting.capacity->fits;
  }
  if (!waiting.vm.empty()) {
    json["vm"] = waiting.vm.str();
    json["run"] = waiting.run;
  }
  if (waiting.lease) {
    json["lease_left_ms"] = waiting.lease->left.count();
    json["lease_evidence"] = waiting.lease->evidence;
  }
  if (waiting.rejections) {
    json["workers"] = CountsToJson(*waiting.rejections);
    const auto& image = waiting.rejections->image;
    if (!image.empty()) json["beside"] = image.str();
  }
  return json;
}

/// Rounds to whole units.
std::string Rounded(double value) {
  return std::to_string(std::llround(value));
}

/// What the submission has running, and how full its service is, as a sentence.
std::string Summarize(const std::vector<WaitingTasks>& waits) {
  const WaitingTasks& first = waits.front();
  const auto& runs = first.runs;
  std::string text;
  if (runs.idle) {
    const auto seconds = std::chrono::duration<double>(*runs.idle).count();
    text = "For " + Rounded(seconds) +
           " s nothing of it has been running though a step is ready";
  } else if (runs.running == 0) {
    text = "Nothing of it runs, and no step is ready";
  } else {
    text = std::to_string(runs.running) + " of its tasks run";
  }
  if (runs.paused > 0) text += "; " + std::to_string(runs.paused) + " paused";
  int fits = 0;
  for (const WaitingTasks& tasks : waits) {
    if (!tasks.capacity || WaitsAsPlanned(tasks.wait.reason)) continue;
    fits = std::max(fits, tasks.capacity->fits);
  }
  if (first.capacity) {
    constexpr double kPercent = 100;
    text += "; " + Rounded(first.capacity->reserved * kPercent) +
            "% of the processors of its service are reserved, and a task that "
            "is ready fits " +
            std::to_string(fits) + " times, headroom aside";
  }
  return text + ".";
}

net::Response MakeResponse(int status, const nlohmann::json& json) {
  net::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = base::DumpJson(json) + "\n";
  return response;
}

}  // namespace

void AppendWaitSamples(const dispatch::GroupLeader& leader, MonotonicTime now,
                       std::vector<api::Sample>& samples) {
  const WaitCounts counts = leader.CountWaiting(now);
  AppendWaitCounts(counts, samples);
  AppendIdleCounts(leader.idle_counts(), samples);
  dispatch::FreeProcessors free;
  if (WorkersAreMissing(counts)) {
    free = CountFreeProcessors(leader.dispatcher().registry(), now);
  }
  for (const auto& [kind, millicores] :
       {std::pair("reservable", free.reservable),
        std::pair("best_effort", free.best_effort)}) {
    samples.push_back({"free_millicores_while_waiting",
                       "Free processor time on workers that take tasks, while "
                       "tasks wait for a worker; else 0",
                       kGauge,
                       millicores,
                       {{"for", kind}}});
  }
  const auto effects = CountEffects(leader.dispatcher().interference());
  for (std::size_t i = 0; i < effects.size(); ++i) {
    samples.push_back({"learned_effects",
                       "Pairs of images by upper bound of the learned effect, "
                       "in utilisation per core",
                       kGauge,
                       static_cast<double>(effects[i]),
                       {{"below", kEffectLabels[i]}}});
  }
}

net::Response ExplainSubmission(
    const dispatch::GroupLeader* leader,
    const std::optional<dispatch::LeaderRecord>& known_leader,
    const std::string& id) {
  if (leader == nullptr) {
    const std::string name = known_leader ? known_leader->node.str() : "";
    return MakeResponse(net::status::kServiceUnavailable,
                        {{"error", "not the leader"}, {"leader", name}});
  }
  if (!leader->loaded()) {
    return MakeResponse(net::status::kServiceUnavailable,
                        {{"error", "submissions are being read"}});
  }
  const dispatch::SubmissionId submission(id);
  const auto state = leader->dispatcher().State(submission);
  if (!state) {
    return MakeResponse(net::status::kNotFound,
                        {{"error", "no such submission"}});
  }
  nlohmann::json waits = nlohmann::json::array();
  const auto waiting = leader->ExplainWaits(submission);
  for (const WaitingTasks& tasks : waiting) waits.push_back(ToJson(tasks));
  nlohmann::json answer = {{"submission", id},
                           {"state", StateName(*state)},
                           {"waits", std::move(waits)}};
  if (!waiting.empty()) answer["summary"] = Summarize(waiting);
  return MakeResponse(net::status::kOk, answer);
}

}  // namespace mangospread::app
