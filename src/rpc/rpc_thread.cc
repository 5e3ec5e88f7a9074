#include "rpc/rpc_thread.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::rpc {

RpcThread::RpcThread()
    : wakeup_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      thread_([this] { Main(); }) {}

RpcThread::~RpcThread() {
  Stop();
  close(wakeup_fd_);
}

void RpcThread::Stop() {
  if (!thread_.joinable()) return;
  Post([this] { stop_fulfiller_->fulfill(); });
  thread_.join();
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void RpcThread::Post(std::function<void()> fn) {
  bool was_empty = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      // KJ objects must not be destroyed on another thread, so the function is
      // leaked; this happens only while the process exits.
      [[maybe_unused]] const auto* leaked =
          new std::function<void()>(std::move(fn));
      return;
    }
    was_empty = posted_.empty();
    posted_.push_back(std::move(fn));
  }
  if (!was_empty) return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(wakeup_fd_, &one, sizeof(one));
}

void RpcThread::RunAndWait(std::function<void()> fn) {
  std::promise<void> done;
  Post([&] {
    fn();
    done.set_value();
  });
  done.get_future().wait();
}

void RpcThread::Main() {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  io_ = &io;
  auto stop = kj::newPromiseAndFulfiller<void>();
  stop_fulfiller_ = kj::mv(stop.fulfiller);
  auto wakeups = io.lowLevelProvider->wrapInputFd(
      wakeup_fd_, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
  stop.promise.exclusiveJoin(WakeupLoop(*wakeups))
      .exclusiveJoin(MeasureStalls(io.provider->getTimer()))
      .wait(io.waitScope);
  RunPosted();
}

kj::Promise<void> RpcThread::WakeupLoop(kj::AsyncInputStream& wakeups) {
  return wakeups.read(&wakeup_count_, sizeof(wakeup_count_))
      .then([this, &wakeups] {
        RunPosted();
        return WakeupLoop(wakeups);
      });
}

kj::Promise<void> RpcThread::MeasureStalls(kj::Timer& timer) {
  const MonotonicTime due_time = base::MonotonicNow() + base::kStallProbePeriod;
  return timer.afterDelay(base::kStallProbePeriod.count() * kj::MILLISECONDS)
      .then([this, &timer, due_time] {
        const MonotonicTime now = base::MonotonicNow();
        stalls_.Add(now - due_time, now);
        return MeasureStalls(timer);
      });
}

void RpcThread::RunPosted() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(posted_);
  }
  for (auto& fn : batch) fn();
}

}  // namespace mangospread::rpc
