/// @file
/// Starts, stops and restarts the components of a process. Supervisors may be
/// nested.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/error.hpp"

namespace mangospread::app {

/// A component that is started and stopped as a whole. It may itself be a
/// supervisor.
struct Child {
  std::string name;
  std::function<Result<Done>()> start;
  /// Stops the child and calls `done` when its work in progress has ended.
  std::function<void(std::function<void()> done)> stop;
  /// After this time the supervisor no longer waits for the child to stop.
  Milliseconds stop_limit{5'000};
};

/// Starts children in order and stops them in reverse order. A child that fails
/// is restarted with exponential backoff; too many failures in a row fail the
/// supervisor.
class Supervisor {
 public:
  struct Options {
    int max_restarts = 5;
    /// The n-th failure in a row delays the restart by restart_delay * 2^n.
    Milliseconds restart_delay{100};
    /// A failure this long after the previous one starts a new count.
    Milliseconds restart_window{60'000};
  };

  /// @param on_failure called with the child's error when a child has failed
  ///   more than `max_restarts` times in a row.
  Supervisor(base::EventLoop& loop, Options options,
             std::function<void(const Error&)> on_failure);
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// Adds a child. Children start in the order in which they are added.
  void Add(Child child);

  /// Starts all children.
  /// @errors that of the first child that fails to start; the children started
  ///   before it keep running.
  [[nodiscard]] Result<Done> Start();

  /// Stops all running children, then calls `done`.
  void Stop(std::function<void()> done);

  /// Handles the report that a running child has failed.
  void OnChildFailure(const std::string& name, const Error& error);

 private:
  struct ChildState {
    Child child;
    bool running = false;
    int failures = 0;
    MonotonicTime last_failure{0};
    base::Timer timer;
  };

  void StopNext();
  void Restart(ChildState& state);

  base::EventLoop& loop_;
  Options options_;
  std::function<void(const Error&)> on_failure_;
  std::vector<ChildState> children_;
  std::size_t stop_index_ = 0;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace mangospread::app
