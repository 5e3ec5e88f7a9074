#include "dispatch/peer/frames.hpp"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <tuple>

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

// The overloads of Fields bind every member of a struct, so that the test does
// not compile until a new member is compared.

auto Fields(const RunId& item) {
  const auto& [task, run, just_started, percent, confirmed] = item;
  return std::tuple(task, run, just_started, percent, confirmed);
}

/// The registered process, labels, capacity beside the connections, and whether
/// the worker is listed or drains are used by the leader only and not sent.
auto Fields(const WorkerInfo& item) {
  const auto& [vm, incarnation, service, address, data_center, rack, labels,
               capacity, draining, listed, gone] = item;
  return std::tuple(vm, service, address, data_center, rack,
                    capacity.connections);
}

auto Fields(const RunTraits& item) {
  const auto& [long_running, best_effort, cpu, latency_target, image] = item;
  return std::tuple(long_running, best_effort, cpu, latency_target, image);
}

auto Fields(const RunningRun& item) {
  const auto& [task, run, checkpoint, percent, measured] = item;
  return std::tuple(task, run, checkpoint, percent, measured);
}

auto Fields(const EndedRun& item) {
  const auto& [number, task, run, end_kind, checkpoint] = item;
  return std::tuple(number, task, run, end_kind, checkpoint);
}

auto Fields(const RunSample& item) {
  const auto& [task, run, measured, percent] = item;
  return std::tuple(task, run, measured, percent);
}

auto Fields(const UnreportedLease& item) {
  const auto& [vm, assignment, lease_left] = item;
  return std::tuple(vm, assignment, lease_left);
}

template <typename T>
auto Fields(const std::vector<T>& items) {
  std::vector<decltype(Fields(items.front()))> fields;
  fields.reserve(items.size());
  for (const T& item : items) fields.push_back(Fields(item));
  return fields;
}

auto Fields(const Assignment& item) {
  const auto& [worker, known_runs, lease_left, fence, starts_before,
               normal_load_period, runs_as_of] = item;
  return std::tuple(Fields(worker), known_runs.has_value(),
                    Fields(known_runs.value_or(std::vector<RunId>())),
                    lease_left, fence, starts_before, normal_load_period,
                    runs_as_of);
}

auto Fields(const StartRun& item) {
  const auto& [vm, number, task, run, spec, checkpoint, traits, attachment,
               incarnation] = item;
  return std::tuple(vm, number, task, run, spec, checkpoint, Fields(traits),
                    attachment, incarnation);
}

auto Fields(const DescribeRun& item) {
  const auto& [vm, task, run, traits, percent] = item;
  return std::tuple(vm, task, run, Fields(traits), percent);
}

auto Fields(const StopRun& item) {
  const auto& [vm, task, run] = item;
  return std::tuple(vm, task, run);
}

auto Fields(const ThrottleRun& item) {
  const auto& [vm, task, run, percent] = item;
  return std::tuple(vm, task, run, percent);
}

auto Fields(const AcknowledgeEnds& item) {
  const auto& [vm, incarnation, number] = item;
  return std::tuple(vm, incarnation, number);
}

auto Fields(const Release& item) {
  const auto& [vm] = item;
  return std::tuple(vm);
}

auto Fields(const Attached& item) {
  const auto& [incarnation, starts_seen, unsent, running, ended, complete,
               attachment, restart_lease_left] = item;
  return std::tuple(incarnation, starts_seen, unsent, Fields(running),
                    Fields(ended), complete, attachment, restart_lease_left);
}

auto Fields(const RunEnded& item) {
  const auto& [incarnation, end] = item;
  return std::tuple(incarnation, Fields(end));
}

auto Fields(const RunNotStarted& item) {
  const auto& [task, run, reason] = item;
  return std::tuple(task, run, reason);
}

auto Fields(const RunStarted& item) {
  const auto& [task, run] = item;
  return std::tuple(task, run);
}

auto Fields(const RunStalled& item) {
  const auto& [task, run] = item;
  return std::tuple(task, run);
}

auto Fields(const WorkerUnreachable& item) {
  const auto& [lease_left] = item;
  return std::tuple(lease_left);
}

auto Fields(const WorkerSuperseded& /*item*/) { return std::tuple(); }

auto Fields(const WorkerEnded& /*item*/) { return std::tuple(); }

auto Fields(const WorkerLoad& item) {
  const auto& [runs, responding, lease_left, attachment] = item;
  return std::tuple(Fields(runs), responding, lease_left, attachment);
}

