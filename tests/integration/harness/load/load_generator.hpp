/// @file
/// Concurrent load of a test.
#pragma once

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mangospread::testing {

/// Makes the body that the endpoint stand-in returns for the headers
/// X-Reply-Seed and X-Reply-Bytes. Every part of it identifies the request that
/// it belongs to, so that mixed-up responses are detected.
[[nodiscard]] std::string MakeBody(const std::string& seed, std::size_t bytes);

/// Threads that call `iteration(thread, random)` repeatedly, each until Stop or
/// until it has made `iterations` calls. The random numbers of a thread depend
/// only on `seed` and its index. An exception ends the thread and fails the
/// test.
class LoadGenerator {
 public:
  using Iteration = std::function<void(int thread, std::mt19937& random)>;
  /// Value of `iterations` without a limit.
  static constexpr int kUntilStopped = -1;

  LoadGenerator(int threads, unsigned seed, int iterations,
                Iteration iteration);
  ~LoadGenerator() { Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Stops the threads and waits for the calls in progress to return.
  void Stop();
  /// Waits until every thread has made its calls.
  void Join();

 private:
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

}  // namespace mangospread::testing
