/// @file
/// Stand-ins for the platform's workers, all in one process.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "host.hpp"
#include "net/http_server.hpp"

namespace mangospread::standin {

/// Events of all workers, for the checks of a test.
struct SiteRecord {
  int starts = 0;
  int done = 0;
  int overlaps = 0;   ///< Starts of a task that was already running.
  int repeats = 0;    ///< Starts of a task whose success was acknowledged.
  int overloads = 0;  ///< Starts that would have exceeded a worker's capacity.
  /// Runs that ended because the worker's lease expired.
  int expired_runs = 0;
  /// Number of current runs of each task.
  std::map<std::string, int> running;
  /// Tasks that ended as done and whose end a node has acknowledged.
  std::set<std::string> acknowledged_done;
  std::map<std::string, int> starts_by_worker;
  /// Submissions of which at least one task was started.
  std::set<std::string> started;
  /// Number of workers that each task has crashed.
  std::map<std::string, int> crashes;
};

/// What a worker does after a task has crashed it.
enum class AfterCrash : unsigned char {
  kSameId,  ///< It restarts under its id.
  kNewId,   ///< Another worker starts in its place.
};

/// Default of the number of tasks that a worker runs at most.
inline constexpr std::size_t kDefaultMaxRuns = 8;
/// Number of ends that a worker lists in a reply.
inline constexpr std::size_t kEndsPerReply = 500;

/// One worker. It runs each task for the number of milliseconds in its spec, or
/// for 200 ms if the spec has none; tasks with the spec "fail" end as failed,
/// and tasks with the spec "serve" run until they are stopped.
/// Tasks with the spec "crash" or "crash-new-id" crash the worker before it
/// replies to their start.
class SiteWorker {
 public:
  /// Called in a later event after a task has crashed the worker.
  using OnCrash = std::function<void(AfterCrash)>;

  /// @param max_runs number of tasks that it runs at most.
  SiteWorker(base::EventLoop& loop, std::string id, std::size_t max_runs,
             SiteRecord& record, OnCrash on_crash);

  /// @return the bound address; empty on failure.
  [[nodiscard]] std::string Listen();
  /// Simulates a crash and a restart without any state and at another address.
  /// Pending requests are lost.
  /// @param id id after the restart.
  /// @return the new address.
  std::string Crash(std::string id);
  /// Simulates the end of the worker's process without a restart.
  void End();
  /// Changes the number of tasks that it can run. It starts more if it is told
  /// to, and records that once the nodes must know of the change.
  void SetCapacity(std::size_t runs);
  /// Lists further rows as running that do not describe any of its runs.
  void ListAlso(const nlohmann::json& rows);
  /// State of the worker, for the analysis of a failed test.
  [[nodiscard]] nlohmann::json Describe() const;
  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
  /// True if the nodes must observe the present capacity.
  [[nodiscard]] bool CapacityKnown() const;

 private:
  struct Run {
    std::uint64_t number = 0;
    base::Timer end_timer;
    MonotonicTime start_time{0};
    MonotonicTime duration{0};  ///< 0 if it runs until it is stopped.
  };

  void Handle(const Exchange& exchange);
  void HandleStart(const Exchange& exchange, const nlohmann::json& body);
  void HandleStop(const Exchange& exchange, const nlohmann::json& body);
  void HandleRenewal(const Exchange& exchange, const nlohmann::json& body);
  void RespondToRenewals();
  void RespondToRenewal(const Exchange& exchange);
  /// Handles a task that crashes the worker. Returns false for other tasks.
  bool CrashBy(const std::string& task, const std::string& spec);
  void EndRun(const std::string& task, const char* end_kind);
  void UpdateLease(const nlohmann::json& body);
  /// Time of the monotonic clock in milliseconds.
  [[nodiscard]] std::uint64_t ClockMs() const;

  struct PendingRenewal {
    Exchange exchange;
    base::Timer timeout;
  };

  base::EventLoop& loop_;
  std::string id_;
  SiteRecord& record_;
  OnCrash on_crash_;
  base::Timer crash_timer_;
  std::unique_ptr<net::HttpServer> server_;
  /// Highest fencing token received; requests with a lower one are rejected.
  std::uint64_t fence_ = 0;
  std::uint64_t incarnation_;
  /// End of the lease in the time of ClockMs; 0 before the first lease.
  std::uint64_t lease_end_ms_ = 0;
  std::size_t max_runs_;
  std::size_t capacity_;
  MonotonicTime capacity_known_at_{0};  ///< By the nodes.
  std::uint64_t end_count_ = 0;
  /// Number of the last acknowledged end.
  std::uint64_t acknowledged_ = 0;
  std::map<std::string, Run> running_;
  /// JSON texts of further rows in the list of runs.
  std::vector<std::string> odd_rows_;
  /// Highest run number of each task; starts of this run or of older ones are
  /// rejected.
  std::map<std::string, std::uint64_t> max_run_;
  /// Number, task, run and kind of each end that is not yet acknowledged.
  std::vector<
      std::tuple<std::uint64_t, std::string, std::uint64_t, std::string>>
      ended_;
  std::list<PendingRenewal> pending_renewals_;
  base::Timer lease_timer_;
};

}  // namespace mangospread::standin
