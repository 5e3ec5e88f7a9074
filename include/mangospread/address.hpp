/// @file
/// IP address and port of a process.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "mangospread/error.hpp"

namespace mangospread {

/// An IPv4 address in dotted form, and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
};

/// Parses "ip:port" with an IPv4 address.
/// @errors kInvalidArgument with `text` as subject.
[[nodiscard]] Result<Address> ParseAddress(std::string_view text);

/// Formats an address as "ip:port".
[[nodiscard]] std::string ToString(const Address& address);

}  // namespace mangospread
