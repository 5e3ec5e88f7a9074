// Feeds mutated input to every decoder of the managed nodes and hands what they
// accept to the components that use it. The seeds are fixed; sanitizers detect
// errors in addition to the checks here. MANGOSPREAD_FUZZ_FACTOR multiplies the
// number of mutations.
#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "base/json/json_writer.hpp"
#include "dispatch/leader/interference_row.hpp"
#include "dispatch/leader/job_rows.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/peer/frames.hpp"
#include "platform/base64.hpp"
#include "platform/codec.hpp"
#include "platform/settings.hpp"
#include "platform/worker_link.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/mutator.hpp"

namespace mangospread::platform {
namespace {

using dispatch::test::DispatcherFixture;
using nlohmann::json;

constexpr std::size_t kRowBytes = 65'536;
constexpr int kMutationsPerInput = 1'000;

const dispatch::SubmissionId kId("a");

const char* const kSubmission =
    R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem-mb":256,"gpu":0,)"
    R"("estimate-ms":900,"affinity":"r1"},{"count":3,"cpu":100,"after":[0],)"
    R"("checkpoint":true,"gang":true,"image":"i","anti-affinity":2},)"
    R"({"long-running":true,"target-ms":18,"image":"j","fills":false,)"
    R"("max-unavailable":1},{"fills":true,"cpu":50,"image":"k"}],)"
    R"("times":2,"start-at-ms":1000,"interval-ms":50})";
const char* const kWorker =
    R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},"labels":["a","r1"]})";
const char* const kRenewal =
    R"({"clock-ms":482113,"born":17,"running":[["a.0.0.0",1,"cp",41,7],)"
    R"(["a.0.2.0",1,"",100,12],["a.0.3.0",1,"",5,900]],)"
    R"("ended":[[1,"a.0.0.1",1,"done",""],[2,"a.0.1.0",1,"failed","c"]]})";
const char* const kCatalog =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("target-latency-ms":250,"priority":0,"service":"s","attempts":4,)"
    R"("stretch":2.2,"hint":{"decide-ms":1}}],"services":[{"name":"s",)"
    R"("admission-check":true}],"limits":{"max-body-bytes":1000}})";
const char* const kProgress =
    R"({"queue":"q","state":"running","tasks":[[0,0,true,1,[],""],)"
    R"([1,1,false,3,[1,2],"cp",[[5,3,true]]]]})";
const char* const kInterference =
    R"([["j",4.5,0.45,0.02,[["k",0.03,0.001],["l",0.01,0.0009]]]])";
const char* const kJob =
    R"({"queue":"q","service":"s","priority":1,"attempts":3,"stretch":2.5,)"
    R"("target_ms":250,"accepted_at_ms":77,"payload":"{}"})";
const char* const kLeader =
    R"({"node":"n","incarnation":5,"ip":"10.0.0.1","port":80,"epoch":7})";
const char* const kSettings =
    "node = \"n1\"\nip = \"10.0.0.1\"\nzone = \"z\"\n"
    "port-range = [7000, 7009]\norders = \"rpc\"\n[listen]\n"
    "front = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n[platform]\n"
    "addr = \"10.0.0.9:90\"\nwrites-per-s = 40.0\n[limits]\n"
    "cpu-share = 0.25\n[bounds]\nhold-limit-ms = 10000\ngrace-s = 6.0\n";

int Mutations() {
  const char* factor = std::getenv("MANGOSPREAD_FUZZ_FACTOR");
  return kMutationsPerInput * (factor == nullptr ? 1 : std::atoi(factor));
}

/// Calls `decode` with mutations of the bytes of `valid`.
void FuzzBytes(std::uint64_t seed, const std::string& valid,
               const std::function<void(const std::string&)>& decode) {
  test::Mutator mutator(seed);
  decode(valid);
  for (int i = Mutations(); i > 0; --i) decode(mutator.Mutate(valid));
}

/// Calls `decode` with mutations of the bytes and of the values of `valid`.
void FuzzJson(std::uint64_t seed, const char* valid,
              const std::function<void(const std::string&)>& decode) {
  FuzzBytes(seed, valid, decode);
  test::JsonMutator mutator(seed);
  const json document = json::parse(valid);
  for (int i = Mutations(); i > 0; --i) {
    decode(base::DumpJson(mutator.Mutate(document)));
  }
}

