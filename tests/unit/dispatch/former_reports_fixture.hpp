/// @file
/// A leader that takes over a task on a worker that does not respond.
#pragma once

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {

/// Age of a process whose predecessors' leases have all expired.
inline constexpr Milliseconds kOldProcess = std::chrono::hours(1);

/// The agent of the former leader has granted the last lease 1 s ago, and
/// reports a worker out of reach with no time left.
struct FormerReportsFixture : LeaderFixture {
  FormerReportsFixture() {
    numbers_attachments = true;
    placed.emplace(PlaceOnOneOfTwo());
    report.worker.vm = placed->run.vm;
    report.unreachable = true;
    report.lease_left = Milliseconds(0);
    report.runs_as_of = WorkerFence(3);
    last_grant_age = Milliseconds(1'000);
  }

  /// Ends the reports of an agent, which names these leases.
  void EndReportsWith(const char* agent, Milliseconds process_age,
                      std::vector<UnreportedLease> unreported = {}) {
    leader->OnReportsEnd(NodeId(agent), {process_age, std::move(unreported)});
  }

  std::optional<PlacedOnOne> placed;
  FormerLeaderRuns report;
};

}  // namespace mangospread::dispatch::test
