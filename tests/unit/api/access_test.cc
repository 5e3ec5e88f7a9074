#include "api/access.hpp"

#include <doctest/doctest.h>

#include "app/settings.hpp"

namespace mangospread::api {
namespace {

constexpr const char* kSecret = "0123456789abcdef";

// Guards against administration by a remote client while no tokens are
// configured.
TEST_CASE("without tokens only loopback clients are granted access") {
  const Authenticator authenticator({});
  CHECK(authenticator.Authenticate("", true).ok());
  CHECK_FALSE(authenticator.Authenticate("", false).ok());
  CHECK_FALSE(authenticator.Authenticate("Bearer x", false).ok());
}

// Guards against accepting a token that differs from the configured one, and
// against accepting a loopback client without a token although tokens are
// configured.
TEST_CASE("a grant requires the exact token") {
  auto tokens = ParseTokens(std::string("operate@branches:") + kSecret +
                            ",administer@*:" + kSecret + "-all");
  REQUIRE(tokens.ok());
  const Authenticator authenticator(std::move(tokens.value()));
  const std::string valid_header = std::string("Bearer ") + kSecret;
  const auto grant = authenticator.Authenticate(valid_header, false);
  REQUIRE(grant.ok());
  CHECK(grant.value().Allows(Role::kRead));
  CHECK(grant.value().Allows(Role::kOperate));
  CHECK_FALSE(grant.value().Allows(Role::kAdminister));
  CHECK(grant.value().AllowsTeam(TeamName("branches")));
  CHECK_FALSE(grant.value().AllowsTeam(TeamName("restock")));
  CHECK_FALSE(grant.value().AllowsTeam(TeamName()));
  const auto all = authenticator.Authenticate(valid_header + "-all", false);
  REQUIRE(all.ok());
  CHECK(all.value().Allows(Role::kAdminister));
  CHECK(all.value().AllowsTeam(TeamName()));
  for (const std::string& invalid_header :
       {std::string(), std::string("Bearer "), std::string("Bearer"),
        valid_header.substr(0, valid_header.size() - 1), valid_header + "x",
        valid_header + kSecret, std::string("Basic ") + kSecret}) {
    INFO(invalid_header);
    CHECK_FALSE(authenticator.Authenticate(invalid_header, true).ok());
  }
}

// Guards against a mistyped list that grants access to administration, and
// against a secret in an error, which would be logged.
TEST_CASE("an invalid token list is rejected without revealing the secret") {
  for (const std::string& text :
       {std::string("read@a:short"), std::string("owner@a:") + kSecret,
        std::string("read@:") + kSecret, std::string("read:") + kSecret,
        std::string("read@a:") + kSecret + ",,"}) {
    INFO(text);
    const auto tokens = ParseTokens(text);
    REQUIRE_FALSE(tokens.ok());
    CHECK(tokens.error().subject.find(kSecret) == std::string::npos);
  }
}

// Guards against reporting only the first invalid setting, which makes the
// operator correct the settings one at a time.
TEST_CASE("all invalid settings are reported at once") {
  std::vector<Error> problems;
  (void)app::ParseSettings(
      {"--data-center=d", "--platform=embedded", "--table-timeout-ms=0",
       "--tokens=nonsense", "--log-level=loud"},
      problems);
  std::vector<std::string> subjects;
  subjects.reserve(problems.size());
  for (const Error& problem : problems) subjects.push_back(problem.subject);
  CHECK(subjects == std::vector<std::string>{"node", "table-timeout-ms",
                                             "log-level", "tokens"});
}

}  // namespace
}  // namespace mangospread::api
