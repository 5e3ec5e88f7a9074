/// @file
/// A level of the supervisor tree.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/error.hpp"

namespace mangospread::app {

/// A part that is started and stopped as a whole. A child may itself be a
/// supervisor.
struct Child {
  std::string name;
  std::function<Result<Done>()> start;
  /// Calls back when everything in progress has ended.
  std::function<void(std::function<void()> done)> stop;
  /// A child that takes longer to stop is left behind.
  Milliseconds stop_limit{5'000};
};

/// Starts children in order and stops them in reverse. A child that reports a
/// failure is started again after a growing delay; too many failures in a row
/// fail the supervisor.
class Supervisor {
 public:
  struct Options {
    int max_restarts = 5;
    Milliseconds restart_delay{100};
    /// Failures further apart than this do not add up.
    Milliseconds restart_window{60'000};
  };

  Supervisor(base::EventLoop& loop, Options options,
             std::function<void(const Error&)> failed);
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// Children start in the order in which they were added.
  void Add(Child child);

  /// @errors that of the first child that does not start; the children
  ///   started before it are running then.
  [[nodiscard]] Result<Done> Start();

  void Stop(std::function<void()> done);

  /// Reports that a running child has failed.
  void OnChildFailure(const std::string& name, const Error& error);

 private:
  struct State {
    Child child;
    bool running = false;
    int failures = 0;
    MonotonicTime last_failure{0};
    base::Timer timer;
  };

  void StopNext();
  void Restart(State& state);

  base::EventLoop& loop_;
  Options options_;
  std::function<void(const Error&)> failed_;
  std::vector<State> children_;
  std::size_t stop_index_ = 0;
  bool stopping_ = false;
  std::function<void()> stopped_;
};

}  // namespace mangospread::app
