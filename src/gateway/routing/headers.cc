#include "gateway/routing/headers.hpp"

#include <string>
#include <string_view>
#include <vector>

#include "worker/codec.hpp"

namespace mangospread::gateway {
namespace {

constexpr std::string_view kSystemPrefix = "Mangospread-";

bool IsSystemField(std::string_view name) {
  return name.size() > kSystemPrefix.size() &&
         net::EqualsIgnoreCase(name.substr(0, kSystemPrefix.size()),
                               kSystemPrefix);
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// True if one of the values of the Connection fields lists `name`.
bool IsListed(const std::vector<std::string>& values, std::string_view name) {
  for (std::string_view rest : values) {
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      if (net::EqualsIgnoreCase(Trim(rest.substr(0, comma)), name)) return true;
      if (comma == std::string_view::npos) break;
      rest.remove_prefix(comma + 1);
    }
  }
  return false;
}

std::vector<std::string> ConnectionValues(const net::Headers& headers) {
  std::vector<std::string> values;
  for (const auto& [name, value] : headers) {
    if (net::EqualsIgnoreCase(name, "Connection")) values.push_back(value);
  }
  return values;
}

}  // namespace

void FilterRequest(net::Headers& headers) {
  const auto values = ConnectionValues(headers);
  headers.EraseIf([&values](const net::Headers::Entry& entry) {
    const std::string_view name = entry.first;
    return net::IsHopByHop(name) || IsSystemField(name) ||
           net::EqualsIgnoreCase(name, "Expect") || IsListed(values, name);
  });
}

void FilterResponse(net::Headers& headers, bool keep_length) {
  const auto values = ConnectionValues(headers);
  headers.EraseIf([&values, keep_length](const net::Headers::Entry& entry) {
    const std::string_view name = entry.first;
    if (net::EqualsIgnoreCase(name, "Content-Length")) return !keep_length;
    if (net::EqualsIgnoreCase(name, worker::kRequestIdHeader)) return false;
    return net::IsHopByHop(name) || IsSystemField(name) ||
           IsListed(values, name);
  });
}

}  // namespace mangospread::gateway
