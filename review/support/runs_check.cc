#include "runs_check.hpp"

#include <map>
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

}  // namespace review
