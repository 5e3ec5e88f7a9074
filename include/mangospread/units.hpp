/// @file
/// Strong types for quantities of a worker's resources, and the time types.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace mangospread {

namespace detail {

/// A signed amount in one fixed unit; amounts in different units cannot be
/// mixed.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() noexcept = default;
  constexpr explicit Quantity(std::int64_t value) noexcept : value_(value) {}

  [[nodiscard]] constexpr std::int64_t value() const noexcept { return value_; }

  constexpr Quantity& operator+=(Quantity other) noexcept {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) noexcept {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) noexcept {
    return Quantity(a.value_ + b.value_);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) noexcept {
    return Quantity(a.value_ - b.value_);
  }
  friend constexpr auto operator<=>(Quantity, Quantity) noexcept = default;

 private:
  std::int64_t value_ = 0;
};

}  // namespace detail

/// Processor capacity in thousandths of a core.
using Millicores = detail::Quantity<struct MillicoresTag>;
/// Memory in MiB.
using Mebibytes = detail::Quantity<struct MebibytesTag>;
/// Number of accelerators.
using Accelerators = detail::Quantity<struct AcceleratorsTag>;

using Milliseconds = std::chrono::milliseconds;
/// Time on a steady clock that also advances while the VM is suspended.
using MonotonicTime = std::chrono::nanoseconds;

}  // namespace mangospread
