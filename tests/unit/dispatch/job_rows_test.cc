// Bounds and round trips of the rows that store progress.
#include "dispatch/leader/job_rows.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "dispatch/core/job.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/mutator.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr std::size_t kRowBytes = 65'536;
/// A transaction holds 1 MB in which values take a third more space.
constexpr std::size_t kTransactionBytes = 750'000;
constexpr MonotonicTime kNow{1'000};
/// Keeps the checks of many tasks out of the output.
using Rows = std::vector<std::string>;

Job MakeJob(const std::vector<int>& counts) {
  std::vector<StepSpec> steps;
  steps.reserve(counts.size());
  for (const int count : counts) {
    steps.push_back(DispatcherFixture::MakeStep(count, 250));
  }
  return {DispatcherFixture::MakeSubmission("aa", std::move(steps)),
          DispatcherFixture::Policy(), kNow, MonotonicTime(0)};
}

Rows Encode(const Job& job, std::size_t max_bytes = kRowBytes) {
  auto rows = EncodeProgressRows({QueueName("q"), job.Progress()}, max_bytes);
  REQUIRE(rows.ok());
  std::size_t total = 0;
  for (const std::string& row : rows.value()) {
    CHECK(row.size() <= max_bytes);
    total += row.size();
  }
  CHECK(total <= kTransactionBytes);
  return std::move(rows.value());
}

/// Reads rows as a leader does, in the order of their keys.
StoredProgress Read(const Rows& rows) {
  std::map<std::string, std::string> stored;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::string key =
        ProgressKey(SubmissionId("aa"), static_cast<int>(i));
    stored.emplace(key.substr(std::string(kProgressPrefix).size()), rows[i]);
  }
  StoredProgress progress;
  for (const auto& [key, value] : stored) CHECK(progress.Add(key, value));
  return progress;
}

/// Number of tasks that differ after a round trip.
int CountDifferences(const Job& job, const std::vector<int>& counts,
                     const Rows& rows) {
  Job restored = MakeJob(counts);
  restored.Restore(Read(rows).rows.at(SubmissionId("aa")).progress);
  int differences = 0;
  for (std::size_t s = 0; s < counts.size(); ++s) {
    for (std::size_t t = 0; t < job.steps()[s].tasks.size(); ++t) {
      const Task& expected = job.steps()[s].tasks[t];
      const Task& actual = restored.steps()[s].tasks[t];
      const bool done = expected.phase == TaskPhase::kDone;
      const bool same = done ? actual.phase == TaskPhase::kDone
                             : actual.phase == TaskPhase::kPending &&
                                   actual.failed_runs == expected.failed_runs &&
                                   actual.checkpoint == expected.checkpoint &&
                                   actual.losses == expected.losses;
      differences += same ? 0 : 1;
    }
  }
  return differences;
}

// Guards against a row that grows with the tasks that are done until the store
// does not accept it, and against tasks that run again after a takeover.
TEST_CASE("progress of any number of tasks is stored within the bound") {
  std::mt19937 random(7);
  for (const int tasks : {1, 2, 7, 500, 1'700, 2'999, 6'000, 100'000}) {
    for (const unsigned done_percent : {3U, 50U, 97U, 100U}) {
      CAPTURE(tasks);
      CAPTURE(done_percent);
      const std::vector<int> counts = {tasks, 1, tasks};
      Job job = MakeJob(counts);
      job.SetState(SubmissionState::kRunning);
      for (int s = 0; s < 3; s += 2) {
        for (int t = 0; t < tasks; ++t) {
          Task& task = *job.Find({s, t});
          const unsigned kind = random() % 100;
          if (kind < done_percent) {
            job.Finish({s, t}, kNow);
          } else if (random() % 20 == 0) {
            task.run = random() % 4'000;
            task.failed_runs = {1, task.run};
            task.checkpoint = "checkpoint " + std::to_string(t);
            task.losses = {{task.run, Suspicion::kSole, true}};
          }
        }
      }
      CHECK(CountDifferences(job, counts, Encode(job)) == 0);
    }
  }
}

