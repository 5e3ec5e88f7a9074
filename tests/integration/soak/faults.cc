#include "integration/soak/faults.hpp"

#include <signal.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace mangospread::testing {
namespace {

using nlohmann::json;

/// A node that receives SIGTERM must exit by itself within this time, which
/// covers its grace period.
constexpr Milliseconds kStopTimeout{8'000};
/// The check of a stopped node waits at least this long for its exit.
constexpr Milliseconds kMinStopWait{1'000};
constexpr Milliseconds kPollInterval{10};
/// A starved node is paused and runs by turns.
constexpr Milliseconds kStarvedPause{80};
constexpr Milliseconds kStarvedRun{20};

}  // namespace

FaultInjector::FaultInjector(ManagedCluster& cluster, Callers& callers,
                             int workers, std::uint64_t seed,
                             FaultLimits limits)
    : cluster_(cluster),
      callers_(callers),
      worker_count_(workers),
      random_(seed),
      limits_(limits),
      is_down_(cluster.nodes(), false),
      paused_until_(cluster.nodes()) {}

int FaultInjector::Draw(int lower, int upper) {
  return std::uniform_int_distribution<int>(lower, upper)(random_);
}

std::size_t FaultInjector::DrawNode() {
  return static_cast<std::size_t>(
      Draw(0, static_cast<int>(cluster_.nodes()) - 1));
}

Milliseconds FaultInjector::DrawDuration(Milliseconds lower,
                                         Milliseconds upper) {
  return Milliseconds(
      Draw(static_cast<int>(lower.count()), static_cast<int>(upper.count())));
}

void FaultInjector::LogFault(const std::string& description) {
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start_time_);
  log_.push_back(std::to_string(elapsed.count()) + " ms " + description);
}

void FaultInjector::Schedule(Milliseconds delay, std::function<void()> action) {
  scheduled_actions_.emplace(Clock::now() + delay, std::move(action));
}

void FaultInjector::RunScheduled(bool all) {
  while (!scheduled_actions_.empty() &&
         (all || scheduled_actions_.begin()->first <= Clock::now())) {
    const auto action = std::move(scheduled_actions_.begin()->second);
    scheduled_actions_.erase(scheduled_actions_.begin());
    action();
  }
}

void FaultInjector::Run(Milliseconds duration) {
  const auto deadline = Clock::now() + duration;
  auto next_fault = Clock::now();
  while (Clock::now() < deadline) {
    RunScheduled(false);
    if (Clock::now() >= next_fault) {
      InjectFault();
      next_fault = Clock::now() + Milliseconds(Draw(100, 900));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void FaultInjector::EndFaults() {
  ending_ = true;
  RunScheduled(true);
  cluster_.SetTableFaults("{}");
  for (std::size_t i = 0; i < cluster_.nodes(); ++i) {
    Post(cluster_.table_proxy(i), "/standin/faults", "{}");
    Post(cluster_.table_proxy(i), "/standin/cut", "");
    cluster_.node(i).Resume();
    if (is_down_[i]) RestartIfDown(i);
  }
  for (int worker = 0; worker < worker_count_; ++worker) {
    Post(
        cluster_.platform_address(), "/standin/worker",
        json{{"worker", worker}, {"what", "faults"}, {"faults", json::object()}}
            .dump());
    Post(cluster_.platform_address(), "/standin/worker",
         json{{"worker", worker}, {"what", "ready"}}.dump());
  }
}

void FaultInjector::InjectFault() {
  const int choice = Draw(0, 99);
  const int stall = limits_.stalls ? Draw(0, 5) : 5;
  if (stall <= 1) return PauseNodes();
  if (stall <= 3) return SilenceWorkers();
  if (choice < 28) {
    InjectNodeFault();
  } else if (choice < 50) {
    InjectTableConnectionFault();
  } else if (choice < 62) {
    InjectTableFault();
  } else if (choice < 86) {
    InjectWorkerFault();
  } else if (choice < 96) {
    PublishConfiguration();
  } else {
    KillAllNodes();
  }
}

void FaultInjector::InjectNodeFault() {
  const std::size_t node = DrawNode();
  if (is_down_[node]) return;
  const std::string name = "n" + std::to_string(node + 1);
  switch (Draw(0, 3)) {
    case 0:
      LogFault("kill " + name);
      cluster_.node(node).Kill();
      return ScheduleRestart(node, Milliseconds(Draw(0, 1'500)));
    case 1:
      return PauseNode(node,
                       DrawDuration(Milliseconds(200), limits_.node_pause));
    case 2:
      LogFault("stop " + name);
      return StopNode(node);
    default:
      LogFault("reload " + name);
      kill(cluster_.node(node).pid(), SIGHUP);
  }
}

void FaultInjector::PauseNodes() {
  std::size_t first = DrawNode();
  if (Draw(0, 1) == 0) first = FindLeader().value_or(first);
  const Milliseconds duration =
      DrawDuration(Milliseconds(500), limits_.node_pause);
  if (Draw(0, 2) == 0) {
    LogFault("starve n" + std::to_string(first + 1) + " for " +
             std::to_string(duration.count()));
    return StarveNode(first, Clock::now() + duration);
  }
  PauseNode(first, duration);
  const std::size_t second = DrawNode();
  if (second != first) PauseNode(second, duration);
}

void FaultInjector::PauseNode(std::size_t node, Milliseconds duration) {
  if (is_down_[node]) return;
  paused_until_[node] = std::max(paused_until_[node], Clock::now() + duration);
  LogFault("pause n" + std::to_string(node + 1) + " for " +
           std::to_string(duration.count()));
  cluster_.node(node).Pause();
  Schedule(duration, [this, node] {
    if (!is_down_[node]) cluster_.node(node).Resume();
  });
}

std::optional<std::size_t> FaultInjector::FindLeader() {
  for (std::size_t node = 0; node < cluster_.nodes(); ++node) {
    const bool responds = !is_down_[node] && paused_until_[node] < Clock::now();
    if (responds && cluster_.IsLeading(node)) return node;
  }
  return std::nullopt;
}

void FaultInjector::SilenceWorkers() {
  const auto duration = DrawDuration(Milliseconds(500), limits_.worker_fault);
  for (int count = Draw(1, 3); count > 0; --count) {
    const int worker = Draw(0, worker_count_ - 1);
    LogFault("silence w" + std::to_string(worker + 1) + " for " +
             std::to_string(duration.count()));
    const auto index = static_cast<std::size_t>(worker);
    cluster_.SilenceWorker(index, true);
    Schedule(duration, [this, index] { cluster_.SilenceWorker(index, false); });
  }
}

void FaultInjector::StarveNode(std::size_t node, Clock::time_point until) {
  if (is_down_[node] || ending_ || Clock::now() > until) return;
  paused_until_[node] = std::max(paused_until_[node], until);
  cluster_.node(node).Pause();
  Schedule(kStarvedPause, [this, node, until] {
    if (is_down_[node]) return;
    cluster_.node(node).Resume();
    Schedule(kStarvedRun, [this, node, until] { StarveNode(node, until); });
  });
}

void FaultInjector::ScheduleRestart(std::size_t node, Milliseconds delay) {
  is_down_[node] = true;
  Schedule(delay, [this, node] { RestartIfDown(node); });
}

void FaultInjector::RestartIfDown(std::size_t node) {
  if (!is_down_[node]) return;
  is_down_[node] = false;
  cluster_.RestartNode(node);
  callers_.SetNodeAddress(node, cluster_.node(node).address("front"));
}

void FaultInjector::StopNode(std::size_t node) {
  cluster_.node(node).Resume();
  cluster_.node(node).Terminate();
  is_down_[node] = true;
  Schedule(kStopTimeout, [this, node, deadline = Clock::now() + kStopTimeout] {
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    const auto status =
        cluster_.node(node).Wait(std::max(remaining, kMinStopWait));
    if (status != 0) {
      violations_.push_back(
          "a node did not exit with status 0 after SIGTERM: " +
          std::to_string(status.value_or(-1)));
      cluster_.node(node).Kill();
    }
    RestartIfDown(node);
  });
}

void FaultInjector::KillAllNodes() {
  LogFault("kill all nodes");
  const int delay_ms = Draw(0, 1'200);
  for (std::size_t i = 0; i < cluster_.nodes(); ++i) {
    if (is_down_[i]) continue;
    cluster_.node(i).Kill();
    ScheduleRestart(i, Milliseconds(delay_ms));
  }
}

std::string FaultInjector::DrawProxyFault() {
  switch (Draw(0, 5)) {
    case 0:
      return json{{"delay_ms", Draw(20, 400)}}.dump();
    case 1:
      return json{{"drop_up", true}}.dump();
    case 2:
      return json{{"drop_down", true}}.dump();
    case 3:
      return json{{"refuse", true}}.dump();
    case 4:
      return json{{"lose_replies", Draw(1, 4)}}.dump();
    default:
      return json{{"cut_replies", Draw(1, 4)}}.dump();
  }
}

void FaultInjector::InjectTableConnectionFault() {
  const std::size_t node = DrawNode();
  const std::string name = "table connections of n" + std::to_string(node + 1);
  const Address proxy = cluster_.table_proxy(node);
  if (Draw(0, 3) == 0) {
    const bool close_connections = Draw(0, 1) == 0;
    LogFault((close_connections ? "cut " : "silence ") + name);
    Post(proxy, close_connections ? "/standin/cut" : "/standin/silence", "");
    return;
  }
  const std::string fault = DrawProxyFault();
  const int duration_ms = Draw(300, 4'000);
  LogFault(name + " " + fault + " for " + std::to_string(duration_ms));
  Post(proxy, "/standin/faults", fault);
  Schedule(Milliseconds(duration_ms), [proxy] {
    Post(proxy, "/standin/faults", "{}");
    // Bytes were dropped from the open connections, so they cannot be used any
    // longer.
    Post(proxy, "/standin/cut", "");
  });
}

void FaultInjector::InjectTableFault() {
  if (Draw(0, 1) == 0) {
    const int count = Draw(1, 4);
    LogFault("the table loses " + std::to_string(count) + " replies");
    return cluster_.SetTableFaults(json{{"lose_replies", count}}.dump());
  }
  const auto duration_ms =
      DrawDuration(Milliseconds(200), limits_.table_outage).count();
  LogFault("the table is down for " + std::to_string(duration_ms));
  cluster_.SetTableFaults(json{{"down", true}}.dump());
  Schedule(Milliseconds(duration_ms),
           [this] { cluster_.SetTableFaults("{}"); });
}

void FaultInjector::InjectWorkerFault() {
  const int worker = Draw(0, worker_count_ - 1);
  const auto control_worker = [this, worker](const char* action,
                                             const json& faults) {
    json body = {{"worker", worker}, {"what", action}};
    if (!faults.is_null()) body["faults"] = faults;
    Post(cluster_.platform_address(), "/standin/worker", body.dump());
  };
  const std::string name = " w" + std::to_string(worker + 1);
  const auto duration_ms =
      DrawDuration(Milliseconds(300), limits_.worker_fault).count();
  switch (Draw(0, 5)) {
    case 0:
      LogFault("crash" + name);
      return control_worker("crash", {});
    case 1:
      LogFault("cut" + name);
      return control_worker("cut", {});
    case 2:
      LogFault("silence" + name);
      return control_worker("silence", {});
    case 3:
      LogFault("drain" + name + " for " + std::to_string(duration_ms));
      control_worker("draining", {});
      return Schedule(Milliseconds(duration_ms),
                      [control_worker] { control_worker("ready", {}); });
    default: {
      const std::string fault = DrawProxyFault();
      LogFault("connections of" + name + " " + fault + " for " +
               std::to_string(duration_ms));
      control_worker("faults", json::parse(fault));
      Schedule(Milliseconds(duration_ms), [control_worker] {
        control_worker("faults", json::object());
        control_worker("cut", {});
      });
    }
  }
}

void FaultInjector::PublishConfiguration() {
  extra_route_ = !extra_route_;
  config_version_ += Draw(1, 3);
  LogFault("configuration " + std::to_string(config_version_));
  Post(cluster_.platform_address(), "/standin/config",
       json{{"version", config_version_}, {"extra", extra_route_}}.dump());
}

}  // namespace mangospread::testing
