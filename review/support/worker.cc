#include "worker.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
/// Longest lease that a worker grants.
constexpr std::int64_t kHoldLimitMs = 10'000;
/// Longest time for which a response waits for an end.
constexpr std::int64_t kMaxWaitMs = 2'000;
/// Ends in one response.
constexpr std::size_t kEndsPerResponse = 500;
constexpr std::chrono::milliseconds kLoopPeriod(5);

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Worker::Worker(WorkerOptions options, Demand demand, RunLog& runs,
               Record& record)
    : options_(std::move(options)),
      demand_(std::move(demand)),
      log_(runs),
      record_(record),
      born_(UnixMs()),
      born_steady_(NowMs()),
      server_([this](const Request& request) { return Handle(request); }) {
  server_.Start(0);
  loop_ = std::thread([this] { Loop(); });
}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
    up_ = false;
    changed_.notify_all();
  }
  loop_.join();
  server_.Stop();
}

std::string Worker::Entry() const {
  return json{
      {"service", "batch"},
      {"addr", "127.0.0.1:" + std::to_string(server_.port())},
      {"zone", "dc"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold-left-ms", 0},
      {"capacity",
       {{"cpu", options_.cpu}, {"mem-mb", options_.memory_mb}, {"gpu", 0}}},
      {"labels", json::array({"a", options_.rack})},
      {"born", born_},
      {"seq", 1}}
      .dump();
}

std::size_t Worker::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

int Worker::cpu_used() const {
  const std::lock_guard lock(mutex_);
  int used = 0;
  for (const auto& [task, run] : running_) used += run.demand.cpu;
  return used;
}

std::size_t Worker::unacknowledged() const {
  const std::lock_guard lock(mutex_);
  return ended_.size();
}

void Worker::SetCut(bool cut) {
  record_.Add("worker " + options_.id + (cut ? " is cut off" : " is back"));
  server_.SetCut(cut);
}

void Worker::Loop() {
  std::unique_lock lock(mutex_);
  while (!ending_) {
    const std::int64_t now = NowMs();
    std::vector<std::string> done;
    for (const auto& [task, run] : running_) {
      const int duration = run.demand.duration_ms;
      if (duration > 0 && now - run.begun_ms >= duration) done.push_back(task);
    }
    for (const std::string& task : done) {
      EndRun(task, running_.at(task).demand.fails ? "failed" : "done");
    }
    if (ClockMs() > deadline_ms_ && !running_.empty()) {
      record_.Add("worker " + options_.id + ": the lease lapses");
      while (!running_.empty()) {
        EndRun(std::string(running_.begin()->first), "lapsed");
      }
    }
    changed_.wait_for(lock, kLoopPeriod, [this] { return ending_; });
  }
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const auto it = running_.find(task);
  const Run run = it->second;
  running_.erase(it);
  highest_ended_run_[task] = std::max(highest_ended_run_[task], run.number);
  ended_.push_back({++ends_, task, run.number, how, run.log_index});
  log_.Change(run.log_index, [&how](RunEvent& event) {
    event.ended_ms = NowMs();
    event.how = how;
  });
  record_.Add("end " + task + " run " + std::to_string(run.number) + " " + how +
              " on " + options_.id);
  changed_.notify_all();
}

Response Worker::Lists() {
  constexpr std::int64_t kFull = 100;
  json running = json::array();
  const std::int64_t now = NowMs();
  for (const auto& [task, run] : running_) {
    const std::int64_t percent =
        run.demand.duration_ms == 0
            ? kFull
            : std::min<std::int64_t>(kFull - 1, (now - run.begun_ms) * kFull /
                                                    run.demand.duration_ms);
    running.push_back(
        json::array({task, run.number, "", percent,
                     run.demand.duration_ms == 0 ? 1 : run.demand.cpu}));
  }
  json ended = json::array();
  for (std::size_t i = 0; i < ended_.size() && i < kEndsPerResponse; ++i) {
    const End& end = ended_[i];
    ended.push_back(json::array({end.number, end.task, end.run, end.how, ""}));
    log_.Change(end.log_index, [now](RunEvent& event) {
      if (event.listed_ms == 0) event.listed_ms = now;
    });
  }
  return {kOk, json{{"clock-ms", ClockMs()},
                    {"born", born_},
                    {"running", running},
                    {"ended", ended}}
                   .dump()};
}

std::optional<Response> Worker::Handle(const Request& request) {
  const auto instance = request.headers.find("expect-instance");
  if (instance != request.headers.end() && instance->second != options_.id) {
    return Response{kMisdirected, "{}"};
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return Response{kBadRequest, "{}"};
  std::unique_lock lock(mutex_);
  if (!up_) return std::nullopt;
  const auto refuse = [this](const char* reason) {
    return Response{kConflict,
                    json{{"clock-ms", ClockMs()}, {"reason", reason}}.dump()};
  };
  const auto fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return refuse("fence");
  fence_ = fence;
  const std::int64_t limit = ClockMs() + kHoldLimitMs;
  const auto deadline = body.value("deadline-ms", std::int64_t{0});
  const Response done{kOk, json{{"clock-ms", ClockMs()}}.dump()};
  if (request.target == "/mangospread/run-start") {
    if (deadline < ClockMs()) return refuse("late");
    deadline_ms_ = std::max(deadline_ms_, std::min(deadline, limit));
    const std::string task = body.at("task");
    const auto run = body.at("run").get<std::uint64_t>();
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.number >= run) {
      return present->second.number == run ? done : refuse("old");
    }
    const auto ended = highest_ended_run_.find(task);
    if (ended != highest_ended_run_.end() && run <= ended->second) {
      return refuse("old");
    }
    const TaskDemand demand = demand_(task);
    int cpu = demand.cpu;
    int memory = demand.memory_mb;
    for (const auto& [name, other] : running_) {
      cpu += other.demand.cpu;
      memory += other.demand.memory_mb;
    }
    if (cpu > options_.cpu || memory > options_.memory_mb) {
      return refuse("room");
    }
    const std::string spec = body.value("spec", "");
    const std::size_t index =
        log_.Begin({options_.id, task, run, spec, NowMs(), 0, "", 0, 0});
    running_[task] = {run, index, demand, NowMs()};
    record_.Add("start " + task + " run " + std::to_string(run) + " on " +
                options_.id + " spec " + json(spec).dump());
    return done;
  }
  if (request.target == "/mangospread/run-stop") {
    const std::string task = body.at("task");
    const auto run = body.at("run").get<std::uint64_t>();
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.number == run) {
      EndRun(task, "stopped");
    }
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
    return done;
  }
  if (request.target == "/mangospread/pace") return done;
  if (request.target != "/mangospread/hold") return Response{kNotFound, "{}"};
  deadline_ms_ = std::max(deadline_ms_, std::min(deadline, limit));
  const auto acknowledged = body.value("acked-upto", std::uint64_t{0});
  std::erase_if(ended_, [&](const End& end) {
    if (end.number > acknowledged) return false;
    log_.Change(end.log_index,
                [](RunEvent& event) { event.acknowledged_ms = NowMs(); });
    return true;
  });
  const std::int64_t wait =
      std::min(body.value("wait-ms", std::int64_t{0}), kMaxWaitMs);
  changed_.wait_for(lock, std::chrono::milliseconds(wait),
                    [this] { return !up_ || !ended_.empty(); });
  if (!up_) return std::nullopt;
  return Lists();
}

}  // namespace review
