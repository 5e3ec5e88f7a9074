/// @file
/// The thread that runs the KJ loop.
#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "base/loop/loop_stall.hpp"

namespace mangospread::rpc {

/// Runs a KJ event loop on its own thread. kj::Executor requires a KJ loop on
/// the calling thread as well, so callers post functions and wake the loop
/// through an eventfd instead.
class RpcThread {
 public:
  RpcThread();
  ~RpcThread();
  RpcThread(const RpcThread&) = delete;
  RpcThread& operator=(const RpcThread&) = delete;

  /// Runs `fn` on the KJ thread. May be called from any thread.
  void Post(std::function<void()> fn);

  /// Runs `fn` on the KJ thread and returns when it has finished.
  void RunAndWait(std::function<void()> fn);

  /// Runs the functions that are still posted and ends the thread. Functions
  /// posted later are not run.
  void Stop();

  /// Recorded stalls of the KJ loop.
  [[nodiscard]] const base::StallRecord& stalls() const noexcept {
    return stalls_;
  }

  /// For use on the KJ thread only.
  [[nodiscard]] kj::AsyncIoContext& io() noexcept { return *io_; }

 private:
  void Main();
  kj::Promise<void> WakeupLoop(kj::AsyncInputStream& wakeups);
  kj::Promise<void> MeasureStalls(kj::Timer& timer);
  void RunPosted();

  int wakeup_fd_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  bool stopped_ = false;
  kj::AsyncIoContext* io_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
  std::uint64_t wakeup_count_ = 0;
  base::StallRecord stalls_;
  std::thread thread_;
};

}  // namespace mangospread::rpc
