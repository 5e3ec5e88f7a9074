/// @file
/// Stand-ins for the workers: they start, stop and list runs, hold leases, keep
/// the highest fence and register in the store.
#pragma once

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "record.hpp"
#include "store.hpp"

namespace review2 {

/// What a run does. The stand-in knows it from the submission's steps, as a
/// worker knows what its spec asks for.
struct TaskPlan {
  std::int64_t work_ms = 1'000;
  std::int64_t cpu = 1'000;  ///< In thousandths of a core.
  bool lasts = false;        ///< Ends only when it is stopped.
  bool checkpoints = false;
  bool fails = false;
  int gang = 0;  ///< Number of members; 0 without a gang.
};

/// One run that a worker has begun.
struct StartedRun {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::set<std::string> labels;  ///< Of the worker, when it began.
  std::int64_t started_at = 0;
  std::int64_t ended_at = -1;  ///< -1 while it runs.
  std::string how;             ///< "crashed" if its worker's process ended.
  std::int64_t noted_at = -1;  ///< When acked-upto reached its end.
};

inline std::string SubmissionOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}
/// ID.K.STEP without the index.
inline std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

class Fleet {
 public:
  static constexpr std::int64_t kHeartbeatMs = 1'100;
  static constexpr std::int64_t kLongestLeaseMs = 10'000;
  static constexpr std::int64_t kStopMs = 50;
  static constexpr std::int64_t kCheckpointMs = 500;
  static constexpr std::int64_t kGangTimeoutMs = 3'000;

  Fleet(Store& store, Record& record, std::string service)
      : store_(store), record_(record), service_(std::move(service)) {
    ticker_ = std::thread([this] {
      while (!stopped_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        Tick();
      }
    });
  }
  ~Fleet() {
    stopped_ = true;
    ticker_.join();
  }

  /// Ends all workers. The handlers in progress return soon.
  void Stop() {
    const std::lock_guard lock(mutex_);
    for (auto& [id, worker] : workers_) {
      worker->up = false;
      worker->expires_at = 0;
      ++worker->life;
      if (worker->server) worker->server->Close();
    }
    changed_.notify_all();
  }

  /// Tells the workers what the tasks of a submission do, one plan for each
  /// step.
  void Describe(const std::string& submission, std::vector<TaskPlan> steps) {
    const std::lock_guard lock(mutex_);
    plans_[submission] = std::move(steps);
  }

  void Add(const std::string& id, const std::string& rack,
           std::set<std::string> kinds, std::int64_t cpu = 32'000) {
    auto worker = std::make_unique<Worker>();
    worker->id = id;
    worker->rack = rack;
    worker->kinds = std::move(kinds);
    worker->cpu = cpu;
    worker->address = "127.0.0.1:" + std::to_string(FreePort("127.0.0.1"));
    const std::lock_guard lock(mutex_);
    Worker& added = *workers_.emplace(id, std::move(worker)).first->second;
    Begin(added);
    Register(added);
  }

  /// Ends the process of a worker: everything that it runs ends with it.
  void Crash(const std::string& id) {
    std::unique_ptr<Server> server;
    const std::lock_guard lock(mutex_);
    Worker& worker = *workers_.at(id);
    worker.up = false;
    ++worker.life;
    server = std::move(worker.server);
    if (server) server->Close();
    for (auto& run : worker.running) CloseLog(run, "crashed");
    worker.running.clear();
    worker.ended.clear();
    worker.expires_at = NowMs() + 3 * kHeartbeatMs;
    record_.Add("worker " + id + " crashes");
    changed_.notify_all();
  }

  /// Starts a worker again under its id and at its address. It knows nothing of
  /// before, and registers at once, or as soon as the store takes it.
  void Restart(const std::string& id) {
    const std::lock_guard lock(mutex_);
    Worker& worker = *workers_.at(id);
    Begin(worker);
    Register(worker);
  }
  /// The same as a worker of another kind.
  void RestartAs(const std::string& id, std::set<std::string> kinds) {
    const std::lock_guard lock(mutex_);
    Worker& worker = *workers_.at(id);
    worker.kinds = std::move(kinds);
    Begin(worker);
    Register(worker);
  }

  /// From now on a share of the starts is left unanswered and carried out 2 to
  /// 12 s later; 0 ends that.
  void SetLateShare(double share) {
    const std::lock_guard lock(mutex_);
    late_share_ = share;
  }
  /// Highest fence that a worker has seen.
  [[nodiscard]] std::uint64_t FenceOf(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return workers_.at(id)->fence;
  }

