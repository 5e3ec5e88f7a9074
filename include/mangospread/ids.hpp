/// @file
/// Strong types for identifiers and counters.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mangospread {

namespace detail {

/// A string with a type of its own for each `Tag`; names of different kinds do
/// not convert to each other.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& str() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const StrongString&, const StrongString&) = default;
  friend std::strong_ordering operator<=>(const StrongString&,
                                          const StrongString&) = default;

 private:
  std::string value_;
};

/// An unsigned counter with a type of its own for each `Tag`; different
/// counters cannot be mixed.
template <typename Tag>
class StrongCounter {
 public:
  constexpr StrongCounter() noexcept = default;
  constexpr explicit StrongCounter(std::uint64_t value) noexcept
      : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const noexcept {
    return value_;
  }
  [[nodiscard]] constexpr StrongCounter next() const noexcept {
    return StrongCounter(value_ + 1);
  }

  friend constexpr auto operator<=>(StrongCounter,
                                    StrongCounter) noexcept = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace detail

/// Name of an entry node, unique in a deployment.
using NodeId = detail::StrongString<struct NodeIdTag>;
/// Name of a VM that runs endpoints and tasks.
using VmName = detail::StrongString<struct VmNameTag>;
/// Name of a data centre.
using DataCenter = detail::StrongString<struct DataCenterTag>;
/// Name of a rack; unique within its data centre.
using RackName = detail::StrongString<struct RackNameTag>;
using ServiceName = detail::StrongString<struct ServiceNameTag>;
using JobName = detail::StrongString<struct JobNameTag>;
using TeamName = detail::StrongString<struct TeamNameTag>;
/// Identifies one attempt to send a caller's request to an endpoint.
using RequestId = detail::StrongString<struct RequestIdTag>;

/// Start time of a node process in nanoseconds since the Unix epoch; a later
/// process of the same node has a greater value.
using Incarnation = detail::StrongCounter<struct IncarnationTag>;
/// Ownership epoch of a worker or role. Never decreases.
using Epoch = detail::StrongCounter<struct EpochTag>;
/// Configuration revision. Never decreases.
using Revision = detail::StrongCounter<struct RevisionTag>;
/// Version of a table row; 0 means that the row does not exist.
using RowVersion = detail::StrongCounter<struct RowVersionTag>;
/// Number of an attempt to run a task; the first start of the task is 1.
using Attempt = detail::StrongCounter<struct AttemptTag>;

}  // namespace mangospread

template <typename Tag>
struct std::hash<mangospread::detail::StrongString<Tag>> {
  std::size_t operator()(
      const mangospread::detail::StrongString<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};
