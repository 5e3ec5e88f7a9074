#include <doctest/doctest.h>

#include <random>
#include <string>

#include "dispatch/peer/frames.hpp"

namespace mangospread::dispatch {
namespace {

constexpr std::uint64_t kSeed = 20'261'205;
constexpr int kRounds = 500;
constexpr std::size_t kMaxTextBytes = 64;

/// A text of random bytes, every fourth of them zero.
class TextSource {
 public:
  std::string Next() {
    std::string text(random_() % kMaxTextBytes, '\0');
    for (char& byte : text) {
      if (random_() % 4 != 0) byte = static_cast<char>(random_());
    }
    return text;
  }

 private:
  std::mt19937_64 random_{kSeed};
};

template <typename T>
T RoundTrip(const Frame& frame) {
  auto decoded = DecodeFrame(EncodeFrame(frame));
  REQUIRE(decoded.ok());
  REQUIRE(std::holds_alternative<T>(decoded.value()));
  return std::get<T>(std::move(decoded.value()));
}

template <typename T>
T RoundTripCommand(const T& command) {
  return std::get<T>(RoundTrip<AgentCommand>(AgentCommand(command)));
}

WorkerInfo MakeWorker(TextSource& source) {
  WorkerInfo worker;
  worker.vm = VmName(source.Next());
  worker.service = ServiceName(source.Next());
  worker.address.ip = source.Next();
  worker.data_center = DataCenter(source.Next());
  worker.rack = RackName(source.Next());
  return worker;
}

void CheckWorker(const WorkerInfo& decoded, const WorkerInfo& worker) {
  CHECK(decoded.vm == worker.vm);
  CHECK(decoded.service == worker.service);
  CHECK(decoded.address.ip == worker.address.ip);
  CHECK(decoded.data_center == worker.data_center);
  CHECK(decoded.rack == worker.rack);
}

void CheckCommands(TextSource& source) {
  StartRun start;
  start.vm = VmName(source.Next());
  start.task = source.Next();
  start.spec = source.Next();
  start.checkpoint = source.Next();
  start.traits.image = ImageName(source.Next());
  const StartRun started = RoundTripCommand(start);
  CHECK(started.vm == start.vm);
  CHECK(started.task == start.task);
  CHECK(started.spec == start.spec);
  CHECK(started.checkpoint == start.checkpoint);
  CHECK(started.traits.image == start.traits.image);

  Assignment assignment;
  assignment.worker = MakeWorker(source);
  assignment.known_runs = {{source.Next(), Attempt(1), false}};
  const Assignment assigned = RoundTripCommand(assignment);
  CheckWorker(assigned.worker, assignment.worker);
  REQUIRE(assigned.known_runs);
  CHECK(assigned.known_runs->front().task ==
        assignment.known_runs->front().task);

  const VmName vm(source.Next());
  const std::string task = source.Next();
  CHECK(RoundTripCommand(DescribeRun{vm, task, Attempt(1), {}, 1}).task ==
        task);
  CHECK(RoundTripCommand(StopRun{vm, task, Attempt(1)}).task == task);
  CHECK(RoundTripCommand(ThrottleRun{vm, task, Attempt(1), 1}).task == task);
  CHECK(RoundTripCommand(AcknowledgeEnds{vm, {}, {}}).vm == vm);
  CHECK(RoundTripCommand(Release{vm}).vm == vm);
}

void CheckEvents(TextSource& source) {
  const VmName vm(source.Next());
  Attached attached;
  attached.unsent = {source.Next()};
  attached.running = {{source.Next(), Attempt(1), source.Next(), 1, 1}};
  attached.ended = {
      {EndNumber(1), source.Next(), Attempt(1), RunEnd::kDone, source.Next()}};
  const auto event =
      RoundTrip<AgentEvent>(AgentEvent{vm, WorkerFence(1), attached});
  CHECK(event.vm == vm);
  const auto& decoded = std::get<Attached>(event.details);
  CHECK(decoded.unsent == attached.unsent);
  CHECK(decoded.running[0].task == attached.running[0].task);
  CHECK(decoded.running[0].checkpoint == attached.running[0].checkpoint);
  CHECK(decoded.ended[0].task == attached.ended[0].task);
  CHECK(decoded.ended[0].checkpoint == attached.ended[0].checkpoint);

  const std::string task = source.Next();
  const auto started = RoundTrip<AgentEvent>(
      AgentEvent{vm, WorkerFence(1), RunStarted{task, Attempt(1)}});
  CHECK(std::get<RunStarted>(started.details).task == task);
  const auto load = RoundTrip<AgentEvent>(AgentEvent{
      vm, WorkerFence(1), WorkerLoad{{{task, Attempt(1), 1, 1}}, true}});
  CHECK(std::get<WorkerLoad>(load.details).runs[0].task == task);
}

void CheckOtherFrames(TextSource& source) {
  FormerLeaderRuns runs;
  runs.worker = MakeWorker(source);
  runs.runs = {{source.Next(), Attempt(1), false}};
  const auto reported = RoundTrip<FormerLeaderRuns>(runs);
  CheckWorker(reported.worker, runs.worker);
  CHECK(reported.runs[0].task == runs.runs[0].task);

  Hello hello;
  hello.node = NodeId(source.Next());
  hello.data_center = DataCenter(source.Next());
  hello.leader.node = NodeId(source.Next());
  hello.leader.address.ip = source.Next();
  const auto greeted = RoundTrip<Hello>(hello);
  CHECK(greeted.node == hello.node);
  CHECK(greeted.data_center == hello.data_center);
  CHECK(greeted.leader.node == hello.leader.node);
  CHECK(greeted.leader.address.ip == hello.leader.address.ip);

  CallFrame call;
  call.call.submission = SubmissionId(source.Next());
  call.call.policy.queue = QueueName(source.Next());
  call.call.policy.service = ServiceName(source.Next());
  call.call.payload = source.Next();
  const auto called = RoundTrip<CallFrame>(call);
  CHECK(called.call.submission == call.call.submission);
  CHECK(called.call.policy.queue == call.call.policy.queue);
  CHECK(called.call.policy.service == call.call.policy.service);
  CHECK(called.call.payload == call.call.payload);
}

// Guards against a text that is cut at its first zero byte, such as the spec of
// a task.
TEST_CASE("texts of any bytes arrive whole") {
  TextSource source;
  for (int round = 0; round < kRounds; ++round) {
    CheckCommands(source);
    CheckEvents(source);
    CheckOtherFrames(source);
  }
}

}  // namespace
}  // namespace mangospread::dispatch
