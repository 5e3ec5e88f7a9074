#include "integration/soak/faults.hpp"

#include <signal.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace mangospread::testing {
namespace {

using nlohmann::json;

/// A planned stop ends by itself within its grace time.
constexpr Milliseconds kStopTime{8'000};
constexpr Milliseconds kStopMargin{1'000};
constexpr Milliseconds kStep{10};

}  // namespace

FaultInjector::FaultInjector(ManagedSite& site, Callers& callers, int workers,
                             std::uint64_t seed)
    : site_(site),
      callers_(callers),
      workers_(workers),
      random_(seed),
      down_(site.nodes(), false) {}

int FaultInjector::Draw(int lowest, int highest) {
  return std::uniform_int_distribution<int>(lowest, highest)(random_);
}

std::size_t FaultInjector::DrawNode() {
  return static_cast<std::size_t>(Draw(0, static_cast<int>(site_.nodes()) - 1));
}

void FaultInjector::Note(const std::string& what) {
  const auto at =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - begun_);
  log_.push_back(std::to_string(at.count()) + " ms " + what);
}

void FaultInjector::Later(Milliseconds time, std::function<void()> action) {
  due_.emplace(Clock::now() + time, std::move(action));
}

void FaultInjector::RunDue(bool all) {
  while (!due_.empty() && (all || due_.begin()->first <= Clock::now())) {
    const auto action = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    action();
  }
}

void FaultInjector::Run(Milliseconds time) {
  const auto until = Clock::now() + time;
  auto next = Clock::now();
  while (Clock::now() < until) {
    RunDue(false);
    if (Clock::now() >= next) {
      Inject();
      next = Clock::now() + Milliseconds(Draw(100, 900));
    }
    std::this_thread::sleep_for(kStep);
  }
}

void FaultInjector::Heal() {
  RunDue(true);
  site_.SetFaults("{}");
  for (std::size_t i = 0; i < site_.nodes(); ++i) {
    Post(site_.store_link(i), "/standin/faults", "{}");
    Post(site_.store_link(i), "/standin/cut", "");
    site_.node(i).Resume();
    if (down_[i]) Restart(i);
  }
  for (int worker = 0; worker < workers_; ++worker) {
    Post(
        site_.site(), "/standin/worker",
        json{{"worker", worker}, {"what", "faults"}, {"faults", json::object()}}
            .dump());
    Post(site_.site(), "/standin/worker",
         json{{"worker", worker}, {"what", "ready"}}.dump());
  }
}

void FaultInjector::Inject() {
  const int draw = Draw(0, 99);
  if (draw < 28) {
    DisturbNode();
  } else if (draw < 50) {
    DisturbStoreLink();
  } else if (draw < 62) {
    DisturbStore();
  } else if (draw < 86) {
    DisturbWorker();
  } else if (draw < 96) {
    Configure();
  } else {
    KillAll();
  }
}

void FaultInjector::DisturbNode() {
  const std::size_t node = DrawNode();
  if (down_[node]) return;
  const std::string name = "n" + std::to_string(node + 1);
  switch (Draw(0, 3)) {
    case 0:
      Note("kill " + name);
      site_.node(node).Kill();
      return Down(node, Milliseconds(Draw(0, 1'500)));
    case 1: {
      const int time = Draw(200, 4'000);
      Note("pause " + name + " for " + std::to_string(time));
      site_.node(node).Pause();
      return Later(Milliseconds(time), [this, node] {
        if (!down_[node]) site_.node(node).Resume();
      });
    }
    case 2:
      Note("stop " + name);
      return Stop(node);
    default:
      Note("reload " + name);
      kill(site_.node(node).pid(), SIGHUP);
  }
}

void FaultInjector::Down(std::size_t node, Milliseconds time) {
  down_[node] = true;
  Later(time, [this, node] { Restart(node); });
}

void FaultInjector::Restart(std::size_t node) {
  if (!down_[node]) return;
  down_[node] = false;
  site_.Restart(node);
  callers_.SetNode(node, site_.node(node).address("front"));
}

void FaultInjector::Stop(std::size_t node) {
  site_.node(node).Resume();
  site_.node(node).Terminate();
  down_[node] = true;
  Later(kStopTime, [this, node, until = Clock::now() + kStopTime] {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    const auto status = site_.node(node).Wait(std::max(left, kStopMargin));
    if (status != 0) {
      violations_.push_back("a planned stop did not end by itself: " +
                            std::to_string(status.value_or(-1)));
      site_.node(node).Kill();
    }
    Restart(node);
  });
}

void FaultInjector::KillAll() {
  Note("kill all nodes");
  const int time = Draw(0, 1'200);
  for (std::size_t i = 0; i < site_.nodes(); ++i) {
    if (down_[i]) continue;
    site_.node(i).Kill();
    Down(i, Milliseconds(time));
  }
}

std::string FaultInjector::DrawLinkFault() {
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

void FaultInjector::DisturbStoreLink() {
  const std::size_t node = DrawNode();
  const std::string name = "store link of n" + std::to_string(node + 1);
  const Address link = site_.store_link(node);
  if (Draw(0, 3) == 0) {
    const bool cut = Draw(0, 1) == 0;
    Note((cut ? "cut " : "silence ") + name);
    Post(link, cut ? "/standin/cut" : "/standin/silence", "");
    return;
  }
  const std::string fault = DrawLinkFault();
  const int time = Draw(300, 4'000);
  Note(name + " " + fault + " for " + std::to_string(time));
  Post(link, "/standin/faults", fault);
  Later(Milliseconds(time), [link] {
    Post(link, "/standin/faults", "{}");
    // What was dropped is missing from the connections.
    Post(link, "/standin/cut", "");
  });
}

void FaultInjector::DisturbStore() {
  if (Draw(0, 1) == 0) {
    const int count = Draw(1, 4);
    Note("the store loses " + std::to_string(count) + " replies");
    return site_.SetFaults(json{{"lose_replies", count}}.dump());
  }
  const int time = Draw(200, 3'500);
  Note("the store is down for " + std::to_string(time));
  site_.SetFaults(json{{"down", true}}.dump());
  Later(Milliseconds(time), [this] { site_.SetFaults("{}"); });
}

void FaultInjector::DisturbWorker() {
  const int worker = Draw(0, workers_ - 1);
  const auto tell = [this, worker](const char* what, const json& faults) {
    json body = {{"worker", worker}, {"what", what}};
    if (!faults.is_null()) body["faults"] = faults;
    Post(site_.site(), "/standin/worker", body.dump());
  };
  const std::string name = " w" + std::to_string(worker + 1);
  const int time = Draw(300, 4'000);
  switch (Draw(0, 5)) {
    case 0:
      Note("crash" + name);
      return tell("crash", {});
    case 1:
      Note("cut" + name);
      return tell("cut", {});
    case 2:
      Note("silence" + name);
      return tell("silence", {});
    case 3:
      Note("drain" + name + " for " + std::to_string(time));
      tell("draining", {});
      return Later(Milliseconds(time), [tell] { tell("ready", {}); });
    default: {
      const std::string fault = DrawLinkFault();
      Note("link of" + name + " " + fault + " for " + std::to_string(time));
      tell("faults", json::parse(fault));
      Later(Milliseconds(time), [tell] {
        tell("faults", json::object());
        tell("cut", {});
      });
    }
  }
}

void FaultInjector::Configure() {
  extra_ = !extra_;
  version_ += Draw(1, 3);
  Note("configuration " + std::to_string(version_));
  Post(site_.site(), "/standin/config",
       json{{"version", version_}, {"extra", extra_}}.dump());
}

}  // namespace mangospread::testing