  [[nodiscard]] std::vector<StartedRun> Log() const {
    const std::lock_guard lock(mutex_);
    return log_;
  }
  /// Worker of a run of the submission that is at work for at least `age_ms`;
  /// empty if there is none.
  [[nodiscard]] std::string WorkerOf(const std::string& submission,
                                     std::int64_t age_ms) const {
    const std::lock_guard lock(mutex_);
    for (const StartedRun& run : log_) {
      if (run.ended_at < 0 && SubmissionOf(run.task) == submission &&
          NowMs() - run.started_at >= age_ms) {
        return run.worker;
      }
    }
    return "";
  }
  /// Writes all runs to the record.
  void RecordRuns() {
    for (const StartedRun& run : Log()) {
      std::string labels;
      for (const auto& label : run.labels) labels += " " + label;
      record_.Add("run of " + run.task + " number " + std::to_string(run.run) +
                  " on " + run.worker + " (" + labels + " ) from " +
                  std::to_string(run.started_at) + " to " +
                  std::to_string(run.ended_at) + " " + run.how);
    }
  }

 private:
  struct Run {
    std::string task;
    std::uint64_t run = 0;
    TaskPlan plan;
    std::int64_t started_at = 0;
    std::int64_t saved_ms = 0;  ///< Work of the checkpoint that it began with.
    std::int64_t works_from = 0;  ///< 0 while a gang is incomplete.
    std::int64_t stops_at = 0;    ///< 0 unless it was told to stop.
    std::size_t log = 0;
  };
  struct End {
    std::uint64_t number = 0;
    json row;
    std::size_t log = 0;
  };
  struct Worker {
    std::string id;
    std::string rack;
    std::string address;
    std::set<std::string> kinds;
    std::int64_t cpu = 0;
    bool up = false;
    int life = 0;
    std::int64_t born = 0;
    std::int64_t clock_base = 0;
    std::uint64_t fence = 0;
    std::int64_t lease_until = 0;  ///< On its own clock.
    std::vector<Run> running;
    std::deque<End> ended;
    std::uint64_t last_end = 0;
    std::map<std::string, std::uint64_t> closed;  ///< Highest run that ended.
    std::unique_ptr<Server> server;
    std::int64_t next_beat = 0;
    std::int64_t expires_at = 0;  ///< When its entry is dropped; 0 if never.
    std::uint64_t seq = 0;

    [[nodiscard]] std::int64_t Clock() const { return NowMs() - clock_base; }
  };

  void Begin(Worker& worker) {
    worker.up = true;
    worker.born = UnixMs();
    worker.clock_base = NowMs() - 1'000;
    worker.fence = 0;
    worker.lease_until = 0;
    worker.last_end = 0;
    worker.closed.clear();
    worker.next_beat = NowMs() + kHeartbeatMs;
    worker.expires_at = 0;
    worker.seq = 0;
    worker.server = std::make_unique<Server>(
        worker.address, [this, id = worker.id, life = worker.life](
                            const Request& r) { return Handle(id, life, r); });
    std::string kinds;
    for (const auto& kind : worker.kinds) kinds += " " + kind;
    record_.Add("worker " + worker.id + " starts, kind" + kinds);
  }