/// A dispatcher with two workers and the submission kSubmission, of which tasks
/// are running.
struct Dispatch : DispatcherFixture {
  Dispatch() {
    AddWorker("w1");
    AddWorker("w2");
    auto submission = DecodeSubmission(kId, kSubmission);
    dispatcher.Add(std::move(submission.value()), Policy(), now);
    dispatcher.Decide(now);
  }

  void Advance() {
    now += Milliseconds(500);
    dispatcher.Decide(now);
    commands.clear();
    save_requests.clear();
  }
};

// Guards against a submission or a progress row that ends the process or puts
// the dispatcher into a state without an end.
TEST_CASE("mutated submissions are rejected or can be dispatched") {
  FuzzJson(41, kSubmission, [](const std::string& text) {
    auto submission = DecodeSubmission(kId, text);
    if (!submission.ok()) return;
    DispatcherFixture fixture;
    fixture.AddWorker("w1");
    fixture.dispatcher.Add(submission.value(), DispatcherFixture::Policy(),
                           fixture.now);
    fixture.dispatcher.Decide(fixture.now);
    CHECK(fixture.dispatcher.State(kId).has_value());
  });
  const auto submission = DecodeSubmission(kId, kSubmission);
  FuzzJson(42, kProgress, [&](const std::string& text) {
    const auto row = dispatch::DecodeProgressRow(text);
    if (!row.ok()) return;
    DispatcherFixture fixture;
    fixture.AddWorker("w1");
    fixture.dispatcher.Restore(submission.value(), DispatcherFixture::Policy(),
                               row.value().progress, fixture.now);
    fixture.dispatcher.Resume();
    fixture.dispatcher.Decide(fixture.now);
    CHECK(dispatch::DecodeProgressRow(
              dispatch::EncodeProgressRow(row.value(), kRowBytes).value())
              .ok());
  });
}

// Guards against an entry of another writer that ends the process.
TEST_CASE("mutated worker entries are rejected or can be used") {
  FuzzJson(43, kWorker, [](const std::string& text) {
    const auto worker = DecodeWorker("w1", text);
    if (!worker.ok()) return;
    CHECK(worker.value().capacity.cpu >= Millicores(0));
    CHECK(worker.value().address.port > 0);
    Dispatch target;
    target.dispatcher.OnWorker(worker.value());
    target.Advance();
  });
}

// Guards against a worker's reply that ends the leader's process.
TEST_CASE("mutated renewal replies are rejected or can be used") {
  FuzzJson(44, kRenewal, [](const std::string& text) {
    const auto reply = DecodeRenewReply(text);
    if (!reply.ok()) return;
    Dispatch target;
    const auto& renewal = reply.value();
    target.Event(
        "w1", dispatch::Attached{
                  renewal.incarnation, 0, {}, renewal.running, renewal.ended});
    for (int i = 0; i < 3; ++i) {
      dispatch::WorkerLoad load;
      for (const auto& run : renewal.running) {
        load.runs.push_back({run.task, run.run, run.measured, run.percent});
      }
      target.Event("w1", load);
      target.Advance();
    }
    for (const auto& end : renewal.ended) {
      target.Event("w1", dispatch::RunEnded{renewal.incarnation, end});
    }
    target.Advance();
  });
  FuzzJson(
      45, R"({"clock-ms":1,"reason":"fence"})",
      [](const std::string& text) { (void)DecodeCommandReply(409, text); });
}

