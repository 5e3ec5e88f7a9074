#include "api/access.hpp"

#include <doctest/doctest.h>

#include "app/settings.hpp"

namespace mangospread::api {
namespace {

constexpr const char* kSecret = "0123456789abcdef";

// Guards against administration by strangers.
TEST_CASE("without tokens only loopback clients have a grant") {
  const Access access({});
  CHECK(access.Check("", true).ok());
  CHECK_FALSE(access.Check("", false).ok());
  CHECK_FALSE(access.Check("Bearer x", false).ok());
}

// Guards against a token that is accepted though it differs, and against a
// loopback client that needs no token although some are configured.
TEST_CASE("a grant needs the exact token") {
  auto tokens = ParseTokens(std::string("operate@branches:") + kSecret +
                            ",administer@*:" + kSecret + "-all");
  REQUIRE(tokens.ok());
  const Access access(std::move(tokens.value()));
  const std::string right = std::string("Bearer ") + kSecret;
  const auto grant = access.Check(right, false);
  REQUIRE(grant.ok());
  CHECK(grant.value().Allows(Role::kRead));
  CHECK(grant.value().Allows(Role::kOperate));
  CHECK_FALSE(grant.value().Allows(Role::kAdminister));
  CHECK(grant.value().AllowsTeam(TeamName("branches")));
  CHECK_FALSE(grant.value().AllowsTeam(TeamName("restock")));
  CHECK_FALSE(grant.value().AllowsTeam(TeamName()));
  const auto all = access.Check(right + "-all", false);
  REQUIRE(all.ok());
  CHECK(all.value().Allows(Role::kAdminister));
  CHECK(all.value().AllowsTeam(TeamName()));
  for (const std::string& wrong :
       {std::string(), std::string("Bearer "), std::string("Bearer"),
        right.substr(0, right.size() - 1), right + "x", right + kSecret,
        std::string("Basic ") + kSecret}) {
    INFO(wrong);
    CHECK_FALSE(access.Check(wrong, true).ok());
  }
}

// Guards against a mistyped list that opens administration, and against a
// secret in an error that is logged.
TEST_CASE("an invalid list of tokens is refused without its secret") {
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

// Guards against an operator who repairs one setting after the other.
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