auto Fields(const FormerLeaderRuns& item) {
  const auto& [worker, runs, unreachable, ended, lease_left, renewing,
               runs_as_of] = item;
  return std::tuple(Fields(worker), Fields(runs), unreachable, ended,
                    lease_left, renewing, runs_as_of);
}

auto Fields(const ReportsEnd& item) {
  const auto& [process_age, unreported] = item;
  return std::tuple(process_age, Fields(unreported));
}

/// The version of a leader's row is not sent, since only the store gives it;
/// the leader's epoch is that of the frame.
auto Fields(const Hello& item) {
  const auto& [node, incarnation, epoch, leading, data_center, leader, yielding,
               last_grant_age, permission, worker_lease, numbers_attachments,
               ends_reports, max_work_bytes] = item;
  const auto& [leader_node, leader_process, address, leader_epoch, version] =
      leader;
  return std::tuple(node, incarnation, epoch, leading, data_center, leader_node,
                    leader_process, address, leader_epoch, yielding,
                    last_grant_age, permission, worker_lease,
                    numbers_attachments, ends_reports, max_work_bytes);
}

auto Fields(const Ping& item) {
  const auto& [sent_at, confirms, permission] = item;
  return std::tuple(sent_at, confirms, permission);
}

auto Fields(const CallFrame& item) {
  const auto& [id, call] = item;
  const auto& [verb, submission, policy, payload] = call;
  const auto& [queue, service, priority, attempts, stretch, latency_target] =
      policy;
  return std::tuple(id, verb, submission, queue, service, priority, attempts,
                    stretch, latency_target, payload);
}

auto Fields(const ReplyFrame& item) {
  const auto& [id, reply] = item;
  const auto& [result, state, pending, retry_after] = reply;
  return std::tuple(id, result, state, pending, retry_after);
}

/// Checks that all fields arrive; each must differ from its default.
template <typename T>
void CheckFrame(const T& frame) {
  CHECK((Fields(RoundTrip<T>(frame)) == Fields(frame)));
}

template <typename T>
void CheckCommand(const T& command) {
  CHECK((Fields(RoundTripCommand(command)) == Fields(command)));
}

template <typename T>
void CheckEvent(const T& details) {
  CHECK((Fields(RoundTripEvent(details)) == Fields(details)));
}

WorkerInfo MakeWorker() {
  WorkerInfo worker;
  worker.vm = VmName("w");
  worker.service = ServiceName("s");
  worker.address = {"10.0.0.1", 80};
  worker.data_center = DataCenter("d");
  worker.rack = RackName("r");
  worker.capacity.connections = 7;
  return worker;
}

// Guards against a field that an encoder or decoder omits.
TEST_CASE("commands preserve every field") {
  const RunTraits traits{true, true, Millicores(5), Milliseconds(6),
                         ImageName("i")};
  const VmName vm("w");
  const Attempt run(4);
  CheckCommand(Assignment{
      MakeWorker(),
      std::vector<RunId>{{"t", Attempt(2), true}, {"u", run, false}},
      Milliseconds(3), WorkerFence(7), 8, Milliseconds(9), WorkerFence(6)});
  CheckCommand(Assignment{
      MakeWorker(), std::vector<RunId>(), std::nullopt, WorkerFence(7), 8, {}});
  CheckCommand(Assignment{
      MakeWorker(), std::nullopt, Milliseconds(0), WorkerFence(7), 8, {}});
  CheckCommand(StartRun{vm, 3, "a.0.1.2", run, "spec", "cp", traits});
  CheckCommand(StartRun{vm, 3, "a.0.1.2", run, "spec", "cp", traits,
                        AttachmentNumber(5), WorkerIncarnation(6)});
  CheckCommand(DescribeRun{vm, "t", run, traits, 40});
  CheckCommand(StopRun{vm, "t", run});
  CheckCommand(ThrottleRun{vm, "t", run, 40});
  CheckCommand(AcknowledgeEnds{vm, WorkerIncarnation(5), EndNumber(6)});
  CheckCommand(Release{vm});
}

