/// @file
/// Stand-ins for the platform's store and workers, and the nodes under test.
/// They follow PROTOCOL.md and DEPLOY.md of the users' pages.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace review {

using nlohmann::json;

/// Writes what was sent, answered and run to record.txt, with the time since
/// the start in seconds.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);
  [[nodiscard]] double Now() const;

 private:
  std::mutex mutex_;
  FILE* file_;
  Clock::time_point start_;
};

/// The metadata store.
class Store {
 public:
  explicit Store(Record& record);
  int Listen(const std::string& ip);
  /// Writes a row as the operator or a worker does. Returns false while the
  /// store is down.
  bool Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Answers of calls take this much longer.
  void SetDelay(Millis delay);
  /// While down, calls have no effect and get no answer, or a reset.
  void SetDown(bool down, bool resets = false);
  /// The operator's and the workers' rows can't be reached: calls for them get
  /// 503. The other parts of the store are well.
  void SetOperatorPartDown(bool down);
  /// The value of a row of the nodes' part, in base64; empty if there is none.
  std::string NodesRow(const std::string& table, const std::string& key);
  /// Removes registrations of workers that have been silent for this long.
  void SetPingTimeout(Millis timeout);
  /// True if a row of this table and key exists in any part.
  bool Contains(const std::string& table, const std::string& key);

 private:
  using RowId = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  ///< In base64.
    std::uint64_t version = 0;
    Clock::time_point written;
  };
  struct Change {
    RowId id;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };

  std::optional<Response> Handle(const Request& request);
  Response Transact(const json& body);
  Response Get(const std::map<std::string, std::string>& query);
  Response Feed(const std::map<std::string, std::string>& query);
  void Apply(const RowId& id, const std::string* value);
  void Expire();
  json NowMs() const;
  /// Waits while the store is down; then the call is dropped.
  bool DropIfDown();

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<RowId, Row> rows_;
  std::vector<Change> history_;
  std::uint64_t version_ = 0;
  Millis delay_{4};
  bool down_ = false;
  bool resets_ = false;
  bool operator_part_down_ = false;
  Millis ping_timeout_{0};
  Clock::time_point start_ = Clock::now();
  Server server_;  ///< Last, since its threads use the others.
};

struct WorkerOptions {
  std::string id;
  std::string ip = "127.0.0.1";
  std::string zone = "zone-a";
  std::string service = "shop";
  int cpu = 32'000;
  int memory = 128'000;
  std::vector<std::string> labels = {"a", "r1"};
  bool guards = true;
};

/// What the workers of a world have seen, under the mutex of the world.
struct Event {
  double at = 0;
  std::string worker;
  std::string what;  ///< "start", "stop" (an order), "end".
  std::string task;
  std::uint64_t run = 0;
  std::string detail;
};

struct TaskPlan {
  int cpu = 1'000;
  int memory = 1'000;
  Millis duration{1'000};
  bool lasts = false;
};

class World;

/// One worker process of the service.
class Worker {
 public:
  Worker(World& world, WorkerOptions options);
  void Start();
  /// The process ends at once and loses all its state.
  void Crash();
  /// A new process under the same id and address, maybe of another size.
  void Restart(int cpu);
  void SetUnhealthy(bool unhealthy) { unhealthy_ = unhealthy; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] const WorkerOptions& options() const { return options_; }
  /// Writes its registration; called each heartbeat.
  void Register();
  /// Ends runs that are done or whose lease has expired.
  void Advance();
  [[nodiscard]] int CpuInUse() const;
  [[nodiscard]] std::size_t Running() const { return runs_.size(); }

 private:
  struct Run {
    std::uint64_t number = 0;
    Clock::time_point started;
    TaskPlan plan;
  };
  std::optional<Response> Handle(const Request& request);
  Response Begin(const json& body);
  Response Stop(const json& body);
  std::optional<Response> Hold(const json& body,
                               std::unique_lock<std::mutex>& lock);
  Response Lists();
  void EndRun(const std::string& task, const char* how);
  std::int64_t ClockMs() const;
  Response Refuse(const char* reason) const;

  World& world_;
  WorkerOptions options_;
  int port_ = 0;
  std::atomic<bool> up_{false};
  std::atomic<bool> unhealthy_{false};
  std::int64_t born_ = 0;
  Clock::time_point clock_start_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_end_ = 0;
  std::uint64_t end_count_ = 0;
  std::uint64_t seq_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> highest_;
  std::vector<
      std::tuple<std::uint64_t, std::string, std::uint64_t, std::string>>
      ended_;
  Server server_;  ///< Last, since its threads use the others.
};

/// A node under test, run by the command of the deploy file.
struct NodeProcess {
  std::string name;
  std::string ip;
  std::string settings;
  pid_t pid = -1;
};

class World {
 public:
  /// @param folder the case's folder, for record.txt.
  World(const std::string& folder, int nodes);
  ~World();

  /// Publishes the configuration, starts everything and waits until all nodes
  /// are ready. Returns false if that takes too long.
  bool Start(const json& config);
  Worker& AddWorker(WorkerOptions options);
  /// Sends a consumer's request to a node and records it.
  Response Send(int node, const std::string& method, const std::string& target,
                const std::string& body, Millis timeout = Millis(3'000));
  void Sleep(Millis time) { std::this_thread::sleep_for(time); }

  Record record;
  Store store;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> events;
  /// How tasks behave, by submission and step ("ID.STEP").
  std::map<std::string, TaskPlan> plans;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<NodeProcess> nodes;
  std::string host = "shop.example";

  /// Adds an event; the mutex must be held.
  void Note(const std::string& worker, const std::string& what,
            const std::string& task, std::uint64_t run,
            const std::string& detail = {});
  TaskPlan PlanOf(const std::string& task) const;
  /// Index of the node that the row role/leader names; -1 if there is none.
  int Leader();
  /// Ends a node's process with SIGKILL.
  void Kill(int node);
  /// Starts a node again that was ended.
  bool Restart(int node);

 private:
  void Tick();
  bool StartNode(NodeProcess& node);
  void StopNodes();

  std::string temporary_;
  int front_port_ = 0;
  int ready_port_ = 0;
  std::atomic<bool> ending_{false};
  std::thread ticker_;
};

/// Body of a submission.
json Submission(const std::vector<json>& steps);

/// True unless the environment variable TROUBLE is "0".
bool WithTrouble();

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review
