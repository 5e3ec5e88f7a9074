#include "platform/codec.hpp"

#include <doctest/doctest.h>

#include "platform/base64.hpp"
#include "platform/front.hpp"
#include "platform/settings.hpp"
#include "platform/worker_link.hpp"

namespace mangospread::platform {
namespace {

using dispatch::OrderOutcome;
using dispatch::RunEnd;
using dispatch::SubmissionId;

const SubmissionId kId("5c0e7a21d94b36f8");

// Guards against a hand-in whose constraints are lost on the way.
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
  CHECK(submission.steps[1].fills);
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

// Guards against a malformed hand-in that ends the process or is half done.
TEST_CASE("malformed submissions are refused") {
  for (const char* body :
       {"", "[]", "{", R"({"spec":"x"})", R"({"steps":[]})", R"({"steps":{}})",
        R"({"steps":[1]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{"count":0}]})", R"({"steps":[{"count":99999999}]})",
        R"({"steps":[{},{"after":[1]}]})", R"({"steps":[{"after":["a"]}]})"}) {
    CAPTURE(body);
    CHECK_FALSE(DecodeSubmission(kId, body).ok());
  }
}

// Guards against a registration by another writer that names a worker to use.
TEST_CASE("malformed workers name no worker") {
  const char* good =
      R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",)"
      R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"clock-ms":5,"seq":4})";
  const auto worker = DecodeWorker("i-1", good);
  REQUIRE(worker.ok());
  CHECK(worker.value().capacity.cpu == Millicores(16'000));
  CHECK(worker.value().rack == RackName("r1-3"));
  CHECK_FALSE(worker.value().draining);
  for (const char* bad :
       {"\x01\xff", "{}", "7",
        R"({"service":7,"addr":"10.0.0.1:80","zone":"z","state":"ready"})",
        R"({"service":"s","addr":"?","zone":"z","state":"ready"})",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"odd"})",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready"})"}) {
    CAPTURE(bad);
    CHECK_FALSE(DecodeWorker("i-1", bad).ok());
  }
}

// Guards against one unreadable route that takes the others with it.
TEST_CASE("a catalog keeps the routes that can be read") {
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
  REQUIRE(catalog.value().unguarded_services.size() == 1);
  const auto* longest = catalog.value().Find("h", "/a/b/c");
  REQUIRE(longest != nullptr);
  CHECK(longest->needs_placement_advice);
  CHECK(catalog.value().Find("h", "/a/c")->policy.stretch == 2.2);
  CHECK(catalog.value().Find("other", "/a/c") == nullptr);
  CHECK_FALSE(DecodeCatalog("{}").ok());
}

// Guards against a run that a worker lists and the scheduler overlooks.
TEST_CASE("a hold report is decoded or refused as a whole") {
  const auto report = DecodeHoldReport(
      R"({"clock-ms":482113,"born":17,"running":[["a.0.1.17",2,"cp",41,7]],)"
      R"("ended":[[58,"a.0.1.9",1,"done",""]]})");
  REQUIRE(report.ok());
  CHECK(report.value().born == dispatch::WorkerBirth(17));
  REQUIRE(report.value().running.size() == 1);
  CHECK(report.value().running[0].measured == 7);
  REQUIRE(report.value().ended.size() == 1);
  CHECK(report.value().ended[0].how == RunEnd::kDone);
  for (const char* bad : {"{}", R"({"clock-ms":1,"running":[["a"]]})",
                          R"({"clock-ms":1,"ended":[[1,"a",1,"odd",""]]})",
                          R"({"clock-ms":1,"running":7})"}) {
    CAPTURE(bad);
    CHECK_FALSE(DecodeHoldReport(bad).ok());
  }
}

// Guards against "not started" for an order that may still take effect.
TEST_CASE("only definite refusals count as such") {
  CHECK(DecodeOrderReply(200, "{}") == OrderOutcome::kAccepted);
  CHECK(DecodeOrderReply(409, R"({"reason":"fence"})") ==
        OrderOutcome::kStaleFence);
  CHECK(DecodeOrderReply(409, R"({"reason":"old"})") ==
        OrderOutcome::kSuperseded);
  CHECK(DecodeOrderReply(409, R"({"reason":"room"})") == OrderOutcome::kNoRoom);
  CHECK(DecodeOrderReply(409, R"({"reason":"late"})") ==
        OrderOutcome::kLeaseOver);
  CHECK(DecodeOrderReply(421, "") == OrderOutcome::kOtherIncarnation);
  CHECK(DecodeOrderReply(503, "") == OrderOutcome::kUnhealthy);
  CHECK(DecodeOrderReply(502, "") == OrderOutcome::kUnknown);
  CHECK(DecodeOrderReply(500, "") == OrderOutcome::kUnknown);
}

TEST_CASE("base64 keeps all bytes") {
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes.push_back(static_cast<char>(i));
    const auto back = DecodeBase64(EncodeBase64(bytes));
    REQUIRE(back.ok());
    CHECK(back.value() == bytes);
  }
  CHECK(EncodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(DecodeBase64("!!!!").ok());
}

// Guards against a process that starts with half of its settings.
TEST_CASE("settings name the field that is missing or wrong") {
  const std::string good = R"(
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
  const auto settings = ParseSettings(good);
  REQUIRE(settings.ok());
  CHECK(settings.value().first_port == 7720);
  CHECK(settings.value().max_lease == Milliseconds(9'000));
  const auto without = ParseSettings(good.substr(good.find("ip =")));
  REQUIRE_FALSE(without.ok());
  CHECK(without.error().subject == "node");
  std::string wrong = good;
  wrong.replace(wrong.find("10.200.1.7:8169"), 15, "nowhere");
  CHECK(ParseSettings(wrong).error().subject == "platform.addr");
  CHECK_FALSE(ParseSettings("= =").ok());
}

// Guards against a refusal without advice when to come back, and against
// "never existed" for what is only unknown.
TEST_CASE("replies to callers say what is known") {
  dispatch::ServiceCall call;
  call.verb = dispatch::ServiceVerb::kState;
  dispatch::ServiceReply reply;
  reply.result = dispatch::ServiceResult::kOk;
  reply.state = dispatch::SubmissionState::kRunning;
  CHECK(EncodeReply(call, reply).body == R"({"state":"running"})");
  reply.result = dispatch::ServiceResult::kNotFound;
  CHECK(EncodeReply(call, reply).status == 410);
  reply.result = dispatch::ServiceResult::kUnknown;
  CHECK(EncodeReply(call, reply).status == 504);
  reply.result = dispatch::ServiceResult::kRefused;
  reply.retry_after = Milliseconds(1'500);
  const auto refused = EncodeReply(call, reply);
  CHECK(refused.status == 503);
  CHECK(refused.headers.Get("Retry-After") == "2");
  call.verb = dispatch::ServiceVerb::kPending;
  reply.result = dispatch::ServiceResult::kOk;
  reply.pending = 12;
  CHECK(EncodeReply(call, reply).body == R"({"pending":12})");
}

}  // namespace
}  // namespace mangospread::platform