  void Register(Worker& worker) {
    constexpr std::int64_t kRetryMs = 100;
    if (store_.down()) {
      worker.next_beat = NowMs() + kRetryMs;
      return;
    }
    json labels = json::array();
    for (const auto& kind : worker.kinds) labels.push_back(kind);
    labels.push_back(worker.rack);
    store_.Put("servers", worker.id,
               json{{"service", service_},
                    {"addr", worker.address},
                    {"zone", "z-a"},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold-left-ms", 0},
                    {"seq", ++worker.seq},
                    {"born", worker.born},
                    {"capacity",
                     {{"cpu", worker.cpu}, {"mem-mb", 128'000}, {"gpu", 0}}},
                    {"labels", labels}}
                   .dump());
  }

  static std::string Checkpoint(const Run& run) {
    if (!run.plan.checkpoints) return "";
    const std::int64_t work = Work(run) / kCheckpointMs * kCheckpointMs;
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(work));
    return work > 0 ? text : "";
  }
  static std::int64_t Work(const Run& run) {
    return run.saved_ms + (run.works_from > 0 ? NowMs() - run.works_from : 0);
  }

  void CloseLog(const Run& run, const std::string& how) {
    log_[run.log].ended_at = NowMs();
    log_[run.log].how = how;
  }

  /// Ends run `index` of a worker and lists its end.
  void EndRun(Worker& worker, std::size_t index, const std::string& how) {
    const Run run = worker.running[index];
    worker.running.erase(worker.running.begin() +
                         static_cast<std::ptrdiff_t>(index));
    auto& closed = worker.closed[run.task];
    closed = std::max(closed, run.run);
    worker.ended.push_back(
        {++worker.last_end, json::array({worker.last_end, run.task, run.run,
                                         how, Checkpoint(run)})});
    CloseLog(run, how);
    changed_.notify_all();
  }

  void Tick() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = NowMs();
    for (auto& [id, worker] : workers_) {
      if (worker->up && now >= worker->next_beat) {
        worker->next_beat = now + kHeartbeatMs;
        Register(*worker);
      }
      if (!worker->up && worker->expires_at > 0 && now >= worker->expires_at) {
        worker->expires_at = 0;
        store_.Remove("servers", id);
      }
      if (!worker->up) continue;
      if (worker->Clock() > worker->lease_until) {
        while (!worker->running.empty()) EndRun(*worker, 0, "lapsed");
      }
      for (std::size_t i = 0; i < worker->running.size();) {
        const Run& run = worker->running[i];
        if (run.stops_at > 0 && now >= run.stops_at) {
          EndRun(*worker, i, "stopped");
        } else if (!run.plan.lasts && Work(run) >= run.plan.work_ms &&
                   run.works_from > 0 && run.plan.gang == 0) {
          EndRun(*worker, i, run.plan.fails ? "failed" : "done");
        } else {
          ++i;
        }
      }
    }
    TickGangs(now);
  }

  /// Members of a gang work once all are present, end done together, and end
  /// when another one has ended.
  void TickGangs(std::int64_t now) {
    struct Gang {
      std::vector<std::pair<Worker*, std::string>> members;
      int size = 0;
      std::int64_t first = 0;
      bool working = false;
      bool done = false;
    };
    std::map<std::pair<std::string, std::uint64_t>, Gang> gangs;
    for (auto& [id, worker] : workers_) {
      if (!worker->up) continue;
      for (Run& run : worker->running) {
        if (run.plan.gang == 0) continue;
        Gang& gang = gangs[{StepOf(run.task), run.run}];
        gang.members.emplace_back(worker.get(), run.task);
        gang.size = run.plan.gang;
        gang.first = gang.first == 0 ? run.started_at
                                     : std::min(gang.first, run.started_at);
        gang.working = gang.working || run.works_from > 0;
        gang.done = gang.done || (run.works_from > 0 && !run.plan.lasts &&
                                  Work(run) >= run.plan.work_ms);
      }
    }
    for (auto& [name, gang] : gangs) {
      const bool complete = static_cast<int>(gang.members.size()) == gang.size;
      std::string how;
      if (complete && gang.done) how = "done";
      if (!complete && gang.working) how = "broken";
      if (!complete && !gang.working && now - gang.first >= kGangTimeoutMs) {
        how = "alone";
      }
      for (auto& [worker, task] : gang.members) {
        for (std::size_t i = 0; i < worker->running.size(); ++i) {
          Run& run = worker->running[i];
          if (run.task != task || run.run != name.second) continue;
          if (!how.empty()) {
            EndRun(*worker, i, how);
            break;
          }
          if (complete && run.works_from == 0) run.works_from = now;
        }
      }
    }
  }

  Reply Handle(const std::string& id, int life, const Request& request) {
    std::unique_lock lock(mutex_);
    Worker& worker = *workers_.at(id);
    if (!worker.up || worker.life != life) return {};
    if (request.Path() == "/health") return {200, "{}"};
    const std::string expected = request.Header("expect-instance");
    if (!expected.empty() && expected != id) return Answer(worker, 421, {});
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return Answer(worker, 400, {});
    const std::string path = request.Path();
    const bool late =
        path == "/mangospread/run-start" && late_share_ > 0 &&
        std::uniform_real_distribution<double>()(random_) < late_share_;
    if (late && !WaitLate(worker, life, lock)) return {};
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (fence < worker.fence) return Answer(worker, 409, "fence");
    worker.fence = fence;
    if (path == "/mangospread/run-start") {
      const Reply reply = Start(worker, body);
      return late ? Reply() : reply;
    }
    if (path == "/mangospread/run-stop") return Stop(worker, body);
    if (path == "/mangospread/pace") return Answer(worker, 200, {});
    if (path != "/mangospread/hold") return Answer(worker, 400, {});
    return Hold(worker, life, body, lock);
  }

  /// Waits before an order is carried out late. Returns false if the worker's
  /// process has ended meanwhile.
  bool WaitLate(const Worker& worker, int life,
                std::unique_lock<std::mutex>& lock) {
    const std::int64_t until =
        NowMs() + std::uniform_int_distribution<int>(2'000, 12'000)(random_);
    while (worker.life == life && NowMs() < until) {
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      lock.lock();
    }
    return worker.life == life;
  }

  static Reply Answer(const Worker& worker, int status,
                      const std::string& reason) {
    json body = {{"clock-ms", worker.Clock()}, {"born", worker.born}};
    if (!reason.empty()) body["reason"] = reason;
    return {status, body.dump()};
  }

  static void Extend(Worker& worker, const json& body) {
    const std::int64_t until = body.value("deadline-ms", std::int64_t{0});
    worker.lease_until = std::max(
        worker.lease_until, std::min(until, worker.Clock() + kLongestLeaseMs));
  }

  Reply Start(Worker& worker, const json& body) {
    const std::string task = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t{0});
    for (const Run& run : worker.running) {
      if (run.task == task && run.run == number) return Answer(worker, 200, {});
    }
    if (body.value("deadline-ms", std::int64_t{0}) <= worker.Clock()) {
      return Answer(worker, 409, "late");
    }
    Extend(worker, body);
    const auto closed = worker.closed.find(task);
    if (closed != worker.closed.end() && number <= closed->second) {
      return Answer(worker, 409, "old");
    }
    const std::vector<TaskPlan>& steps = plans_[SubmissionOf(task)];
    const std::size_t step =
        std::stoul(StepOf(task).substr(StepOf(task).rfind('.') + 1));
    Run run;
    run.task = task;
    run.run = number;
    if (step < steps.size()) run.plan = steps[step];
    std::int64_t used = run.plan.cpu;
    for (const Run& other : worker.running) used += other.plan.cpu;
    if (used > worker.cpu) return Answer(worker, 409, "room");
    run.started_at = NowMs();
    const std::string saved = body.value("checkpointed", "");
    if (!saved.empty()) run.saved_ms = std::stoll(saved, nullptr, 16);
    if (run.plan.gang == 0) run.works_from = NowMs();
    run.log = log_.size();
    log_.push_back(
        {task, number, worker.id, worker.kinds, NowMs(), -1, "", -1});
    worker.running.push_back(std::move(run));
    return Answer(worker, 200, {});
  }

