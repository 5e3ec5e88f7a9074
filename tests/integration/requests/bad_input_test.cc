// Guards against invalid input that changes state, terminates a process or is
// refused without naming the invalid field.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

struct BadChange {
  std::string target;
  std::string body;
  std::string error;
  std::string subject;
};

std::vector<BadChange> BadChanges() {
  const std::string service = "/v1/resources/service/bad";
  const std::string job = "/v1/resources/job/bad";
  const std::string team = "/v1/resources/team/bad";
  const std::string policy = "/v1/resources/policy/bad";
  const std::string valid = R"({"team":"t","pool":"p"})";
  return {
      {service, "", "malformed", "service"},
      {service, "{", "malformed", "service"},
      {service, "[]", "malformed", "service"},
      {service, "\xff\xfe", "malformed", "service"},
      {service, std::string(20'000, '['), "malformed", "service"},
      {service, "{}", "missing_field", "service.team"},
      {service, R"({"team":"t"})", "missing_field", "service.pool"},
      {service, R"({"team":7,"pool":"p"})", "malformed", "service.team"},
      {service, R"({"team":"t","pool":"p","timeout":1})", "unknown_field",
       "service.timeout"},
      {service, R"({"team":"t","pool":"p","timeout_ms":0})", "out_of_range",
       "service.timeout_ms"},
      {service, R"({"team":"t","pool":"p","timeout_ms":-1})", "out_of_range",
       "service.timeout_ms"},
      {service, R"({"team":"t","pool":"p","timeout_ms":99999999999999999999})",
       "malformed", "service.timeout_ms"},
      {service, R"({"team":"t","pool":"p","timeout_ms":18446744073709551615})",
       "out_of_range", "service.timeout_ms"},
      {service, R"({"team":"t","pool":"p","timeout_ms":1.5})", "malformed",
       "service.timeout_ms"},
      {service, R"({"team":"t","pool":"p","guard":"yes"})", "malformed",
       "service.guard"},
      {service, std::string(300'000, ' ') + valid, "too_large", "service"},
      {"/v1/resources/service/", valid, "invalid_argument", "name"},
      {"/v1/resources/service/a%20b", valid, "invalid_argument", "name"},
      {"/v1/resources/service/" + std::string(500, 'a'), valid,
       "invalid_argument", "name"},
      {"/v1/resources/planet/bad", valid, "invalid_argument", "kind"},
      {job, R"({"tasks":1})", "missing_field", "job.team"},
      {job, R"({"team":"t","tasks":0})", "out_of_range", "job.tasks"},
      {job, R"({"team":"t","tasks":1000000000})", "out_of_range", "job.tasks"},
      {job, R"({"team":"t","run_time_ms":1e300})", "malformed",
       "job.run_time_ms"},
      {job, R"({"team":"t","cpu_millis":-5})", "out_of_range",
       "job.cpu_millis"},
      {team, R"({"weight":0})", "out_of_range", "team.weight"},
      {team, R"({"weight":1e400})", "malformed", "team"},
      {policy, R"({"latency_weight":-1})", "out_of_range",
       "policy.latency_weight"},
      {policy, R"({"drain":"vm-0"})", "malformed", "policy.drain"},
  };
}

void CheckUnchanged(const Cluster& cluster, std::uint64_t revision) {
  constexpr int kOk = 200;
  for (int i = 0; i < cluster.nodes(); ++i) {
    CHECK(cluster.ConfigRevision(i) == revision);
  }
  CHECK(Get(cluster.http(0), kServicePath).status == kOk);
}

TEST_CASE("invalid changes are refused with the name of the field") {
  ClusterOptions options;
  options.nodes = 2;
  Cluster cluster(options);
  const std::uint64_t revision = cluster.ConfigRevision(0);
  WaitUntil("both nodes have the service", kWaitTimeout,
            [&] { return cluster.ConfigRevision(1) == revision; });
  for (const BadChange& bad : BadChanges()) {
    const Response reply = Put(cluster.http(0), bad.target, bad.body);
    INFO(bad.target << " " << bad.body.substr(0, 60));
    CHECK(reply.status / 100 == 4);
    const auto error = nlohmann::json::parse(reply.body, nullptr, false);
    REQUIRE(error.is_object());
    CHECK(error.value("error", "") == bad.error);
    CHECK(error.value("subject", "") == bad.subject);
  }
  net::Request request;
  request.method = net::Method::kPut;
  request.target = "/v1/resources/service/coverage";
  request.headers.Add("If-Match", "seven");
  request.body = options.service;
  const Response reply = Fetch(cluster.http(0), request);
  CHECK(reply.body.find("If-Match") != std::string::npos);
  CheckUnchanged(cluster, revision);
}

TEST_CASE("invalid requests get a typed outcome and change nothing") {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  ClusterOptions options;
  options.nodes = 1;
  Cluster cluster(options);
  const std::uint64_t revision = cluster.ConfigRevision(0);
  const Address address = cluster.http(0);

  for (const char* timeout : {"0", "-1", "soon", "1e9", "99999999999999999"}) {
    net::Request request;
    request.target = kServicePath;
    request.headers.Add("Mangospread-Timeout-Ms", timeout);
    const Response reply = Fetch(address, request);
    INFO(timeout);
    CHECK(reply.status == kBadRequest);
    CHECK(reply.outcome() == "not-run");
  }
  const Response missing = Get(address, "/svc/nobody/x");
  CHECK(missing.status == kNotFound);
  CHECK(missing.outcome() == "not-run");

  // One body just above the gateway's limit of 8 MiB, and one far above the
  // limit of the HTTP server.
  constexpr std::size_t kMiB = 1024 * 1024;
  const Response over =
      Post(address, kServicePath, std::string(8 * kMiB + 1, 'x'));
  CHECK(over.status == kTooLarge);
  CHECK(over.outcome() == "not-run");
  CHECK(Post(address, kServicePath, std::string(20 * kMiB, 'x')).status / 100 !=
        2);

  const std::vector<std::string> garbage = {
      "\r\n\r\n",
      std::string(100, '\0') + "\r\n\r\n",
      "BREW /svc/coverage/x HTTP/1.1\r\n\r\n",
      "GET /svc/coverage/x HTTP/9.9\r\n\r\n",
      "GET " + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET /svc/coverage/x HTTP/1.1\r\nX: " + std::string(100'000, 'a') +
          "\r\n\r\n",
      "POST /svc/coverage/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
      "POST /svc/coverage/x HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n",
      std::string("POST /svc/coverage/x HTTP/1.1\r\n") +
          "Transfer-Encoding: chunked\r\n\r\nzz\r\n"};
  for (const std::string& bytes : garbage) {
    constexpr Milliseconds kShort{1'000};
    HttpConnection connection(address);
    const Response reply = connection.SendBytes(bytes, kShort);
    INFO(bytes.substr(0, 40));
    // The server may refuse, close the connection or wait for more bytes, but
    // no endpoint may respond.
    CHECK(reply.outcome() != "answered");
  }
  CheckUnchanged(cluster, revision);
  CHECK(cluster.node(0).running());
}

TEST_CASE("a process with an invalid setting exits and names the setting") {
  LogDirectory logs;
  struct BadSetting {
    std::string argument;
    std::string name;
  };
  const std::vector<BadSetting> settings = {
      {"--http-listen=nowhere", "http-listen"},
      {"--http-listen=127.0.0.1:99999", "http-listen"},
      {"--worker-lease-ms=0", "worker-lease-ms"},
      {"--table-timeout-ms=-1", "table-timeout-ms"},
      {"--log-level=loud", "log-level"},
      {"--no-such-setting=1", "no-such-setting"}};
  int index = 0;
  for (const BadSetting& bad : settings) {
    const std::string process = "bad-" + std::to_string(++index);
    INFO(bad.argument);
    CHECK_THROWS(Process(logs.path(), process, NodeProgram(),
                         {"serve", "--node=n", "--data-center=d",
                          "--platform=embedded", bad.argument}));
    CHECK(ReadLog(logs.path(), process).find(bad.name) != std::string::npos);
  }
}

}  // namespace
}  // namespace mangospread::testing
