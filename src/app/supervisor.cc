#include "app/supervisor.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {

Supervisor::Supervisor(base::EventLoop& loop, Options options,
                       std::function<void(const Error&)> failed)
    : loop_(loop), options_(options), failed_(std::move(failed)) {}

void Supervisor::Add(Child child) {
  State state;
  state.child = std::move(child);
  children_.push_back(std::move(state));
}

Result<Done> Supervisor::Start() {
  for (State& state : children_) {
    auto started = state.child.start();
    if (!started.ok()) return started;
    state.running = true;
  }
  return Done{};
}

void Supervisor::Stop(std::function<void()> done) {
  stopping_ = true;
  stopped_ = std::move(done);
  stop_index_ = children_.size();
  StopNext();
}

void Supervisor::StopNext() {
  while (stop_index_ > 0 && !children_[stop_index_ - 1].running) --stop_index_;
  if (stop_index_ == 0) {
    if (stopped_) std::exchange(stopped_, nullptr)();
    return;
  }
  State& state = children_[--stop_index_];
  state.running = false;
  // Whichever comes first, the child's answer or its limit, goes on.
  auto first = std::make_shared<bool>(true);
  const auto next = [this, first] {
    if (std::exchange(*first, false)) StopNext();
  };
  state.timer = loop_.After(state.child.stop_limit, next);
  state.child.stop(next);
}

void Supervisor::OnChildFailure(const std::string& name, const Error& error) {
  const auto it = std::find_if(
      children_.begin(), children_.end(),
      [&name](const State& state) { return state.child.name == name; });
  if (it == children_.end() || stopping_) return;
  const MonotonicTime now = base::MonotonicNow();
  if (now - it->last_failure > options_.restart_window) it->failures = 0;
  it->last_failure = now;
  it->running = false;
  ++it->failures;
  base::Log(base::Event::kChildFailed, {{"child", name},
                                        {"error", ErrcName(error.code)},
                                        {"failures", it->failures}});
  if (it->failures > options_.max_restarts) return failed_(error);
  it->timer = loop_.After(options_.restart_delay * (1 << it->failures),
                          [this, state = &*it] { Restart(*state); });
}

void Supervisor::Restart(State& state) {
  if (stopping_) return;
  const auto started = state.child.start();
  if (started.ok()) {
    state.running = true;
  } else {
    OnChildFailure(state.child.name, started.error());
  }
}

}  // namespace mangospread::app