// Guards against a row of the system itself that ends every process that reads
// it.
TEST_CASE("mutated rows are decoded or rejected") {
  FuzzJson(46, kCatalog, [](const std::string& text) {
    const auto catalog = DecodeCatalog(text);
    if (catalog.ok()) (void)catalog.value().Find("h", "/a/x");
  });
  FuzzJson(47, kInterference, [](const std::string& text) {
    const auto learned = dispatch::DecodeInterference(text);
    if (!learned.ok()) return;
    CHECK(dispatch::DecodeInterference(
              dispatch::EncodeInterference(learned.value()))
              .ok());
    dispatch::InterferenceModel model;
    model.Import(learned.value());
    const dispatch::ImageName image("j");
    const dispatch::ImageName best_effort("k");
    const dispatch::InterferenceSample before{
        MonotonicTime(1), 12, Milliseconds(18), {{best_effort, 0.5}}};
    const dispatch::InterferenceSample after{
        MonotonicTime(500'000'000), 17, Milliseconds(18), {{best_effort, 2}}};
    model.Learn(image, before, after);
    const auto effect = model.Effect(best_effort, image);
    CHECK(effect == effect);
    const auto high = model.HighBaseUtilisation(image);
    CHECK(high == high);
  });
  FuzzJson(48, kJob, [](const std::string& text) {
    const auto job = dispatch::DecodeJobRow(text);
    if (job.ok()) CHECK(job.value().policy.attempts >= 1);
  });
  FuzzJson(49, kLeader, [](const std::string& text) {
    const auto leader = dispatch::DecodeLeader(text);
    if (leader.ok()) CHECK(leader.value().epoch.value() >= 1);
  });
  FuzzBytes(50, EncodeBase64(kWorker), [](const std::string& text) {
    const std::vector<char> exact(text.begin(), text.end());
    (void)DecodeBase64({exact.data(), exact.size()}).ok();
  });
  FuzzBytes(51, kSettings,
            [](const std::string& text) { (void)ParseSettings(text).ok(); });
}

// Guards against a damaged frame that ends the process, at its decoder or at
// the dispatcher that receives the event.
TEST_CASE("mutated frames are rejected or can be dispatched") {
  using namespace dispatch;  // NOLINT
  const auto event = [](decltype(AgentEvent::details) details) {
    return Frame(AgentEvent{VmName("w1"), WorkerFence(1), std::move(details)});
  };
  Assignment assignment;
  assignment.worker.vm = VmName("w1");
  assignment.known_runs = std::vector<RunId>{{"a.0.0.0", Attempt(1)}};
  const std::vector<Frame> frames = {
      Hello(),
      AgentCommand(assignment),
      AgentCommand(
          StartRun{VmName("w1"), 1, "a.0.0.0", Attempt(1), "s", "c", {}}),
      CallFrame{1, {ServiceVerb::kSubmit, SubmissionId("a"), {}, "p"}},
      ReplyFrame{1, {}},
      FormerLeaderRuns{{}, {{"a.0.0.0", Attempt(1)}}, true, true, {}, false},
      event(Attached{
          WorkerIncarnation(1),
          2,
          {"a.0.0.1"},
          {{"a.0.0.0", Attempt(1), "c", 5, 1}},
          {{EndNumber(1), "a.0.0.1", Attempt(1), RunEnd::kDone, "c"}}}),
      event(
          RunEnded{WorkerIncarnation(1),
                   {EndNumber(3), "a.0.0.0", Attempt(1), RunEnd::kFailed, ""}}),
      event(RunStarted{"a.0.0.0", Attempt(1)}),
      event(RunNotStarted{"a.0.0.0", Attempt(1), CommandOutcome::kInvalid}),
      event(WorkerLoad{{{"a.0.2.0", Attempt(1), 25, 100},
                        {"a.0.3.0", Attempt(1), 500, 5}}})};
  std::mt19937_64 random(52);
  for (const Frame& frame : frames) {
    const std::string valid = EncodeFrame(frame);
    for (int i = Mutations(); i > 0; --i) {
      std::string bytes = valid;
      for (auto changes = 1 + random() % 4; changes > 0; --changes) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      if (random() % 8 == 0) bytes.resize(random() % bytes.size());
      const auto decoded = DecodeFrame(bytes);
      if (!decoded.ok()) continue;
      const auto* received = std::get_if<AgentEvent>(&decoded.value());
      if (received == nullptr) continue;
      Dispatch target;
      target.dispatcher.OnEvent(*received, target.now);
      target.Advance();
    }
  }
}

}  // namespace
}  // namespace mangospread::platform
