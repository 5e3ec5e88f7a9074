#include "gateway/routing/headers.hpp"

#include <string_view>

#include "worker/codec.hpp"

namespace mangospread::gateway {
namespace {

constexpr std::string_view kOwnPrefix = "Mangospread-";

bool IsOwn(std::string_view name) {
  return name.size() > kOwnPrefix.size() &&
         net::EqualsIgnoreCase(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// True if a Connection field lists `name`.
bool IsListed(const net::Headers& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (!net::EqualsIgnoreCase(field, "Connection")) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      if (net::EqualsIgnoreCase(Trim(rest.substr(0, comma)), name)) return true;
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return false;
}

}  // namespace

net::Headers RequestHeaders(const net::Headers& received) {
  const bool lists = received.Has("Connection");
  net::Headers out;
  out.Reserve(received.size());
  for (const auto& [name, value] : received) {
    if (net::IsHopByHop(name) || IsOwn(name) ||
        net::EqualsIgnoreCase(name, "Expect") ||
        (lists && IsListed(received, name))) {
      continue;
    }
    out.Add(name, value);
  }
  return out;
}

net::Headers ResponseHeaders(const net::Headers& received, bool keep_length) {
  const bool lists = received.Has("Connection");
  net::Headers out;
  out.Reserve(received.size() + 2);
  for (const auto& [name, value] : received) {
    const bool length =
        keep_length && net::EqualsIgnoreCase(name, "Content-Length");
    const bool request_id =
        net::EqualsIgnoreCase(name, worker::kRequestIdHeader);
    if ((net::IsHopByHop(name) && !length) || (IsOwn(name) && !request_id) ||
        (lists && IsListed(received, name))) {
      continue;
    }
    out.Add(name, value);
  }
  return out;
}

}  // namespace mangospread::gateway
