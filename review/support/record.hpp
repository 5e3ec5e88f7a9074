/// @file
/// What was sent, answered and run, one line an event.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Milliseconds of the steady clock.
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), begun_(NowMs()) {}

  /// Appends a line that begins with the seconds since the start.
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    const std::int64_t ms = NowMs() - begun_;
    std::string fraction = std::to_string(ms % 1'000);
    fraction.insert(0, 3 - fraction.size(), '0');
    file_ << ms / 1'000 << '.' << fraction << ' ' << line << '\n';
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::int64_t begun_;
};

}  // namespace review
