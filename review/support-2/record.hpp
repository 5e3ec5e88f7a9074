/// @file
/// The record of a case: what was sent, answered and run, with times.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review2 {

/// Milliseconds of the steady clock since the program started.
inline std::int64_t NowMs() {
  using std::chrono::steady_clock;
  static const steady_clock::time_point start = steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady_clock::now() - start)
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) { (void)NowMs(); }

  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " ms  " << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review2
