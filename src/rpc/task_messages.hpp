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
  /// Epoch of the scheduler's role; an owner refuses a lower epoch than the
  /// highest that it has received.
  Epoch scheduler_epoch;
  VmName vm;
  TaskCommand command;
};

/// State of one worker as its owner reports it to the scheduler.
struct WorkerDigest {
  VmName vm;
  Epoch epoch;  ///< Ownership epoch of the worker.
  /// Age of the worker's last report.
  Milliseconds age{0};
  /// False when all fields below are unchanged since the last accepted digest;
  /// they are then not sent.
  bool full = true;
  std::string boot_id;
  std::string address;
  bool accepts_work = false;
  std::vector<TaskReport> tasks;
  std::vector<ServiceReport> services;
};

/// Report of a node on the workers that it owns.
struct NodeReport {
  NodeId node;
  /// Epoch of the scheduler to which the report is addressed. After this report
  /// the node refuses commands of a scheduler with a lower epoch.
  Epoch scheduler_epoch;
  std::vector<WorkerDigest> workers;
};

/// Reply to a NodeReport.
struct NodeReportReply {
  Epoch scheduler_epoch;
  /// False when the next report must contain full digests.
  bool accepted = false;
};

/// Reply of the scheduler's node to an operator's query.
struct QueryReply {
  int status = 0;    ///< HTTP status.
  std::string body;  ///< JSON document.
};

}  // namespace mangospread::rpc
