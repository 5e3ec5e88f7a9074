#include "dispatch/peer/frames.hpp"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "dispatch/leader/job_rows.hpp"
#include "dispatch/peer/schema/dispatch.capnp.h"

namespace mangospread::dispatch {
namespace {

template <typename T>
T RoundTrip(const Frame& frame) {
  auto decoded = DecodeFrame(EncodeFrame(frame));
  REQUIRE(decoded.ok());
  REQUIRE(std::holds_alternative<T>(decoded.value()));
  return std::get<T>(decoded.value());
}

template <typename T>
T RoundTripCommand(const T& command) {
  return std::get<T>(RoundTrip<AgentCommand>(AgentCommand(command)));
}

template <typename T>
T RoundTripEvent(const T& details) {
  return std::get<T>(
      RoundTrip<AgentEvent>(AgentEvent{VmName("w"), WorkerFence(9), details})
          .details);
}

// Guards against a field that an encoder or decoder omits.
TEST_CASE("frames preserve every field") {
  const StartRun start = RoundTripCommand(
      StartRun{VmName("w"),
               3,
               "a.0.1.2",
               Attempt(4),
               "spec",
               "cp",
               {true, true, Millicores(5), Milliseconds(6), ImageName("i")}});
  CHECK(start.number == 3);
  CHECK(start.run == Attempt(4));
  CHECK(start.checkpoint == "cp");
  CHECK(start.traits.latency_target == Milliseconds(6));
  CHECK(start.traits.image == ImageName("i"));

  Assignment assignment;
  assignment.worker.vm = VmName("w");
  assignment.worker.address = {"10.0.0.1", 80};
  assignment.fence = WorkerFence(7);
  assignment.starts_before = 8;
  const Assignment assigned = RoundTripCommand(assignment);
  CHECK(assigned.worker.address == assignment.worker.address);
  CHECK(assigned.fence == WorkerFence(7));
  CHECK(assigned.starts_before == 8);

  CHECK(
      RoundTripCommand(ThrottleRun{VmName("w"), "t", Attempt(1), 40}).percent ==
      40);
  CHECK(RoundTripCommand(Release{VmName("w")}).vm == VmName("w"));
  CHECK(RoundTripCommand(DescribeRun{VmName("w"), "t", Attempt(1), {}, 40})
            .percent == 40);
  CHECK(RoundTrip<FormerLeaderRuns>(
            FormerLeaderRuns{{}, {}, true, false, {}, false})
            .unreachable);
  const auto runs = RoundTrip<FormerLeaderRuns>(FormerLeaderRuns{
      {}, {{"t", Attempt(2), true}}, false, true, Milliseconds(1'500), true});
  CHECK(runs.renewing);
  CHECK(runs.lease_left == Milliseconds(1'500));
  CHECK(!RoundTrip<FormerLeaderRuns>(FormerLeaderRuns()).lease_left);
  CHECK(runs.ended);
  CHECK(runs.runs.at(0).run == Attempt(2));
  CHECK(runs.runs.at(0).just_started);
  CHECK_FALSE(RoundTripEvent(WorkerLoad{{}, false}).responding);
  CHECK(RoundTripEvent(WorkerLoad{}).responding);
  Hello hello;
  hello.leading = hello.yielding = true;
  CHECK(RoundTrip<Hello>(hello).leading);
  CHECK(RoundTrip<Hello>(hello).yielding);

  const Attached attached = RoundTripEvent(Attached{
      WorkerIncarnation(1),
      2,
      {"u"},
      {{"t", Attempt(3), "c", 50, 1.5}},
      {{EndNumber(4), "e", Attempt(5), RunEnd::kGangMemberEnded, "x"}}});
  CHECK(attached.starts_seen == 2);
  CHECK(attached.unsent.size() == 1);
  CHECK(attached.running.at(0).measured == 1.5);
  CHECK(attached.ended.at(0).end_kind == RunEnd::kGangMemberEnded);
  CHECK(RoundTripEvent(WorkerUnreachable{Milliseconds(5)}).lease_left ==
        Milliseconds(5));
  CHECK(RoundTripEvent(
            RunNotStarted{"t", Attempt(1), CommandOutcome::kNoCapacity})
            .reason == CommandOutcome::kNoCapacity);
  RoundTripEvent(WorkerSuperseded{});
  RoundTripEvent(WorkerEnded{});

  ServiceCall call;
  call.verb = ServiceVerb::kSubmit;
  call.submission = SubmissionId("s");
  call.policy.stretch = 1.5;
  call.payload = std::string("a\0b", 3);
  const CallFrame decoded_call = RoundTrip<CallFrame>(CallFrame{11, call});
  CHECK(decoded_call.id == 11);
  CHECK(decoded_call.call.payload == call.payload);
  CHECK(decoded_call.call.policy.stretch == 1.5);
}

// Guards against a damaged number that indexes a table out of bounds, such as
// that of the names of states.
TEST_CASE("frames with unknown enumerators are rejected") {
  constexpr std::uint8_t kUnknown = 200;
  CHECK_FALSE(
      DecodeFrame(EncodeFrame(ReplyFrame{
                      1, {static_cast<ServiceResult>(kUnknown), {}, 0, {}}}))
          .ok());
  CHECK_FALSE(DecodeFrame(EncodeFrame(ReplyFrame{
                              1,
                              {ServiceResult::kOk,
                               static_cast<SubmissionState>(kUnknown),
                               0,
                               {}}}))
                  .ok());
  CHECK_FALSE(
      DecodeFrame(
          EncodeFrame(CallFrame{
              1,
              {static_cast<ServiceVerb>(kUnknown), SubmissionId("s"), {}, ""}}))
          .ok());
  CHECK_FALSE(
      DecodeFrame(EncodeFrame(AgentEvent{
                      VmName("w"), WorkerFence(1),
                      RunNotStarted{"t", Attempt(1),
                                    static_cast<CommandOutcome>(kUnknown)}}))
          .ok());
  CHECK_FALSE(DecodeFrame(EncodeFrame(AgentEvent{
                              VmName("w"), WorkerFence(1),
                              RunEnded{WorkerIncarnation(1),
                                       {EndNumber(1),
                                        "t",
                                        Attempt(1),
                                        static_cast<RunEnd>(kUnknown),
                                        {}}}}))
                  .ok());
}

// Guards against an event of a later version, or a damaged one, that is taken
// for an unreachable worker without a lease, whose tasks then start elsewhere.
TEST_CASE("events of an unknown kind are rejected") {
  const auto encode = [](decltype(AgentEvent::details) details) {
    return EncodeFrame(
        AgentEvent{VmName("w"), WorkerFence(1), std::move(details)});
  };
  std::string bytes = encode(WorkerSuperseded{});
  const std::string other = encode(WorkerEnded{});
  REQUIRE(bytes.size() == other.size());
  const auto kind = std::mismatch(bytes.begin(), bytes.end(), other.begin());
  REQUIRE(kind.first != bytes.end());
  *kind.first = 100;
  CHECK_FALSE(DecodeFrame(bytes).ok());
}

// Guards against damaged bytes from a peer that crash the process.
TEST_CASE("decoding a damaged frame does not crash") {
  const std::string valid_frame = EncodeFrame(
      CallFrame{1, {ServiceVerb::kSubmit, SubmissionId("s"), {}, "payload"}});
  std::mt19937_64 random(3);
  for (int i = 0; i < 3'000; ++i) {
    std::string bytes = valid_frame;
    const auto changes = 1 + random() % 4;
    for (std::uint64_t change = 0; change < changes; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    (void)DecodeFrame(bytes).ok();
  }
  CHECK_FALSE(DecodeFrame("abc").ok());
}

// Guards against a frame of a few bytes that is decoded to millions of elements
// and exhausts the memory: elements without any data take no space on the wire.
TEST_CASE("a small frame cannot hold a huge list") {
  constexpr unsigned kElements = 4'000'000;
  constexpr unsigned kRunsPointer = 1;
  capnp::MallocMessageBuilder message;
  capnp::AnyStruct::Builder reported =
      message.initRoot<wire::Frame>().initRemembered();
  reported.getPointerSection()[kRunsPointer].initAs<capnp::List<capnp::Void>>(
      kElements);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  CHECK(bytes.size() < 200);
  CHECK_FALSE(
      DecodeFrame({reinterpret_cast<const char*>(bytes.begin()), bytes.size()})
          .ok());
  CHECK_FALSE(DecodeFrame("").ok());
}

// Guards against a bound on the size of decoded frames that refuses a large
// regular frame.
TEST_CASE("large frames are decoded completely") {
  constexpr std::size_t kRuns = 20'000;
  Attached attached;
  for (std::size_t i = 0; i < kRuns; ++i) {
    const std::string task = "5c0e7a21d94b36f8.0.0." + std::to_string(i);
    attached.running.push_back({task, Attempt(1), "", 1, 1});
    attached.ended.push_back(
        {EndNumber(i + 1), task, Attempt(1), RunEnd::kDone, ""});
    attached.unsent.emplace_back();
  }
  const Attached decoded = RoundTripEvent(attached);
  CHECK(decoded.running.size() == kRuns);
  CHECK(decoded.ended.size() == kRuns);
  CHECK(decoded.unsent.size() == kRuns);
  const std::string payload(1'000'000, 'x');
  const CallFrame call{1,
                       {ServiceVerb::kSubmit, SubmissionId("s"), {}, payload}};
  CHECK(RoundTrip<CallFrame>(call).call.payload == payload);
  const FormerLeaderRuns runs{{},   std::vector<RunId>(kRuns), false, false, {},
                              false};
  CHECK(RoundTrip<FormerLeaderRuns>(runs).runs.size() == kRuns);
}

// Guards against progress that the next leader decodes differently.
TEST_CASE("submission rows preserve every field") {
  JobRow job;
  job.policy.queue = QueueName("q");
  job.policy.service = ServiceName("s");
  job.policy.attempts = 4;
  job.policy.stretch = 2.2;
  job.policy.latency_target = Milliseconds(250);
  job.accepted_at_ms = 77;
  job.payload = R"({"steps":[{}]})";
  const auto decoded = DecodeJobRow(EncodeJobRow(job));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().policy.attempts == 4);
  CHECK(decoded.value().policy.latency_target == Milliseconds(250));
  CHECK(decoded.value().payload == job.payload);

  ProgressRow progress;
  progress.queue = QueueName("q");
  progress.progress.state = SubmissionState::kRunning;
  TaskProgress task;
  task.task = {1, 2};
  task.done = true;
  task.run = 3;
  task.failed_runs = {1, 3};
  task.checkpoint = "cp";
  task.losses = {{5, Suspicion::kSole, false}, {6, Suspicion::kPresent, true}};
  progress.progress.tasks = {task, TaskProgress{}};
  const auto decoded_progress = DecodeProgressRow(EncodeProgressRow(progress));
  REQUIRE(decoded_progress.ok());
  REQUIRE(decoded_progress.value().progress.tasks.size() == 2);
  CHECK(decoded_progress.value().progress.tasks[0].losses == task.losses);
  CHECK(decoded_progress.value().progress.tasks[1].losses.empty());
  CHECK(decoded_progress.value().progress.tasks[0].task == TaskIndex{1, 2});
  CHECK(decoded_progress.value().progress.tasks[0].checkpoint == "cp");
  CHECK(decoded_progress.value().progress.tasks[0].failed_runs ==
        task.failed_runs);
  CHECK_FALSE(DecodeProgressRow("{}").ok());
  const auto with_loss = [](const std::string& loss) {
    return DecodeProgressRow(
        R"({"queue":"q","state":"running","tasks":[[0,0,false,1,[],"",[)" +
        loss + "]]]}");
  };
  CHECK(with_loss("[1,3,true]").ok());
  CHECK_FALSE(with_loss("[1,4,true]").ok());
  CHECK_FALSE(with_loss("[1,-1,true]").ok());
  CHECK_FALSE(with_loss("[1,3]").ok());
  CHECK_FALSE(with_loss("7").ok());
  CHECK_FALSE(DecodeJobRow("7").ok());
}

}  // namespace
}  // namespace mangospread::dispatch
