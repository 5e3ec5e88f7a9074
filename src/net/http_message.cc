#include "net/http_message.hpp"

#include <algorithm>
#include <array>

namespace mangospread::net {
namespace {

char ToLower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view Headers::Get(std::string_view name) const noexcept {
  for (const auto& [key, value] : entries_) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}

bool Headers::Has(std::string_view name) const noexcept {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return EqualsIgnoreCase(entry.first, name);
  });
}

bool IsHopByHop(std::string_view name) noexcept {
  static constexpr std::array<std::string_view, 10> kNames = {
      "connection",          "keep-alive", "proxy-authenticate",
      "proxy-authorization", "te",         "trailer",
      "transfer-encoding",   "upgrade",    "content-length",
      "proxy-connection"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view hop_by_hop_name) {
                       return EqualsIgnoreCase(hop_by_hop_name, name);
                     });
}

const std::string& Body::str() const noexcept {
  static const std::string kEmpty;
  return bytes_ == nullptr ? kEmpty : *bytes_;
}

std::string_view MethodName(Method method) noexcept {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kHead:
      return "HEAD";
    case Method::kPost:
      return "POST";
    case Method::kPut:
      return "PUT";
    case Method::kDelete:
      return "DELETE";
    case Method::kOptions:
      return "OPTIONS";
    case Method::kPatch:
      return "PATCH";
  }
  return "GET";
}

}  // namespace mangospread::net
