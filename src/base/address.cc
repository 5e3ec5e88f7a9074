#include "mangospread/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace mangospread {

Result<Address> ParseAddress(std::string_view text) {
  const auto invalid = [&] {
    return Error{Errc::kInvalidArgument, std::string(text)};
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return invalid();
  Address address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  // A text from JSON may contain a null byte, at which inet_pton would stop.
  if (address.ip.find('\0') != std::string::npos) return invalid();
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return invalid();
  const auto port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (ec != std::errc() || end != port.data() + port.size()) return invalid();
  return address;
}

std::string ToString(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace mangospread
