#include "scheduler/lifecycle/tasks/decision_log.hpp"

#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::scheduler {

void DecisionLog::Record(DecisionEntry entry) {
  std::string alternatives;
  for (const Alternative& other : entry.runners_up) {
    alternatives += (alternatives.empty() ? "" : ",") + other.vm.str() + ":" +
                    std::to_string(other.cost);
  }
  base::Log(entry.event, {{"subject", entry.subject},
                          {"vm", entry.vm.str()},
                          {"why", entry.reason},
                          {"cost", entry.cost},
                          {"runners_up", alternatives}});
  entry.time_ns = base::WallNanoseconds();
  entries_.push_back(std::move(entry));
  if (entries_.size() > capacity_) entries_.pop_front();
}

std::vector<DecisionEntry> DecisionLog::Find(const std::string& subject) const {
  std::vector<DecisionEntry> found;
  for (const DecisionEntry& entry : entries_) {
    if (entry.subject == subject) found.push_back(entry);
  }
  return found;
}

}  // namespace mangospread::scheduler
