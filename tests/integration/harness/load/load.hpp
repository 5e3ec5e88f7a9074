/// @file
/// Concurrent requests of a test.
#pragma once

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mangospread::testing {

/// Body that the endpoint stand-in makes from X-Reply-Seed and X-Reply-Bytes:
/// every part tells to which request it belongs.
[[nodiscard]] std::string MakeBody(const std::string& seed, std::size_t bytes);

/// Threads that call `step(thread, random)` again and again until Stop or
/// until it returned `rounds` times in each. The random numbers of a thread
/// depend only on `seed` and its index.
class Load {
 public:
  using Step = std::function<void(int thread, std::mt19937& random)>;
  static constexpr int kUntilStopped = -1;

  Load(int threads, unsigned seed, int rounds, Step step);
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  /// Lets the steps in progress end.
  void Stop();
  /// Waits until every thread has done its rounds.
  void Join();

 private:
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

}  // namespace mangospread::testing
