/// @file
/// Managed nodes and the stand-in of their platform.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "integration/harness/http.hpp"
#include "integration/harness/process.hpp"

namespace mangospread::testing {

/// Counters of the workers' record.
struct SiteCounts {
  int starts = 0;
  int done = 0;
  int overlaps = 0;
  int repeats = 0;
  int overloads = 0;
  int lapses = 0;
  std::set<std::string> started;  ///< Ids of submissions of which a task ran.
};

/// The id of the submission with this number.
[[nodiscard]] std::string SubmissionIdOf(int submission);

/// Starts the stand-in and nodes "n1" to "n<nodes>".
class ManagedSite {
 public:
  ManagedSite(int nodes, int workers);

  /// Control address of the proxy between a node and the store.
  [[nodiscard]] Address store_link(std::size_t node) const {
    return store_links_[node]->address("control");
  }
  [[nodiscard]] Address site() const { return site_.address("http"); }

  /// Waits until every node reports itself ready.
  void AwaitReady();
  /// Starts a node anew that was killed.
  void Restart(std::size_t node);
  [[nodiscard]] Process& node(std::size_t index) { return *nodes_[index]; }
  [[nodiscard]] std::size_t nodes() const noexcept { return nodes_.size(); }
  [[nodiscard]] bool Ready(std::size_t node);

  /// A call for the submission with this number.
  Reply Call(std::size_t node, net::Method method, int submission,
             const std::string& body = "");
  /// Hands in `tasks` tasks of `task_ms`.
  Reply Submit(std::size_t node, int submission, int tasks, int task_ms);
  /// The state that a node shows; empty when it shows none.
  [[nodiscard]] std::string State(std::size_t node, int submission);

  void SetFaults(const std::string& faults);
  [[nodiscard]] SiteCounts Counts();
  [[nodiscard]] const std::string& directory() const { return logs_.path(); }

 private:
  [[nodiscard]] std::unique_ptr<Process> StartNode(std::size_t index);

  LogDirectory logs_;
  Process site_;
  std::vector<std::unique_ptr<Process>> store_links_;
  std::vector<std::unique_ptr<Process>> nodes_;
};

}  // namespace mangospread::testing
