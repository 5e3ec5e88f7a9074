#include "base/loop/event_loop.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <random>
#include <utility>

#include "base/loop/protected_call.hpp"
#include "base/loop/simulated_clock.hpp"

namespace mangospread::base {

namespace detail {

/// State of a scheduled timer. Its callback holds a reference while it runs, so
/// that a callback may destroy its own timer.
struct TimerState : std::enable_shared_from_this<TimerState> {
  event* ev = nullptr;
  bool simulated = false;  ///< Scheduled in a SimulatedClock, not by `ev`.
  std::function<void()> fn;
  MonotonicTime period{0};
  double jitter = 0;

  TimerState() = default;
  TimerState(const TimerState&) = delete;
  TimerState& operator=(const TimerState&) = delete;
  ~TimerState() { Cancel(); }

  void Cancel() noexcept {
    if (ev != nullptr) event_free(std::exchange(ev, nullptr));
    simulated = false;
  }
};

}  // namespace detail

namespace {

timeval ToTimeval(MonotonicTime delay) {
  constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
  const std::int64_t nanoseconds = delay.count() > 0 ? delay.count() : 0;
  return {
      static_cast<time_t>(nanoseconds / kNanosecondsPerSecond),
      static_cast<suseconds_t>(nanoseconds % kNanosecondsPerSecond / 1'000)};
}

MonotonicTime WithJitter(MonotonicTime period, double jitter,
                         std::mt19937_64& rng) {
  std::uniform_real_distribution<double> relative_shift(-jitter, jitter);
  const double factor = 1.0 + relative_shift(rng);
  return MonotonicTime(
      static_cast<std::int64_t>(static_cast<double>(period.count()) * factor));
}

std::mt19937_64& ThreadRandom() {
  thread_local std::mt19937_64 rng{std::random_device{}()};
  return rng;
}

void RunProtected(const std::function<void()>& fn) {
  CallProtected("loop", fn);
}

void RunOnce(detail::TimerState& state) {
  state.Cancel();
  const auto fn = std::move(state.fn);
  RunProtected(fn);
}

void OnTimer(evutil_socket_t /*fd*/, short /*events*/, void* arg) {  // NOLINT
  auto state = static_cast<detail::TimerState*>(arg)->shared_from_this();
  if (state->period.count() > 0) {
    const timeval tv =
        ToTimeval(WithJitter(state->period, state->jitter, ThreadRandom()));
    event_add(state->ev, &tv);
    RunProtected(state->fn);
    return;
  }
  RunOnce(*state);
}

void EnableLibeventThreads() {
  static std::once_flag once;
  std::call_once(once, [] { evthread_use_pthreads(); });
}

}  // namespace

Timer::Timer() noexcept = default;
Timer::Timer(Timer&&) noexcept = default;
Timer::Timer(std::shared_ptr<detail::TimerState> state) noexcept
    : state_(std::move(state)) {}

Timer& Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    reset();
    state_ = std::move(other.state_);
  }
  return *this;
}

Timer::~Timer() { reset(); }

bool Timer::active() const noexcept {
  return state_ != nullptr && (state_->ev != nullptr || state_->simulated);
}

void Timer::reset() noexcept {
  if (state_ == nullptr) return;
  state_->Cancel();
  state_.reset();
}

EventLoop::EventLoop(TimerResolution resolution)
    : simulated_(SimulatedClock::Current()) {
  EnableLibeventThreads();
  event_config* config = event_config_new();
  if (resolution == TimerResolution::kMicrosecond) {
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  }
  // evhttp enables and disables reading and writing for every message; without
  // the change list each change is a separate system call.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  wakeup_ = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {  // NOLINT
        static_cast<EventLoop*>(arg)->RunPosted();
      },
      this);
  event_add(wakeup_, nullptr);
}

EventLoop::~EventLoop() {
  // The destruction of a posted function may free events of this loop or post
  // further functions.
  while (!posted_.empty()) {
    const auto discarded = std::exchange(posted_, {});
  }
  event_free(wakeup_);
  event_base_free(base_);
}

Timer EventLoop::Schedule(std::shared_ptr<detail::TimerState> state,
                          MonotonicTime delay) {
  if (simulated_ != nullptr) {
    state->simulated = true;
    simulated_->Add(delay, state);
    return Timer(std::move(state));
  }
  state->ev = event_new(base_, -1, 0, OnTimer, state.get());
  const timeval tv = ToTimeval(delay);
  event_add(state->ev, &tv);
  return Timer(std::move(state));
}

Timer EventLoop::After(MonotonicTime delay, std::function<void()> fn) {
  auto state = std::make_shared<detail::TimerState>();
  state->fn = std::move(fn);
  return Schedule(std::move(state), delay);
}

Timer EventLoop::Every(MonotonicTime period, double jitter,
                       std::function<void()> fn) {
  auto state = std::make_shared<detail::TimerState>();
  state->fn = std::move(fn);
  state->period = period;
  state->jitter = jitter;
  std::mt19937_64& rng =
      simulated_ != nullptr ? simulated_->random_ : ThreadRandom();
  return Schedule(std::move(state), WithJitter(period, jitter, rng));
}

void EventLoop::Post(std::function<void()> fn) {
  bool was_empty = false;
  {
    const std::lock_guard lock(mutex_);
    was_empty = posted_.empty();
    posted_.push_back(std::move(fn));
  }
  if (was_empty) event_active(wakeup_, 0, 0);
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(posted_);
  }
  for (const auto& fn : batch) RunProtected(fn);
}

void EventLoop::RunSimulated() {
  for (stopped_ = false; !stopped_;) {
    event_base_loop(base_, EVLOOP_NONBLOCK);
    if (stopped_) break;
    const auto state = simulated_->PopNext();
    if (state == nullptr || !state->simulated) continue;
    if (state->period.count() == 0) {
      RunOnce(*state);
      continue;
    }
    simulated_->Add(
        WithJitter(state->period, state->jitter, simulated_->random_), state);
    RunProtected(state->fn);
  }
}

void EventLoop::Run() {
  if (simulated_ != nullptr) {
    RunSimulated();
    return RunPosted();
  }
  event_base_dispatch(base_);
  RunPosted();
}

void EventLoop::Stop() {
  stopped_ = true;
  if (simulated_ == nullptr) event_base_loopexit(base_, nullptr);
}

}  // namespace mangospread::base
