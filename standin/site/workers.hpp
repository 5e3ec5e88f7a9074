/// @file
/// Stand-ins of the platform's workers, all in one process.
#pragma once

#include <cstdint>
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

/// What all workers saw, for the checks of a test.
struct SiteRecord {
  int starts = 0;
  int done = 0;
  int overlaps = 0;   ///< Starts of a task that ran on another worker.
  int repeats = 0;    ///< Starts of a task whose end as done was acknowledged.
  int overloads = 0;  ///< Starts that would exceed a worker's capacity.
  int lapses = 0;
  std::map<std::string, int> running;
  std::set<std::string> noted;
  std::set<std::string> started;  ///< Submissions of which a task ran.
};

/// One worker: runs tasks for as many milliseconds as their spec says; those
/// with the spec "fail" fail.
class SiteWorker {
 public:
  SiteWorker(base::EventLoop& loop, std::string id, SiteRecord& record);

  [[nodiscard]] std::string Listen();
  /// Ends as a crash does and starts again under the same id, knowing nothing,
  /// at another address. Requests of before are lost.
  /// @return the new address.
  std::string Crash();
  /// Its state for whoever looks at a failed test.
  [[nodiscard]] nlohmann::json Describe() const;
  [[nodiscard]] const std::string& id() const noexcept { return id_; }

 private:
  struct Run {
    std::uint64_t number = 0;
    base::Timer end;
    MonotonicTime begun{0};
    MonotonicTime length{0};
  };

  void Handle(const Exchange& exchange);
  void Start(const Exchange& exchange, const nlohmann::json& body);
  void Stop(const Exchange& exchange, const nlohmann::json& body);
  void Hold(const Exchange& exchange, const nlohmann::json& body);
  void AnswerHolds();
  void AnswerHold(const Exchange& exchange);
  void End(const std::string& task, const char* how);
  void ExtendLease(const nlohmann::json& body);
  [[nodiscard]] std::uint64_t Clock() const;

  struct Waiter {
    Exchange exchange;
    base::Timer timeout;
  };

  base::EventLoop& loop_;
  std::string id_;
  SiteRecord& record_;
  std::unique_ptr<net::HttpServer> server_;
  std::uint64_t fence_ = 0;
  std::uint64_t born_;
  std::uint64_t lease_until_ = 0;
  std::uint64_t ends_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint64_t> highest_;
  std::vector<
      std::tuple<std::uint64_t, std::string, std::uint64_t, std::string>>
      ended_;
  std::list<Waiter> holds_;
  base::Timer lease_timer_;
};

}  // namespace mangospread::standin
