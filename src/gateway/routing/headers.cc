#include "gateway/routing/headers.hpp"

#include <string>
#include <string_view>
#include <vector>

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

/// True if one of the Connection fields' values lists `name`.
bool IsListed(const std::vector<std::string>& lists, std::string_view name) {
  for (std::string_view rest : lists) {
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      if (net::EqualsIgnoreCase(Trim(rest.substr(0, comma)), name)) return true;
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return false;
}

std::vector<std::string> ConnectionLists(const net::Headers& headers) {
  std::vector<std::string> lists;
  for (const auto& [name, value] : headers) {
    if (net::EqualsIgnoreCase(name, "Connection")) lists.push_back(value);
  }
  return lists;
}

}  // namespace

void FilterRequest(net::Headers& headers) {
  const auto lists = ConnectionLists(headers);
  headers.EraseIf([&lists](const net::Headers::Entry& entry) {
    const std::string_view name = entry.first;
    return net::IsHopByHop(name) || IsOwn(name) ||
           net::EqualsIgnoreCase(name, "Expect") || IsListed(lists, name);
  });
}

void FilterResponse(net::Headers& headers, bool keep_length) {
  const auto lists = ConnectionLists(headers);
  headers.EraseIf([&lists, keep_length](const net::Headers::Entry& entry) {
    const std::string_view name = entry.first;
    if (net::EqualsIgnoreCase(name, "Content-Length")) return !keep_length;
    if (net::EqualsIgnoreCase(name, worker::kRequestIdHeader)) return false;
    return net::IsHopByHop(name) || IsOwn(name) || IsListed(lists, name);
  });
}

}  // namespace mangospread::gateway
