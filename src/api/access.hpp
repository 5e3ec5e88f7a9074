/// @file
/// Who may use the administration API.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::api {

/// Each role includes the ones before it.
enum class Role : unsigned char {
  kRead,        ///< Resources, watches, status, decisions.
  kOperate,     ///< Also services and jobs.
  kAdminister,  ///< Also teams and policies.
};

/// A bearer token of one team, or of all teams when `team` is empty.
struct AccessToken {
  Role role = Role::kRead;
  TeamName team;
  std::string secret;
};

/// What a request may do.
struct Grant {
  Role role = Role::kRead;
  TeamName team;  ///< Empty: any.

  [[nodiscard]] bool Allows(Role needed) const noexcept {
    return role >= needed;
  }
  [[nodiscard]] bool AllowsTeam(const TeamName& other) const {
    return team.str().empty() || team == other;
  }
};

/// Reads "role@team:secret" entries separated by commas; the team "*" stands
/// for all teams and the secret has at least 16 characters.
/// @errors kInvalidArgument; the subject names the entry's position and never
///   holds the secret.
[[nodiscard]] Result<std::vector<AccessToken>> ParseTokens(
    std::string_view text);

/// Checks the Authorization header against the configured tokens.
class Access {
 public:
  explicit Access(std::vector<AccessToken> tokens)
      : tokens_(std::move(tokens)) {}

  /// Without configured tokens a loopback client may do everything and others
  /// nothing.
  /// @param authorization value of the Authorization header, or empty.
  /// @errors kUnauthenticated.
  [[nodiscard]] Result<Grant> Check(std::string_view authorization,
                                    bool from_loopback) const;

 private:
  std::vector<AccessToken> tokens_;
};

}  // namespace mangospread::api