// Guards against a field that an encoder or decoder omits.
TEST_CASE("events preserve every field") {
  const Attempt run(3);
  const EndedRun end{EndNumber(4), "e", Attempt(5), RunEnd::kGangMemberEnded,
                     "x"};
  CheckEvent(Attached{
      WorkerIncarnation(1), 2, {"u"}, {{"t", run, "c", 50, 1.5}}, {end}});
  CheckEvent(Attached{WorkerIncarnation(1), 2, {}, {}, {end}, false});
  CheckEvent(
      Attached{WorkerIncarnation(1), 2, {}, {}, {}, true, AttachmentNumber(6)});
  CheckEvent(Attached{WorkerIncarnation(1),
                      2,
                      {},
                      {},
                      {},
                      true,
                      AttachmentNumber(6),
                      Milliseconds(9'000)});
  CheckEvent(RunEnded{WorkerIncarnation(1), end});
  CheckEvent(RunNotStarted{"t", run, CommandOutcome::kNoCapacity});
  CheckEvent(RunStarted{"t", run});
  CheckEvent(RunStalled{"t", run});
  CheckEvent(WorkerUnreachable{Milliseconds(5)});
  CheckEvent(WorkerSuperseded{});
  CheckEvent(WorkerEnded{});
  CheckEvent(WorkerLoad{{{"t", run, 1.5, 60}}, true});
  CheckEvent(WorkerLoad{{}, false});
  CheckEvent(WorkerLoad{{}, false, Milliseconds(7)});
  CheckEvent(WorkerLoad{{}, true, std::nullopt, AttachmentNumber(8)});
  const auto event = RoundTrip<AgentEvent>(
      AgentEvent{VmName("w"), WorkerFence(9), WorkerEnded{}});
  CHECK(event.vm == VmName("w"));
  CHECK(event.assignment == WorkerFence(9));
}

// Guards against a field that an encoder or decoder omits.
TEST_CASE("other frames preserve every field") {
  CheckFrame(FormerLeaderRuns{MakeWorker(),
                              {{"t", Attempt(2), true, 30, true}},
                              true,
                              false,
                              Milliseconds(1'500),
                              false,
                              WorkerFence(5)});
  CheckFrame(FormerLeaderRuns{MakeWorker(), {}, false, true, {}, true});
  CheckFrame(ReportsEnd{Milliseconds(12'000),
                        {{VmName("w"), WorkerFence(4), Milliseconds(700)}}});
  const LeaderRecord leader{
      NodeId("l"), Incarnation(4), {"10.0.0.2", 81}, Epoch(3), RowVersion()};
  CheckFrame(Hello{NodeId("n"), Incarnation(2), Epoch(3), true, DataCenter("d"),
                   leader, false});
  CheckFrame(Hello{NodeId("n"), Incarnation(2), Epoch(3), false,
                   DataCenter("d"), leader, true, Milliseconds(1'500)});
  CheckFrame(Hello{NodeId("n"), Incarnation(2), Epoch(3), true, DataCenter("d"),
                   leader, false, std::nullopt, Permission::kLeases,
                   Milliseconds(7'500)});
  CheckFrame(Hello{NodeId("n"), Incarnation(2), Epoch(3), false,
                   DataCenter("d"), leader, false, std::nullopt,
                   Permission::kNone, Milliseconds(7'500), true});
  CheckFrame(Hello{NodeId("n"), Incarnation(2), Epoch(3), true, DataCenter("d"),
                   leader, false, std::nullopt, std::nullopt,
                   Milliseconds(7'500), false, true, 67'108'864});
  CheckFrame(CallFrame{
      11,
      {ServiceVerb::kSubmit,
       SubmissionId("s"),
       {QueueName("q"), ServiceName("v"), 2, 3, 1.5, Milliseconds(250)},
       std::string("a\0b", 3)}});
  CheckFrame(ReplyFrame{12,
                        {ServiceResult::kRefused, SubmissionState::kFailed, 5,
                         Milliseconds(700)}});
  CheckFrame(Ping());
  CheckFrame(Ping{MonotonicTime(5), {}, Permission::kNone});
  CheckFrame(Ping{{}, MonotonicTime(7), Permission::kStarts});
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

// Guards against reading words from an unaligned address, and against a result
// that depends on the alignment: aligned frames are decoded without a copy.
TEST_CASE("a frame is decoded alike at any address") {
  const std::string frame =
      EncodeFrame(AgentCommand(StopRun{VmName("w"), "s-1.0.0.2", Attempt(3)}));
  for (std::size_t offset = 0; offset < sizeof(capnp::word); ++offset) {
    CAPTURE(offset);
    const std::string moved = std::string(offset, '\0') + frame;
    const auto decoded = DecodeFrame(std::string_view(moved).substr(offset));
    REQUIRE(decoded.ok());
    const auto& stop =
        std::get<StopRun>(std::get<AgentCommand>(decoded.value()));
    CHECK(stop.vm == VmName("w"));
    CHECK(stop.task == "s-1.0.0.2");
    CHECK(stop.run == Attempt(3));
  }
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

}  // namespace
}  // namespace mangospread::dispatch
