/// @file
/// A limit of memory that several holders share.
#pragma once

#include <cstddef>

namespace mangospread::net {

/// Bytes that clients have sent and that are not answered yet. Not
/// thread-safe.
class MemoryBudget {
 public:
  /// @param limit in bytes.
  explicit MemoryBudget(std::size_t limit) noexcept : limit_(limit) {}

  [[nodiscard]] std::size_t used() const noexcept { return used_; }
  [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
  [[nodiscard]] bool exceeded() const noexcept { return used_ > limit_; }

  /// Replaces one holder's share of `former` bytes.
  void Replace(std::size_t former, std::size_t bytes) noexcept {
    used_ += bytes;
    used_ -= former;
  }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace mangospread::net
