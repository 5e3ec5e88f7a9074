#include "runs_check.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace review {
namespace {

std::string Describe(const RunEvent& run) {
  return run.task + " run " + std::to_string(run.run) + " on " + run.worker;
}

}  // namespace

bool CheckTwice(Deployment& deployment) {
  std::map<std::string, std::vector<RunEvent>> by_task;
  for (const RunEvent& run : deployment.runs().All()) {
    by_task[run.task].push_back(run);
  }
  int overlaps = 0;
  int repeats = 0;
  for (const auto& [task, runs] : by_task) {
    for (std::size_t i = 1; i < runs.size(); ++i) {
      for (std::size_t k = 0; k < i; ++k) {
        const RunEvent& earlier = runs[k];
        const RunEvent& later = runs[i];
        if (earlier.ended_ms == 0 || earlier.ended_ms > later.begun_ms) {
          ++overlaps;
          deployment.record().Add("broken: " + Describe(later) +
                                  " began beside " + Describe(earlier));
        } else if (earlier.how == "done" && earlier.acknowledged_ms > 0) {
          ++repeats;
          deployment.record().Add(
              "broken: " + Describe(later) + " began " +
              std::to_string(later.begun_ms - earlier.ended_ms) +
              " ms after the end (done) of " + Describe(earlier) +
              ", which was acknowledged");
        }
      }
    }
  }
  deployment.record().Add("tasks=" + std::to_string(by_task.size()) +
                          " overlaps=" + std::to_string(overlaps) +
                          " repeats=" + std::to_string(repeats));
  return overlaps + repeats > 0;
}

int CountStranded(Deployment& deployment, const std::vector<std::string>& ids) {
  constexpr int kStillMs = 3'000;
  const std::int64_t now = NowMs();
  int used = 0;
  int capacity = 0;
  for (std::size_t i = 0; i < deployment.workers(); ++i) {
    used += deployment.worker(i).cpu_used();
    capacity += deployment.worker(i).cpu();
  }
  std::map<std::string, std::set<std::string>> done;  // By submission.
  std::set<std::string> at_work;
  for (const RunEvent& run : deployment.runs().All()) {
    const std::string id = run.task.substr(0, run.task.find('.'));
    if (run.ended_ms == 0 || run.ended_ms > now - kStillMs) at_work.insert(id);
    const bool first_step = run.task.compare(id.size(), 5, ".0.0.") == 0;
    if (first_step && run.how == "done") done[id].insert(run.task);
  }
  int stranded = 0;
  for (const std::string& id : ids) {
    const auto count =
        static_cast<std::size_t>(deployment.StepsOf(id).front().count);
    if (done[id].size() >= count || at_work.contains(id)) continue;
    deployment.record().Add("broken: " + id + " was accepted, " +
                            std::to_string(done[id].size()) + " of its " +
                            std::to_string(count) +
                            " first tasks are done, and nothing of it runs");
    ++stranded;
  }
  deployment.record().Add(
      "capacity in use: " + std::to_string(used) + " of " +
      std::to_string(capacity) +
      "; submissions with nothing running: " + std::to_string(stranded));
  return used * 2 < capacity ? stranded : 0;
}

}  // namespace review