// Guards against the worst order for ranges: every other task is done.
TEST_CASE("alternating tasks are stored within the bound") {
  const std::vector<int> counts = {100'000, 100'000};
  Job job = MakeJob(counts);
  for (int t = 0; t < 100'000; t += 2) {
    job.Finish({0, t}, kNow);
    job.Finish({1, t}, kNow);
  }
  const Rows rows = Encode(job);
  CHECK(rows.size() == 1);
  CHECK(CountDifferences(job, counts, rows) == 0);
}

// Guards against rows that a transaction does not hold.
TEST_CASE("too much progress is reported") {
  Job job = MakeJob({60'000});
  for (int t = 0; t < 60'000; ++t) job.Find({0, t})->checkpoint = "checkpoint";
  const auto rows =
      EncodeProgressRows({QueueName("q"), job.Progress()}, kRowBytes);
  REQUIRE_FALSE(rows.ok());
  CHECK(rows.error().code == Errc::kTooLarge);
  Job single = MakeJob({1});
  single.Find({0, 0})->checkpoint = std::string(kRowBytes, 'x');
  CHECK_FALSE(
      EncodeProgressRows({QueueName("q"), single.Progress()}, kRowBytes).ok());
}

// Guards against a submission that fails since too many of its long-running
// tasks have lost their runs at once, and against progress that only this list
// names and that is left out for it.
TEST_CASE("lost runs beyond the space of the rows are left out") {
  constexpr int kTasks = 60'000;
  StepSpec step = DispatcherFixture::MakeStep(kTasks, 250);
  step.long_running = true;
  Job job(DispatcherFixture::MakeSubmission("aa", {step}),
          DispatcherFixture::Policy(), kNow, MonotonicTime(0));
  for (int t = 0; t < kTasks; ++t) job.Find({0, t})->run = 1;
  job.Find({0, kTasks - 3})->checkpoint = "checkpoint";
  job.Find({0, kTasks - 2})->failed_runs = {1};
  job.Find({0, kTasks - 1})->losses = {{1, Suspicion::kSole, true}};
  const Rows rows = Encode(job);
  const StoredProgress stored = Read(rows);
  const auto& tasks = stored.rows.at(SubmissionId("aa")).progress.tasks;
  CHECK(tasks.size() > 20'000);
  const auto stores = [&tasks](int index) {
    return std::any_of(
        tasks.begin(), tasks.end(),
        [index](const TaskProgress& task) { return task.task.index == index; });
  };
  CHECK(stores(kTasks - 3));
  CHECK(stores(kTasks - 2));
  CHECK(stores(kTasks - 1));
}

// Guards against a second run of a task after the version before takes over: it
// reads only the list of tasks.
TEST_CASE("a row that fits lists its tasks as the version before does") {
  Job job = MakeJob({2'000});
  for (int t = 0; t < 2'000; ++t) job.Finish({0, t}, kNow);
  const Rows rows = Encode(job);
  REQUIRE(rows.size() == 1);
  const auto row = DecodeProgressRow(rows[0]);
  REQUIRE(row.ok());
  CHECK(row.value().progress.tasks.size() == 2'000);
  CHECK(row.value().progress.done.empty());
}

// Guards against a second run of tasks that the version before has stored.
TEST_CASE("a row of the version before is decoded") {
  const std::string row =
      R"({"queue":"q","state":"running","tasks":[[0,0,true,1,[],""],)"
      R"([0,2,false,3,[2,3],"cp",[[3,2,true]]]]})";
  const auto progress = Read({row}).rows.at(SubmissionId("aa")).progress;
  Job job = MakeJob({3});
  job.Restore(progress);
  CHECK(job.Find({0, 0})->phase == TaskPhase::kDone);
  CHECK(job.Find({0, 1})->phase == TaskPhase::kPending);
  CHECK(job.Find({0, 2})->checkpoint == "cp");
  CHECK(job.Find({0, 2})->losses.size() == 1);
}

// Guards against rows that the version before has left, after it has replaced
// the first one.
TEST_CASE("further rows that the first one does not name are not used") {
  const std::string first = R"({"queue":"q","state":"running","tasks":[]})";
  const std::string further =
      R"({"queue":"q","state":"running","tasks":[[0,0,false,1,[1],"old"]]})";
  const StoredProgress stored = Read({first, further, further});
  CHECK(stored.rows.at(SubmissionId("aa")).progress.tasks.empty());
  CHECK(stored.parts.at(SubmissionId("aa")) == 2);
}

// Guards against a leader that cannot start, or that marks tasks which do not
// exist, because a row is damaged.
TEST_CASE("damaged progress rows are decoded or rejected") {
  const std::vector<int> counts = {4'000, 3};
  Job job = MakeJob(counts);
  for (int t = 0; t < 4'000; ++t) {
    if (t % 1'000 != 0) job.Finish({0, t}, kNow);
  }
  job.Find({1, 2})->checkpoint = "cp";
  Job mixed = MakeJob(counts);
  for (int t = 0; t < 4'000; t += 2) mixed.Finish({0, t}, kNow);
  constexpr std::size_t kSmallRow = 2'000;
  const std::vector<std::string> valid = {Encode(job, kSmallRow)[0],
                                          Encode(mixed, kSmallRow)[0]};
  mangospread::test::Mutator mutator(53);
  constexpr int kMutations = 1'000;
  for (const std::string& text : valid) {
    for (int i = 0; i < kMutations; ++i) {
      StoredProgress stored;
      if (!stored.Add("aa", mutator.Mutate(text))) continue;
      Job restored = MakeJob(counts);
      restored.Restore(stored.rows.at(SubmissionId("aa")).progress);
      CHECK(restored.steps()[0].unfinished >= 0);
    }
  }
  for (const char* done :
       {R"("done":[1])", R"("done":[-1,2])", R"("done":[1,2147483647])",
        R"("done":7)", R"("done_bits":"A!")", R"("done_bits":[])",
        R"("parts":-1)"}) {
    CAPTURE(std::string(done));
    CHECK_FALSE(
        DecodeProgressRow(R"({"queue":"q","state":"running","tasks":[],)" +
                          std::string(done) + "}")
            .ok());
  }
}

// Guards against progress that the next leader decodes differently.
TEST_CASE("submission rows preserve every field") {
  JobRow job;
  job.policy.queue = QueueName("q");
  job.policy.service = ServiceName("s");
  job.policy.priority = 2;
  job.policy.attempts = 4;
  job.policy.stretch = 2.2;
  job.policy.latency_target = Milliseconds(250);
  job.accepted_at_ms = 77;
  job.payload = R"({"steps":[{}]})";
  const auto decoded = DecodeJobRow(EncodeJobRow(job));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().policy.queue == QueueName("q"));
  CHECK(decoded.value().policy.service == ServiceName("s"));
  CHECK(decoded.value().policy.priority == 2);
  CHECK(decoded.value().policy.attempts == 4);
  CHECK(decoded.value().policy.stretch == 2.2);
  CHECK(decoded.value().policy.latency_target == Milliseconds(250));
  CHECK(decoded.value().accepted_at_ms == 77);
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
  const auto decoded_progress =
      DecodeProgressRow(EncodeProgressRows(progress, 65'536).value()[0]);
  REQUIRE(decoded_progress.ok());
  REQUIRE(decoded_progress.value().progress.tasks.size() == 2);
  CHECK(decoded_progress.value().progress.tasks[0].losses == task.losses);
  CHECK(decoded_progress.value().progress.tasks[1].losses.empty());
  CHECK(decoded_progress.value().progress.tasks[0].task == TaskIndex{1, 2});
  CHECK(decoded_progress.value().queue == QueueName("q"));
  CHECK(decoded_progress.value().progress.state == SubmissionState::kRunning);
  CHECK(decoded_progress.value().progress.tasks[0].done);
  CHECK(decoded_progress.value().progress.tasks[0].run == 3);
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
}  // namespace mangospread::dispatch::test
