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
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      // KJ objects must not be destroyed off their thread; this happens only
      // while the process exits.
      [[maybe_unused]] const auto* leaked =
          new std::function<void()>(std::move(fn));
      return;
    }
    first = mailbox_.empty();
    mailbox_.push_back(std::move(fn));
  }
  if (!first) return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = write(wakeup_fd_, &one, sizeof(one));
}

void RpcThread::Run(std::function<void()> fn) {
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
  stop.promise.exclusiveJoin(ReadLoop(*wakeups))
      .exclusiveJoin(ProbeStalls(io.provider->getTimer()))
      .wait(io.waitScope);
  Drain();
}

kj::Promise<void> RpcThread::ReadLoop(kj::AsyncInputStream& wakeups) {
  return wakeups.read(&wakeup_count_, sizeof(wakeup_count_))
      .then([this, &wakeups] {
        Drain();
        return ReadLoop(wakeups);
      });
}

kj::Promise<void> RpcThread::ProbeStalls(kj::Timer& timer) {
  const MonotonicTime due = base::MonotonicNow() + base::kStallProbePeriod;
  return timer.afterDelay(base::kStallProbePeriod.count() * kj::MILLISECONDS)
      .then([this, &timer, due] {
        const MonotonicTime now = base::MonotonicNow();
        stalls_.Add(now - due, now);
        return ProbeStalls(timer);
      });
}

void RpcThread::Drain() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(mailbox_);
  }
  for (auto& fn : batch) fn();
}

}  // namespace mangospread::rpc
