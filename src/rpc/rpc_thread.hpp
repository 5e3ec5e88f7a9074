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

/// Runs a KJ event loop on its own thread. kj::Executor needs a KJ loop on the
/// calling side, so callers post functions through an eventfd instead.
class RpcThread {
 public:
  RpcThread();
  ~RpcThread();
  RpcThread(const RpcThread&) = delete;
  RpcThread& operator=(const RpcThread&) = delete;

  /// Runs `fn` on the KJ thread. Safe from any thread.
  void Post(std::function<void()> fn);

  /// Runs `fn` on the KJ thread and waits for it.
  void Run(std::function<void()> fn);

  /// Runs what was posted and ends the thread. Later posts are dropped.
  void Stop();

  /// Stalls of the KJ loop.
  [[nodiscard]] const base::StallRecord& stalls() const noexcept {
    return stalls_;
  }

  /// For use on the KJ thread only.
  [[nodiscard]] kj::AsyncIoContext& io() noexcept { return *io_; }

 private:
  void Main();
  kj::Promise<void> ReadLoop(kj::AsyncInputStream& wakeups);
  kj::Promise<void> ProbeStalls(kj::Timer& timer);
  void Drain();

  int wakeup_fd_;
  std::mutex mutex_;
  std::vector<std::function<void()>> mailbox_;
  bool stopped_ = false;
  kj::AsyncIoContext* io_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
  std::uint64_t wakeup_count_ = 0;
  base::StallRecord stalls_;
  std::thread thread_;
};

}  // namespace mangospread::rpc
