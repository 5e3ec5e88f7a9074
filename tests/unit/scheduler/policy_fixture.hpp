/// @file
/// Workers and tasks for tests of the scheduler's decisions.
#pragma once

#include <string>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

inline WorkerState MakeWorker(const std::string& vm, const std::string& rack) {
  WorkerState worker;
  worker.vm = VmName(vm);
  worker.data_center = DataCenter("dc1");
  worker.rack = RackName(rack);
  return worker;
}

/// A task of job "j" for an id "j/0".
inline TaskDemand MakeTask(const std::string& id) {
  TaskDemand task;
  task.id = TaskId(id);
  task.job = JobName(id.substr(0, id.find('/')));
  task.team = TeamName("team");
  task.task_class = TaskClass("batch");
  task.cpu = Millicores(1'000);
  task.memory = Mebibytes(1'000);
  task.run_time = Milliseconds(60'000);
  return task;
}

inline std::vector<PlaceDecision> PlaceDecisionsIn(
    const std::vector<Decision>& decisions) {
  std::vector<PlaceDecision> places;
  for (const Decision& decision : decisions) {
    if (const auto* place = std::get_if<PlaceDecision>(&decision)) {
      places.push_back(*place);
    }
  }
  return places;
}

}  // namespace mangospread::scheduler::policy
