#include "platform/codec.hpp"

#include <doctest/doctest.h>

#include "platform/base64.hpp"
#include "platform/frontend.hpp"
#include "platform/settings.hpp"
#include "platform/worker_link.hpp"

namespace mangospread::platform {
namespace {

using dispatch::CommandOutcome;
using dispatch::RunEnd;
using dispatch::SubmissionId;

const SubmissionId kId("5c0e7a21d94b36f8");

// Guards against constraints of a submission that decoding drops.
TEST_CASE("a submission is decoded with all its constraints") {
  const auto result = DecodeSubmission(
      kId, R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,)"
           R"("estimate-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
           R"("mem-mb":1024,"gpu":1,"estimate-ms":7000,"after":[0],)"
           R"("checkpoint":true,"requires":"a","anti-affinity":2,"fills":true,)"
           R"("image":"x","max-unavailable":1,"new-field":7},)"
           R"({"long-running":true,"target-ms":18,"speculative":true,)"
           R"("gang":true,"same-rack":true}],"times":3,"start-at-ms":1000,)"
           R"("interval-ms":50})");
  REQUIRE(result.ok());
  const auto& submission = result.value();
  CHECK(submission.spec == "text");
  REQUIRE(submission.steps.size() == 3);
  CHECK(submission.steps[0].count == 4);
  CHECK(submission.steps[0].data_rack == RackName("r1-3"));
  CHECK(submission.steps[1].after == std::vector<int>{0});
  CHECK(submission.steps[1].checkpoints);
  CHECK(submission.steps[1].best_effort);
  CHECK(submission.steps[1].accelerators == Accelerators(1));
  CHECK(submission.steps[1].required_label == dispatch::Label("a"));
  CHECK(submission.steps[1].max_per_worker == 2);
  CHECK(submission.steps[1].max_unavailable == 1);
  CHECK(submission.steps[2].count == 1);
  CHECK(submission.steps[2].long_running);
  CHECK(submission.steps[2].latency_target == Milliseconds(18));
  CHECK(submission.steps[2].gang);
  CHECK(submission.occurrences == 3);
  CHECK(submission.interval == Milliseconds(50));
}

// Guards against a malformed submission that ends the process or is accepted in
// part.
TEST_CASE("malformed submissions are rejected") {
  for (const char* body :
       {"", "[]", "{", R"({"spec":"x"})", R"({"steps":[]})", R"({"steps":{}})",
        R"({"steps":[1]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"count":0}]})", R"({"steps":[{"count":99999999}]})",
        R"({"steps":[{},{"after":[1]}]})", R"({"steps":[{"after":["a"]}]})"}) {
    CAPTURE(body);
    CHECK_FALSE(DecodeSubmission(kId, body).ok());
  }
}

// Guards against use of a worker whose registration is malformed, for example
// because another program wrote it.
TEST_CASE("malformed worker registrations are rejected") {
  const char* valid =
      R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clock-ms":5,"seq":4})";
  const auto worker = DecodeWorker("i-1", valid);
  REQUIRE(worker.ok());
  CHECK(worker.value().capacity.cpu == Millicores(16'000));
  CHECK(worker.value().rack == RackName("r1-3"));
  CHECK_FALSE(worker.value().draining);
  for (const char* invalid :
       {"\x01\xff", "{}", "7",
        R"({"service":7,"addr":"10.0.0.1:80","zone":"z","state":"ready"})",
        R"({"service":"s","addr":"?","zone":"z","state":"ready"})",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"odd"})",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready"})"}) {
    CAPTURE(invalid);
    CHECK_FALSE(DecodeWorker("i-1", invalid).ok());
  }
}

