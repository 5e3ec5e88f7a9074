#include "dispatch/peer/frames.hpp"

#include <doctest/doctest.h>

#include <random>

#include "dispatch/leader/job_rows.hpp"

namespace mangospread::dispatch {
namespace {

template <typename T>
T Through(const Frame& frame) {
  auto back = DecodeFrame(EncodeFrame(frame));
  REQUIRE(back.ok());
  REQUIRE(std::holds_alternative<T>(back.value()));
  return std::get<T>(back.value());
}

template <typename T>
T ThroughOrder(const T& order) {
  return std::get<T>(Through<AgentOrder>(AgentOrder(order)));
}

template <typename T>
T ThroughEvent(const T& what) {
  return std::get<T>(
      Through<AgentEvent>(AgentEvent{VmName("w"), WorkerFence(9), what}).what);
}

// Guards against a field that is lost between two nodes.
TEST_CASE("frames keep every field") {
  const StartRun start = ThroughOrder(
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
  const Assignment assigned = ThroughOrder(assignment);
  CHECK(assigned.worker.address == assignment.worker.address);
  CHECK(assigned.fence == WorkerFence(7));
  CHECK(assigned.starts_before == 8);

  CHECK(ThroughOrder(PaceRun{VmName("w"), "t", Attempt(1), 40}).percent == 40);
  CHECK(ThroughOrder(Release{VmName("w")}).vm == VmName("w"));

  const Attached attached = ThroughEvent(
      Attached{WorkerBirth(1),
               2,
               {"u"},
               {{"t", Attempt(3), "c", 50, 1.5}},
               {{EndNumber(4), "e", Attempt(5), RunEnd::kBroken, "x"}}});
  CHECK(attached.starts_seen == 2);
  CHECK(attached.unsent.size() == 1);
  CHECK(attached.running.at(0).measured == 1.5);
  CHECK(attached.ended.at(0).how == RunEnd::kBroken);
  CHECK(ThroughEvent(WorkerUnreachable{Milliseconds(5)}).lease_left ==
        Milliseconds(5));
  CHECK(
      ThroughEvent(RunNotStarted{"t", Attempt(1), OrderOutcome::kNoRoom}).why ==
      OrderOutcome::kNoRoom);
  ThroughEvent(WorkerSuperseded{});
  ThroughEvent(WorkerEnded{});

  ServiceCall call;
  call.verb = ServiceVerb::kSubmit;
  call.submission = SubmissionId("s");
  call.policy.stretch = 1.5;
  call.payload = std::string("a\0b", 3);
  const CallFrame asked = Through<CallFrame>(CallFrame{11, call});
  CHECK(asked.id == 11);
  CHECK(asked.call.payload == call.payload);
  CHECK(asked.call.policy.stretch == 1.5);
}

// Guards against a peer whose bytes end this process.
TEST_CASE("damaged frames are refused") {
  const std::string good = EncodeFrame(
      CallFrame{1, {ServiceVerb::kSubmit, SubmissionId("s"), {}, "payload"}});
  std::mt19937_64 random(3);
  for (int i = 0; i < 3'000; ++i) {
    std::string bytes = good;
    const auto changes = 1 + random() % 4;
    for (std::uint64_t c = 0; c < changes; ++c) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    (void)DecodeFrame(bytes).ok();
  }
  CHECK_FALSE(DecodeFrame("abc").ok());
}

// Guards against progress that a next leader reads differently.
TEST_CASE("rows of submissions keep every field") {
  JobRow job;
  job.policy.queue = QueueName("q");
  job.policy.service = ServiceName("s");
  job.policy.attempts = 4;
  job.policy.stretch = 2.2;
  job.policy.latency_target = Milliseconds(250);
  job.accepted_at_ms = 77;
  job.payload = R"({"steps":[{}]})";
  const auto back = DecodeJobRow(EncodeJobRow(job));
  REQUIRE(back.ok());
  CHECK(back.value().policy.attempts == 4);
  CHECK(back.value().policy.latency_target == Milliseconds(250));
  CHECK(back.value().payload == job.payload);

  ProgressRow progress;
  progress.queue = QueueName("q");
  progress.progress.state = SubmissionState::kRunning;
  TaskProgress task;
  task.task = {1, 2};
  task.done = true;
  task.run = 3;
  task.failed_runs = {1, 3};
  task.checkpoint = "cp";
  progress.progress.tasks = {task};
  const auto kept = DecodeProgressRow(EncodeProgressRow(progress));
  REQUIRE(kept.ok());
  REQUIRE(kept.value().progress.tasks.size() == 1);
  CHECK(kept.value().progress.tasks[0].task == TaskIndex{1, 2});
  CHECK(kept.value().progress.tasks[0].checkpoint == "cp");
  CHECK(kept.value().progress.tasks[0].failed_runs == task.failed_runs);
  CHECK_FALSE(DecodeProgressRow("{}").ok());
  CHECK_FALSE(DecodeJobRow("7").ok());
}

}  // namespace
}  // namespace mangospread::dispatch
