/// @file
/// Authentication and authorization for the administration API.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::api {

/// Permission level; each role includes the permissions of those before it.
enum class Role : unsigned char {
  kRead,        ///< Read resources, watches, status and decisions.
  kOperate,     ///< Also change services and jobs.
  kAdminister,  ///< Also change teams and policies.
};

/// Bearer token for one team, or for all teams when `team` is empty.
struct AccessToken {
  Role role = Role::kRead;
  TeamName team;
  std::string secret;
};

/// Permissions of an authenticated request.
struct Grant {
  Role role = Role::kRead;
  TeamName team;  ///< Empty: all teams.

  [[nodiscard]] bool Allows(Role needed) const noexcept {
    return role >= needed;
  }
  [[nodiscard]] bool AllowsTeam(const TeamName& requested) const {
    return team.str().empty() || team == requested;
  }
};

/// Parses a comma-separated list of "role@team:secret" entries. The team "*"
/// stands for all teams; a secret has at least 16 characters.
/// @errors kInvalidArgument; the subject gives the position of the invalid
///   entry, counted from 1, and never contains the secret.
[[nodiscard]] Result<std::vector<AccessToken>> ParseTokens(
    std::string_view text);

/// Authenticates requests against the configured tokens.
class Authenticator {
 public:
  explicit Authenticator(std::vector<AccessToken> tokens)
      : tokens_(std::move(tokens)) {}

  /// Checks the Authorization header of a request. Without configured tokens,
  /// loopback clients are granted every permission and all others are rejected.
  /// @param authorization value of the Authorization header, or empty.
  /// @param from_loopback true if the client has a loopback address.
  /// @errors kUnauthenticated.
  [[nodiscard]] Result<Grant> Authenticate(std::string_view authorization,
                                           bool from_loopback) const;

 private:
  std::vector<AccessToken> tokens_;
};

}  // namespace mangospread::api
