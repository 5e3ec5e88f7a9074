#include "api/access.hpp"

#include <array>
#include <optional>
#include <utility>

namespace mangospread::api {
namespace {

constexpr std::size_t kMinSecret = 16;
constexpr std::string_view kScheme = "Bearer ";

std::optional<Role> ParseRole(std::string_view name) {
  constexpr std::array<std::pair<std::string_view, Role>, 3> kRoles = {
      {{"read", Role::kRead},
       {"operate", Role::kOperate},
       {"administer", Role::kAdminister}}};
  for (const auto& [role_name, role] : kRoles) {
    if (role_name == name) return role;
  }
  return std::nullopt;
}

std::optional<AccessToken> ParseToken(std::string_view entry) {
  const auto at = entry.find('@');
  if (at == std::string_view::npos) return std::nullopt;
  const auto colon = entry.find(':', at);
  if (colon == std::string_view::npos) return std::nullopt;
  const auto role = ParseRole(entry.substr(0, at));
  const auto team = entry.substr(at + 1, colon - at - 1);
  const auto secret = entry.substr(colon + 1);
  if (!role || team.empty() || secret.size() < kMinSecret) return std::nullopt;
  return AccessToken{*role, TeamName(std::string(team == "*" ? "" : team)),
                     std::string(secret)};
}

/// Takes the same time for every `given` of one length, so that answers do not
/// tell how many leading characters were right.
bool EqualInConstantTime(std::string_view secret, std::string_view given) {
  unsigned difference = secret.size() == given.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    difference |= static_cast<unsigned>(
        static_cast<unsigned char>(secret[i % secret.size()]) ^
        static_cast<unsigned char>(given[i]));
  }
  return difference == 0;
}

}  // namespace

Result<std::vector<AccessToken>> ParseTokens(std::string_view text) {
  std::vector<AccessToken> tokens;
  for (int position = 1; !text.empty(); ++position) {
    const auto end = text.find(',');
    auto token = ParseToken(text.substr(0, end));
    if (!token) {
      return Error{Errc::kInvalidArgument, "entry " + std::to_string(position)};
    }
    tokens.push_back(std::move(*token));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return tokens;
}

Result<Grant> Access::Check(std::string_view authorization,
                            bool from_loopback) const {
  if (tokens_.empty()) {
    if (from_loopback) return Grant{Role::kAdminister, TeamName()};
    return Error{Errc::kUnauthenticated, "loopback only without tokens"};
  }
  if (!authorization.starts_with(kScheme)) {
    return Error{Errc::kUnauthenticated, "Authorization"};
  }
  const auto given = authorization.substr(kScheme.size());
  const AccessToken* match = nullptr;
  for (const AccessToken& token : tokens_) {
    if (EqualInConstantTime(token.secret, given)) match = &token;
  }
  if (match == nullptr) return Error{Errc::kUnauthenticated, "Authorization"};
  return Grant{match->role, match->team};
}

}  // namespace mangospread::api
