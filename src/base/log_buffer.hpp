/// @file
/// Buffer between log lines and a file descriptor that may not be writable.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mangospread::base {

/// Collects lines and writes them without blocking: bytes that the descriptor
/// does not accept stay in the buffer, and lines that do not fit into it are
/// dropped and counted.
class LogBuffer {
 public:
  LogBuffer(int descriptor, std::size_t max_bytes) noexcept
      : descriptor_(descriptor), max_bytes_(max_bytes) {}

  /// Returns false if the line was dropped.
  bool Append(std::string_view line);
  /// Writes the bytes that the descriptor accepts without blocking.
  void Flush();

  [[nodiscard]] std::size_t size() const noexcept { return bytes_.size(); }
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  int descriptor_;
  std::size_t max_bytes_;
  std::string bytes_;
  std::uint64_t dropped_ = 0;
};

}  // namespace mangospread::base
