// Guards against administration without a token, and against a team that
// changes what belongs to others.
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
constexpr const char* kReader = "reader-0123456789";
constexpr const char* kOperator = "operator-0123456789";
constexpr const char* kAdministrator = "administrator-0123456789";
constexpr const char* kBranches = R"({"team":"branches","pool":"p"})";
constexpr const char* kRestock = R"({"team":"restock","pool":"p"})";

struct Fixture {
  Fixture() {
    WaitUntil("the node is ready", kWaitDeadline,
              [this] { return Send("", "/healthz").status == kOk; });
  }
  Reply Send(const std::string& token, const std::string& target,
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
                std::string("--tokens=read@branches:") + kReader +
                    ",operate@branches:" + kOperator +
                    ",administer@*:" + kAdministrator}};
};

TEST_CASE("a token decides what a client may read and change") {
  Fixture f;
  for (const char* target : {"/v1/resources/service", "/v1/watch",
                             "/v1/status/config", "/v1/jobs/j"}) {
    INFO(target);
    CHECK(f.Send("", target).status == kUnauthorized);
    CHECK(f.Send("wrong-0123456789", target).status == kUnauthorized);
  }
  CHECK(f.Send("", "/metrics").status == kOk);
  CHECK(f.Send(kReader, "/v1/status/config").status == kOk);

  CHECK(f.Put("", "service/a", kBranches) == kUnauthorized);
  CHECK(f.Put(kReader, "service/a", kBranches) == kForbidden);
  CHECK(f.Put(kOperator, "service/a", kRestock) == kForbidden);
  CHECK(f.Put(kOperator, "team/branches", "{}") == kForbidden);
  CHECK(f.Put(kOperator, "policy/maintenance", "{}") == kForbidden);
  CHECK(f.Send(kReader, "/v1/resources/service/a").status != kOk);

  CHECK(f.Put(kOperator, "service/a", kBranches) == kCreated);
  CHECK(f.Put(kAdministrator, "service/b", kRestock) == kCreated);
  CHECK(f.Put(kOperator, "service/b", kBranches) == kForbidden);
  CHECK(f.Put(kOperator, "service/a", kRestock) == kForbidden);
  CHECK(f.Delete(kOperator, "service/b") == kForbidden);
  CHECK(f.Delete(kOperator, "service/a") == kOk);
  CHECK(f.Put(kAdministrator, "team/branches", "{}") == kCreated);
}

TEST_CASE("no token is written to the log") {
  Fixture f;
  CHECK(f.Put(kOperator, "service/a", kBranches) == kCreated);
  CHECK(f.Put("wrong-0123456789", "service/a", kBranches) == kUnauthorized);
  f.node.Terminate();
  REQUIRE(f.node.Wait(kWaitDeadline) == 0);
  const std::string log = ReadLog(f.logs.path(), "node");
  CHECK_FALSE(log.empty());
  CHECK(log.find("0123456789") == std::string::npos);
}

}  // namespace
}  // namespace mangospread::testing
