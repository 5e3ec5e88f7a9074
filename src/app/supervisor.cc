#include "app/supervisor.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {

Supervisor::Supervisor(base::EventLoop& loop, Options options,
                       std::function<void(const Error&)> on_failure)
    : loop_(loop), options_(options), on_failure_(std::move(on_failure)) {}

void Supervisor::Add(Child child) {
  ChildState state;
  state.child = std::move(child);
  children_.push_back(std::move(state));
}

Result<Done> Supervisor::Start() {
  for (ChildState& state : children_) {
    auto started = state.child.start();
    if (!started.ok()) return started;
    state.running = true;
  }
  return Done{};
}

void Supervisor::Stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  stop_index_ = children_.size();
  StopNext();
}

void Supervisor::StopNext() {
  while (stop_index_ > 0 && !children_[stop_index_ - 1].running) --stop_index_;
  if (stop_index_ == 0) {
    if (on_stopped_) std::exchange(on_stopped_, nullptr)();
    return;
  }
  ChildState& state = children_[--stop_index_];
  state.running = false;
  // The next child is stopped when this one has called back or its time limit
  // has expired, whichever comes first.
  auto waiting = std::make_shared<bool>(true);
  const auto proceed = [this, waiting] {
    if (std::exchange(*waiting, false)) StopNext();
  };
  state.timer = loop_.After(state.child.stop_limit, proceed);
  state.child.stop(proceed);
}

void Supervisor::OnChildFailure(const std::string& name, const Error& error) {
  const auto it = std::find_if(
      children_.begin(), children_.end(),
      [&name](const ChildState& state) { return state.child.name == name; });
  if (it == children_.end() || stopping_) return;
  const MonotonicTime now = base::MonotonicNow();
  if (now - it->last_failure > options_.restart_window) it->failures = 0;
  it->last_failure = now;
  it->running = false;
  ++it->failures;
  base::Log(base::Event::kChildFailed, {{"child", name},
                                        {"error", ErrcName(error.code)},
                                        {"failures", it->failures}});
  if (it->failures > options_.max_restarts) return on_failure_(error);
  it->timer = loop_.After(options_.restart_delay * (1 << it->failures),
                          [this, state = &*it] { Restart(*state); });
}

void Supervisor::Restart(ChildState& state) {
  if (stopping_) return;
  const auto started = state.child.start();
  if (started.ok()) {
    state.running = true;
  } else {
    OnChildFailure(state.child.name, started.error());
  }
}

}  // namespace mangospread::app
