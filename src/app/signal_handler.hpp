/// @file
/// Delivers process signals on the event loop.
#pragma once

#include <event2/event.h>

#include <csignal>
#include <functional>
#include <utility>

#include "base/loop/event_loop.hpp"
#include "base/loop/protected_call.hpp"

namespace mangospread::app {

/// Calls `fn` on the event loop for each `signal` while this object exists.
class SignalHandler {
 public:
  SignalHandler(base::EventLoop& loop, int signal, std::function<void()> fn)
      : fn_(std::move(fn)) {
    event_ = evsignal_new(
        loop.raw(), signal,
        [](evutil_socket_t, short, void* arg) {  // NOLINT
          base::CallProtected("signal", static_cast<SignalHandler*>(arg)->fn_);
        },
        this);
    event_add(event_, nullptr);
  }
  ~SignalHandler() { event_free(event_); }
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  event* event_;
  std::function<void()> fn_;
};

/// Calls `stop` on the event loop for each SIGTERM or SIGINT while this object
/// exists.
class StopSignals {
 public:
  StopSignals(base::EventLoop& loop, const std::function<void()>& stop)
      : term_(loop, SIGTERM, stop), interrupt_(loop, SIGINT, stop) {}

 private:
  SignalHandler term_;
  SignalHandler interrupt_;
};

}  // namespace mangospread::app