// Guards against one malformed route that invalidates the others.
TEST_CASE("a catalog keeps the valid routes when another is malformed") {
  const auto catalog = DecodeCatalog(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
      R"("target-latency-ms":250,"priority":0,"service":"s","attempts":4,)"
      R"("stretch":2.2},{"name":9},{"name":"h","host":"h","prefix":"/a/b/",)"
      R"("service":"s","hint":{"decide-ms":1}}],)"
      R"("services":[{"name":"s","admission-check":true},{"name":"t"}],)"
      R"("limits":{"max-body-bytes":1000}})");
  REQUIRE(catalog.ok());
  CHECK(catalog.value().revision == Revision(7));
  CHECK(catalog.value().routes.size() == 2);
  CHECK(catalog.value().max_body_bytes == 1'000);
  REQUIRE(catalog.value().services_without_admission_check.size() == 1);
  const auto* longest_match = catalog.value().Find("h", "/a/b/c");
  REQUIRE(longest_match != nullptr);
  CHECK(longest_match->needs_placement_advice);
  CHECK(catalog.value().Find("h", "/a/c")->policy.stretch == 2.2);
  CHECK(catalog.value().Find("other", "/a/c") == nullptr);
  CHECK_FALSE(DecodeCatalog("{}").ok());
}

// Guards against a run that the worker lists but decoding drops, so that the
// scheduler overlooks it.
TEST_CASE("a lease renewal reply is decoded completely or rejected") {
  const auto renewal = DecodeRenewReply(
      R"({"clock-ms":482113,"born":17,"running":[["a.0.1.17",2,"cp",41,7]],)"
      R"("ended":[[58,"a.0.1.9",1,"done",""]]})");
  REQUIRE(renewal.ok());
  CHECK(renewal.value().incarnation == dispatch::WorkerIncarnation(17));
  REQUIRE(renewal.value().running.size() == 1);
  CHECK(renewal.value().running[0].measured == 7);
  REQUIRE(renewal.value().ended.size() == 1);
  CHECK(renewal.value().ended[0].end_kind == RunEnd::kDone);
  for (const char* invalid : {"{}", R"({"clock-ms":1,"running":[["a"]]})",
                              R"({"clock-ms":1,"ended":[[1,"a",1,"odd",""]]})",
                              R"({"clock-ms":1,"running":7})"}) {
    CAPTURE(invalid);
    CHECK_FALSE(DecodeRenewReply(invalid).ok());
  }
}

// Guards against a list that is cut at its limit and taken for the whole, so
// that a task whose end comes later runs twice.
TEST_CASE("a list of 500 ends may go on") {
  const auto reply = [](int ends) {
    std::string body = R"({"clock-ms":1,"ended":[)";
    for (int i = 1; i <= ends; ++i) {
      if (i > 1) body += ",";
      body += "[" + std::to_string(i) + R"(,"a.0.0.1",1,"done",""])";
    }
    return DecodeRenewReply(body + "]}");
  };
  REQUIRE(reply(500).ok());
  CHECK_FALSE(reply(500).value().ends_complete);
  CHECK(reply(499).value().ends_complete);
}

// Guards against reporting a run as not started while its start command may
// still take effect.
TEST_CASE("only definite refusals are decoded as refusals") {
  CHECK(DecodeCommandReply(200, "{}") == CommandOutcome::kAccepted);
  CHECK(DecodeCommandReply(409, R"({"reason":"fence"})") ==
        CommandOutcome::kStaleFence);
  CHECK(DecodeCommandReply(409, R"({"reason":"old"})") ==
        CommandOutcome::kSuperseded);
  CHECK(DecodeCommandReply(409, R"({"reason":"room"})") ==
        CommandOutcome::kNoCapacity);
  CHECK(DecodeCommandReply(409, R"({"reason":"late"})") ==
        CommandOutcome::kLeaseExpired);
  CHECK(DecodeCommandReply(421, "") == CommandOutcome::kOtherIncarnation);
  CHECK(DecodeCommandReply(503, "") == CommandOutcome::kUnhealthy);
  CHECK(DecodeCommandReply(502, "") == CommandOutcome::kUnknown);
  CHECK(DecodeCommandReply(500, "") == CommandOutcome::kUnknown);
}

// Guards against row values that change on their way to or from the store.
TEST_CASE("base64 round-trips all byte values") {
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes.push_back(static_cast<char>(i));
    const auto decoded = DecodeBase64(EncodeBase64(bytes));
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == bytes);
  }
  CHECK(EncodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(DecodeBase64("!!!!").ok());
}

// Guards against a process that starts with incomplete settings.
TEST_CASE("settings errors name the missing or malformed field") {
  const std::string valid = R"(
node = "n1"
ip = "10.1.0.13"
zone = "z"
port-range = [7720,7735]
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
hold-limit-ms = 9000
[platform]
addr = "10.200.1.7:8169"
)";
  const auto settings = ParseSettings(valid);
  REQUIRE(settings.ok());
  CHECK(settings.value().first_port == 7720);
  CHECK(settings.value().max_lease == Milliseconds(9'000));
  const auto without_node = ParseSettings(valid.substr(valid.find("ip =")));
  REQUIRE_FALSE(without_node.ok());
  CHECK(without_node.error().subject == "node");
  std::string malformed = valid;
  malformed.replace(malformed.find("10.200.1.7:8169"), 15, "nowhere");
  CHECK(ParseSettings(malformed).error().subject == "platform.addr");
  CHECK_FALSE(ParseSettings("= =").ok());
}

// Guards against a refusal without a Retry-After header, and against "gone"
// (410) for a submission whose state is only unknown.
TEST_CASE("responses to callers match the result of the call") {
  dispatch::ServiceCall call;
  call.verb = dispatch::ServiceVerb::kState;
  dispatch::ServiceReply reply;
  reply.result = dispatch::ServiceResult::kOk;
  reply.state = dispatch::SubmissionState::kRunning;
  CHECK(EncodeResponse(call, reply).body == R"({"state":"running"})");
  reply.result = dispatch::ServiceResult::kNotFound;
  CHECK(EncodeResponse(call, reply).status == 410);
  reply.result = dispatch::ServiceResult::kUnknown;
  CHECK(EncodeResponse(call, reply).status == 504);
  reply.result = dispatch::ServiceResult::kRefused;
  reply.retry_after = Milliseconds(1'500);
  const auto refused = EncodeResponse(call, reply);
  CHECK(refused.status == 503);
  CHECK(refused.headers.Get("Retry-After") == "2");
  call.verb = dispatch::ServiceVerb::kPending;
  reply.result = dispatch::ServiceResult::kOk;
  reply.pending = 12;
  CHECK(EncodeResponse(call, reply).body == R"({"pending":12})");
}

}  // namespace
}  // namespace mangospread::platform
