#include "api/access.hpp"

#include <array>
#include <optional>
#include <utility>

namespace mangospread::api {
namespace {

constexpr std::size_t kMinSecret = 16;  // Characters.
constexpr std::string_view kBearerPrefix = "Bearer ";

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
  const auto at_sign = entry.find('@');
  if (at_sign == std::string_view::npos) return std::nullopt;
  const auto colon = entry.find(':', at_sign);
  if (colon == std::string_view::npos) return std::nullopt;
  const auto role = ParseRole(entry.substr(0, at_sign));
  const auto team = entry.substr(at_sign + 1, colon - at_sign - 1);
  const auto secret = entry.substr(colon + 1);
  if (!role || team.empty() || secret.size() < kMinSecret) return std::nullopt;
  return AccessToken{*role, TeamName(std::string(team == "*" ? "" : team)),
                     std::string(secret)};
}

/// Takes the same time for every `presented` of one length, so that response
/// times do not reveal how many leading characters match. `secret` must not be
/// empty.
bool EqualInConstantTime(std::string_view secret, std::string_view presented) {
  unsigned difference = secret.size() == presented.size() ? 0 : 1;
  for (std::size_t i = 0; i < presented.size(); ++i) {
    difference |= static_cast<unsigned>(
        static_cast<unsigned char>(secret[i % secret.size()]) ^
        static_cast<unsigned char>(presented[i]));
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

Result<Grant> Authenticator::Authenticate(std::string_view authorization,
                                          bool from_loopback) const {
  if (tokens_.empty()) {
    if (from_loopback) return Grant{Role::kAdminister, TeamName()};
    return Error{Errc::kUnauthenticated, "loopback only without tokens"};
  }
  if (!authorization.starts_with(kBearerPrefix)) {
    return Error{Errc::kUnauthenticated, "Authorization"};
  }
  const auto presented = authorization.substr(kBearerPrefix.size());
  const AccessToken* match = nullptr;
  for (const AccessToken& token : tokens_) {
    if (EqualInConstantTime(token.secret, presented)) match = &token;
  }
  if (match == nullptr) return Error{Errc::kUnauthenticated, "Authorization"};
  return Grant{match->role, match->team};
}

}  // namespace mangospread::api