  Reply Stop(Worker& worker, const json& body) {
    const std::string task = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t{0});
    auto& closed = worker.closed[task];
    closed = std::max(closed, number);
    for (Run& run : worker.running) {
      if (run.task == task && run.run == number && run.stops_at == 0) {
        run.stops_at = NowMs() + kStopMs;
      }
    }
    return Answer(worker, 200, {});
  }

  Reply Hold(Worker& worker, int life, const json& body,
             std::unique_lock<std::mutex>& lock) {
    Extend(worker, body);
    const std::uint64_t acked = body.value("acked-upto", std::uint64_t{0});
    while (!worker.ended.empty() && worker.ended.front().number <= acked) {
      log_[worker.ended.front().log].noted_at = NowMs();
      worker.ended.pop_front();
    }
    const int wait = std::min(body.value("wait-ms", 0), 2'000);
    const std::uint64_t before = worker.last_end;
    if (worker.ended.empty()) {
      changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] {
        return worker.life != life || worker.last_end > before;
      });
    }
    if (worker.life != life) return {};
    json running = json::array();
    for (const Run& run : worker.running) {
      const std::int64_t percent =
          run.plan.lasts
              ? (NowMs() - run.started_at >= 300 ? 100 : 10)
              : std::min<std::int64_t>(99, 100 * Work(run) / run.plan.work_ms);
      running.push_back(json::array(
          {run.task, run.run, Checkpoint(run), percent, run.plan.cpu}));
    }
    json ended = json::array();
    for (const End& end : worker.ended) {
      if (ended.size() == 500) break;
      ended.push_back(end.row);
    }
    return {200, json{{"clock-ms", worker.Clock()},
                      {"born", worker.born},
                      {"running", running},
                      {"ended", ended}}
                     .dump()};
  }

  Store& store_;
  Record& record_;
  std::string service_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::vector<TaskPlan>> plans_;
  std::vector<StartedRun> log_;
  double late_share_ = 0;
  std::mt19937 random_{11};
  std::atomic<bool> stopped_{false};
  std::thread ticker_;
};

}  // namespace review2
