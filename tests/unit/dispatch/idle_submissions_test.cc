// Submissions that have nothing running though a step is ready.
#include "dispatch/leader/idle_submissions.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "base/events.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WaitingTasks MakeIdle(const std::string& id, MonotonicTime idle,
                      WaitReason reason = WaitReason::kNoRoom) {
  WaitingTasks waiting;
  waiting.task.submission = SubmissionId(id);
  waiting.tasks = 1;
  waiting.wait = {reason, idle};
  waiting.runs.idle = idle;
  waiting.capacity = FreeCapacity{0.2, 2};
  return waiting;
}

int CountOf(const IdleSubmissions& idle, WaitReason reason) {
  return idle.counts()[static_cast<std::size_t>(reason)];
}

struct IdleFixture : DispatcherFixture {
  /// What waits, with free capacity.
  std::vector<WaitingTasks> Waiting() {
    auto waiting = dispatcher.Waiting(now, seconds(0));
    dispatcher.AddCapacity(waiting, now);
    return waiting;
  }
};

// Guards against waiting tasks of which nobody can say whether others of their
// submission run, and how full the service is.
TEST_CASE_FIXTURE(IdleFixture, "a waiting task shows what runs beside it") {
  AddWorker("w1", 4'000);
  AddWorker("w2", 4'000);
  Add("a", {MakeStep(3, 3'000)});
  CHECK(Decide().size() == 2);
  Event("w1", RunStarted{"a.0.0.0", Attempt(1)});
  now += seconds(4);
  auto waiting = Waiting();
  REQUIRE(waiting.size() == 2);
  for (const WaitingTasks& tasks : waiting) {
    CHECK(tasks.runs.running == 1);
    CHECK(tasks.runs.paused == 0);
    CHECK_FALSE(tasks.runs.idle);
    REQUIRE(tasks.capacity);
    CHECK(tasks.capacity->reserved == doctest::Approx(0.75));
    CHECK(tasks.capacity->fits == 0);
  }
  End("w1", 1, "a.0.0.0", 1, RunEnd::kDone);
  now += seconds(2);
  waiting = Waiting();
  REQUIRE_FALSE(waiting.empty());
  CHECK(waiting[0].runs.running == 0);
  CHECK(waiting[0].runs.idle == seconds(2));
  CHECK(waiting[0].capacity->reserved == doctest::Approx(0.375));
  CHECK(waiting[0].capacity->fits == 1);
}

// Guards against a submission that counts as idle before its turn.
TEST_CASE_FIXTURE(IdleFixture, "a submission that is not due is not idle") {
  AddWorker("w1");
  Submission later = MakeSubmission("later", {MakeStep(1, 1'000)});
  later.occurrences = 1;
  later.first_due = Milliseconds(900'000);
  dispatcher.Add(std::move(later), Policy(), now);
  const auto waiting = Waiting();
  REQUIRE(waiting.size() == 1);
  CHECK(waiting[0].runs.running == 0);
  CHECK_FALSE(waiting[0].runs.idle);
}

// Guards against a gang that counts as having room where one member has.
TEST_CASE_FIXTURE(IdleFixture, "a gang fits as a whole") {
  AddWorker("w1", 4'000);
  AddWorker("w2", 4'000);
  StepSpec gang = MakeStep(3, 1'000);
  gang.gang = true;
  Add("gang", {gang});
  const auto waiting = Waiting();
  REQUIRE(waiting.size() == 1);
  CHECK(waiting[0].capacity->fits == 2);
}

// Guards against room that is counted by processors alone.
TEST_CASE("the count of tasks that fit regards all resources and limits") {
  WorkerState worker;
  worker.info.capacity.cpu = Millicores(8'000);
  worker.info.capacity.memory = Mebibytes(1'000);
  worker.latency_critical_cpu = worker.cpu_used = Millicores(4'000);
  StepSpec spec = DispatcherFixture::MakeStep(1, 1'000);
  CHECK(FitCount(worker, spec, 100) == 4);
  CHECK(FitCount(worker, spec, 3) == 3);
  spec.best_effort = true;
  CHECK(FitCount(worker, spec, 100) == 6);
  spec.memory = Mebibytes(300);
  CHECK(FitCount(worker, spec, 100) == 3);
  spec.max_per_worker = 2;
  CHECK(FitCount(worker, spec, 100) == 2);
  spec.accelerators = Accelerators(1);
  CHECK(FitCount(worker, spec, 100) == 0);
}

// Guards against a submission whose state cannot be judged for 3 s at a time,
// and against lines about submissions that nothing is expected of.
TEST_CASE("an idle submission has a line at each check after 1 s") {
  IdleSubmissions idle;
  CHECK(idle.Update({MakeIdle("a", milliseconds(900))}, seconds(100))
            .due.empty());
  for (int second = 1; second < 10; ++second) {
    CHECK(idle.Update({MakeIdle("a", seconds(second))}, seconds(100 + second))
              .due.size() == 1);
  }
  WaitingTasks full = MakeIdle("a", seconds(20));
  full.capacity->reserved = 0.5;
  CHECK(idle.Update({full}, seconds(120)).due.size() == 1);  // The last line.
  CHECK(idle.Update({full}, seconds(121)).due.empty());
  WaitingTasks large = MakeIdle("a", seconds(22));
  large.capacity->fits = 1;
  CHECK(idle.Update({large}, seconds(122)).due.empty());
  for (const WaitReason reason :
       {WaitReason::kWorkerSilent, WaitReason::kRunUnconfirmed,
        WaitReason::kStopping, WaitReason::kTakeover}) {
    CHECK(idle.Update({MakeIdle("a", seconds(23), reason)}, seconds(123))
              .due.empty());
    CHECK(CountOf(idle, reason) == 1);
  }
}

// Guards against a submission that is judged by a step without room, although
// another step of it could run.
TEST_CASE("a submission is shown by the tasks that could run") {
  IdleSubmissions idle;
  WaitingTasks large = MakeIdle("a", seconds(9), WaitReason::kNoRoom);
  large.capacity->fits = 0;
  const WaitingTasks fitting = MakeIdle("a", seconds(3), WaitReason::kNotTried);
  const auto lines = idle.Update({large, fitting}, seconds(100));
  REQUIRE(lines.due.size() == 1);
  CHECK(lines.due[0].wait.reason == WaitReason::kNotTried);
  CHECK(CountOf(idle, WaitReason::kNotTried) == 1);
  CHECK(CountOf(idle, WaitReason::kNoRoom) == 0);
}

// Guards against lines without bound, and against a submission whose lines
// pause for the lines of others.
TEST_CASE("lines of idle submissions are bounded and go on for the same ones") {
  IdleSubmissions idle;
  for (int second = 2; second < 8; ++second) {
    std::vector<WaitingTasks> waiting;
    waiting.reserve(300);
    for (int i = 0; i < 300; ++i) {
      waiting.push_back(
          MakeIdle("s" + std::to_string(i), seconds(second) + milliseconds(i)));
    }
    const auto lines = idle.Update(std::move(waiting), seconds(100 + second));
    REQUIRE(lines.due.size() == IdleSubmissions::kMaxLines);
    CHECK(lines.left_out == 300 - IdleSubmissions::kMaxLines);
    CHECK(lines.due[0].task.submission == SubmissionId("s299"));
  }
}

// Guards against a duration that ends with the submission's wait for one
// reason and goes on with the next one.
TEST_CASE("the time of an idle submission is measured once, at its end") {
  IdleSubmissions idle;
  CHECK(idle.Update({MakeIdle("a", seconds(1))}, seconds(101)).ended.empty());
  CHECK(idle.Update({MakeIdle("a", seconds(4), WaitReason::kNotTried)},
                    seconds(104))
            .ended.empty());
  CHECK(idle.Update({}, seconds(105)).ended ==
        std::vector<MonotonicTime>{seconds(5)});
  CHECK(idle.Update({}, seconds(106)).ended.empty());
}

// Guards against a time that includes one in which a task of the submission
// ran: a paused task counts from before, if it was heavily throttled then.
TEST_CASE("a submission that ran at the last check is idle since then") {
  IdleSubmissions idle;
  CHECK(idle.Update({}, seconds(100)).due.empty());
  const auto paused = MakeIdle("a", seconds(9), WaitReason::kPaused);
  auto lines = idle.Update({paused}, seconds(102));
  REQUIRE(lines.due.size() == 1);
  CHECK(lines.due[0].runs.idle == seconds(2));
  lines = idle.Update({MakeIdle("a", milliseconds(500))}, seconds(103));
  CHECK(lines.ended == std::vector<MonotonicTime>{milliseconds(2'500)});
  REQUIRE(lines.due.size() == 1);
  CHECK(lines.due[0].runs.idle == milliseconds(500));
}

/// The log lines that are written while it exists.
class CapturedLog {
 public:
  CapturedLog() : file_(std::tmpfile()), stderr_copy_(dup(STDERR_FILENO)) {
    base::FlushLog();
    dup2(fileno(file_), STDERR_FILENO);
  }
  ~CapturedLog() {
    Restore();
    std::fclose(file_);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// Ends the capture.
  std::string Take() {
    Restore();
    std::rewind(file_);
    std::string text;
    std::array<char, 4'096> part{};
    while (const auto size = std::fread(part.data(), 1, part.size(), file_)) {
      text.append(part.data(), size);
    }
    return text;
  }

 private:
  void Restore() {
    if (stderr_copy_ < 0) return;
    base::FlushLog();
    dup2(stderr_copy_, STDERR_FILENO);
    close(stderr_copy_);
    stderr_copy_ = -1;
  }

  std::FILE* file_;
  int stderr_copy_;
};

// Guards against a leader that judges idle submissions but does not log them
// often enough to check that something of them runs within 3 s.
TEST_CASE_FIXTURE(LeaderFixture,
                  "the leader logs an idle submission each second") {
  PlaceOnOneOfTwo();  // The start is never confirmed.
  CapturedLog log;
  RunFor(seconds(10));
  const std::string text = log.Take();
  int lines = 0;
  for (std::size_t at = text.find("cause=idle"); at != std::string::npos;
       at = text.find("cause=idle", at + 1)) {
    ++lines;
  }
  CHECK(lines >= 10);
  CHECK(lines <= 15);
  CHECK(text.find("reason=start_unconfirmed") != std::string::npos);
  CHECK(text.find(" running=0 paused=0 idle_ms=") != std::string::npos);
  CHECK(leader->idle_counts()[static_cast<std::size_t>(
            WaitReason::kStartUnconfirmed)] == 1);
}

}  // namespace
}  // namespace mangospread::dispatch::test
