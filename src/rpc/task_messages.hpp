/// @file
/// Messages between the scheduler and the owners of workers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/worker.hpp"
#include "mangospread/units.hpp"

namespace mangospread::rpc {

/// A task command for a worker that the called node owns.
struct TaskCall {
  /// Epoch of the scheduler's role; an owner refuses a lower one than it
  /// knows.
  Epoch scheduler_epoch;
  VmName vm;
  TaskCommand command;
};

/// What an owner tells the scheduler of one worker.
struct WorkerDigest {
  VmName vm;
  Epoch epoch;
  /// Age of the worker's last report.
  Milliseconds age{0};
  /// False when all that follows is as in the last accepted digest.
  bool full = true;
  std::string boot_id;
  std::string address;
  bool accepts_work = false;
  std::vector<TaskReport> tasks;
  std::vector<ServiceReport> services;
};

struct NodeReport {
  NodeId node;
  /// The scheduler that the node addresses. From this report on it takes no
  /// commands from an earlier one.
  Epoch scheduler_epoch;
  std::vector<WorkerDigest> workers;
};

struct NodeReportReply {
  Epoch scheduler_epoch;
  /// False when the next report has to be full.
  bool accepted = false;
};

/// Answer of the scheduler's node to an operator's question.
struct QueryReply {
  int status = 0;  ///< HTTP status.
  std::string body;
};

}  // namespace mangospread::rpc
