// Guards against administration without a token, and against a team's operator
// who changes the resources of other teams.
#include <doctest/doctest.h>

#include "integration/harness/http.hpp"
#include "integration/harness/process.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr const char* kReaderToken = "reader-0123456789";
constexpr const char* kOperatorToken = "operator-0123456789";
constexpr const char* kAdministratorToken = "administrator-0123456789";
constexpr const char* kBranchesSpec = R"({"team":"branches","pool":"p"})";
constexpr const char* kRestockSpec = R"({"team":"restock","pool":"p"})";

struct Fixture {
  Fixture() {
    WaitUntil("the node is ready", kWaitTimeout,
              [this] { return Send("", "/healthz").status == kOk; });
  }
  Response Send(const std::string& token, const std::string& target,
                net::Method method = net::Method::kGet,
                const std::string& body = "") {
    net::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!token.empty()) request.headers.Add("Authorization", "Bearer " + token);
    return Fetch(node.address("http"), request);
  }
  int Put(const std::string& token, const std::string& resource,
          const char* spec) {
    return Send(token, "/v1/resources/" + resource, net::Method::kPut, spec)
        .status;
  }
  int Delete(const std::string& token, const std::string& resource) {
    return Send(token, "/v1/resources/" + resource, net::Method::kDelete)
        .status;
  }

  LogDirectory logs;
  Process node{logs.path(),
               "node",
               NodeProgram(),
               {"serve", "--node=n", "--data-center=d", "--platform=embedded",
                "--http-listen=127.0.0.1:0", "--rpc-listen=127.0.0.1:0",
                std::string("--tokens=read@branches:") + kReaderToken +
                    ",operate@branches:" + kOperatorToken +
                    ",administer@*:" + kAdministratorToken}};
};

TEST_CASE("a token determines what a client may read and change") {
  Fixture f;
  for (const char* target : {"/v1/resources/service", "/v1/watch",
                             "/v1/status/config", "/v1/jobs/j"}) {
    INFO(target);
    CHECK(f.Send("", target).status == kUnauthorized);
    CHECK(f.Send("wrong-0123456789", target).status == kUnauthorized);
  }
  CHECK(f.Send("", "/metrics").status == kOk);
  CHECK(f.Send(kReaderToken, "/v1/status/config").status == kOk);

  CHECK(f.Put("", "service/a", kBranchesSpec) == kUnauthorized);
  CHECK(f.Put(kReaderToken, "service/a", kBranchesSpec) == kForbidden);
  CHECK(f.Put(kOperatorToken, "service/a", kRestockSpec) == kForbidden);
  CHECK(f.Put(kOperatorToken, "team/branches", "{}") == kForbidden);
  CHECK(f.Put(kOperatorToken, "policy/maintenance", "{}") == kForbidden);
  CHECK(f.Send(kReaderToken, "/v1/resources/service/a").status != kOk);

  CHECK(f.Put(kOperatorToken, "service/a", kBranchesSpec) == kCreated);
  CHECK(f.Put(kAdministratorToken, "service/b", kRestockSpec) == kCreated);
  CHECK(f.Put(kOperatorToken, "service/b", kBranchesSpec) == kForbidden);
  CHECK(f.Put(kOperatorToken, "service/a", kRestockSpec) == kForbidden);
  CHECK(f.Delete(kOperatorToken, "service/b") == kForbidden);
  CHECK(f.Delete(kOperatorToken, "service/a") == kOk);
  CHECK(f.Put(kAdministratorToken, "team/branches", "{}") == kCreated);
}

TEST_CASE("no token is written to the log") {
  Fixture f;
  CHECK(f.Put(kOperatorToken, "service/a", kBranchesSpec) == kCreated);
  CHECK(f.Put("wrong-0123456789", "service/a", kBranchesSpec) == kUnauthorized);
  f.node.Terminate();
  REQUIRE(f.node.Wait(kWaitTimeout) == 0);
  const std::string log = ReadLog(f.logs.path(), "node");
  CHECK_FALSE(log.empty());
  CHECK(log.find("0123456789") == std::string::npos);
}

}  // namespace
}  // namespace mangospread::testing
