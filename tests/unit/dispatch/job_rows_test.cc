// Bounds and round trips of the rows that store progress.
#include "dispatch/leader/job_rows.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/core/job.hpp"
#include "dispatch/leader/progress_writes.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/mutator.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr std::size_t kRowBytes = 65'536;
constexpr MonotonicTime kNow{1'000};
const SubmissionId kJobId("aa");
/// The stored rows by key.
using Rows = std::map<std::string, std::string>;

Job MakeJob(const std::vector<int>& counts) {
  std::vector<StepSpec> steps;
  steps.reserve(counts.size());
  for (const int count : counts) {
    steps.push_back(DispatcherFixture::MakeStep(count, 250));
  }
  return {DispatcherFixture::MakeSubmission("aa", std::move(steps)),
          DispatcherFixture::Policy(), kNow, MonotonicTime(0)};
}

std::vector<ProgressWrite> Plan(const Job& job,
                                const FurtherProgressRows& stored,
                                std::size_t max_bytes = kRowBytes) {
  auto writes = PlanProgressWrites(kJobId, {QueueName("q"), job.Progress()},
                                   stored, max_bytes);
  REQUIRE(writes.ok());
  return std::move(writes.value());
}

void Apply(const ProgressWrite& write, Rows& rows) {
  if (write.write.value) {
    rows[write.write.key] = *write.write.value;
  } else {
    rows.erase(write.write.key);
  }
}

Rows Encode(const Job& job) {
  Rows rows;
  for (const ProgressWrite& write : Plan(job, {})) {
    CHECK(write.write.value->size() <= kRowBytes);
    Apply(write, rows);
  }
  return rows;
}

/// Reads rows as a leader does, in the order of their keys.
StoredProgress Read(const Rows& rows) {
  StoredProgress progress;
  for (const auto& [key, value] : rows) {
    CHECK(progress.Add(key.substr(std::string(kProgressPrefix).size()), value));
  }
  return progress;
}

/// The rows of a former version: the first one and further ones.
Rows FormerRows(const std::vector<std::string>& values) {
  Rows rows;
  for (std::size_t i = 0; i < values.size(); ++i) {
    rows.emplace(ProgressKey(kJobId, static_cast<int>(i)), values[i]);
  }
  return rows;
}

bool IsSame(const Task& expected, const Task& actual) {
  if (expected.phase == TaskPhase::kDone || actual.phase == TaskPhase::kDone) {
    return expected.phase == actual.phase;
  }
  return actual.failed_runs == expected.failed_runs &&
         actual.checkpoint == expected.checkpoint &&
         actual.losses == expected.losses;
}

/// Number of tasks that differ after a round trip.
int CountDifferences(const Job& job, const std::vector<int>& counts,
                     const Rows& rows) {
  Job restored = MakeJob(counts);
  restored.Restore(Read(rows).rows.at(kJobId).progress);
  int differences = 0;
  for (std::size_t s = 0; s < counts.size(); ++s) {
    for (std::size_t t = 0; t < job.steps()[s].tasks.size(); ++t) {
      const bool same =
          IsSame(job.steps()[s].tasks[t], restored.steps()[s].tasks[t]);
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

// Guards against a submission that fails although none of its runs has failed:
// the leases of 20,000 tasks that write checkpoints have expired, and their
// progress needs more rows than one transaction holds (review case 8, LOST).
TEST_CASE("the checkpoints of any number of tasks are stored") {
  for (const int tasks : {1'500, 20'000, 100'000}) {
    CAPTURE(tasks);
    Job job = MakeJob({tasks});
    for (int t = 0; t < tasks; ++t) {
      job.Find({0, t})->checkpoint = "0000000000001f40";
      job.Find({0, t})->run = 1;
    }
    CHECK(CountDifferences(job, {tasks}, Encode(job)) == 0);
  }
}

// Guards against progress without a place in the table: a checkpoint that is
// larger than a row may not take the failed runs and other tasks with it.
TEST_CASE("a checkpoint larger than a row is left out") {
  Job job = MakeJob({3});
  job.Find({0, 0})->checkpoint = std::string(kRowBytes, 'x');
  job.Find({0, 0})->failed_runs = {1, 2};
  job.Find({0, 2})->checkpoint = "checkpoint";
  Job restored = MakeJob({3});
  restored.Restore(Read(Encode(job)).rows.at(kJobId).progress);
  CHECK(restored.Find({0, 0})->checkpoint.empty());
  CHECK(restored.Find({0, 0})->failed_runs == job.Find({0, 0})->failed_runs);
  CHECK(restored.Find({0, 2})->checkpoint == "checkpoint");
}

// Guards against a submission that fails since too many of its long-running
// tasks have lost their runs at once, and against a next leader that takes them
// for tasks that never ran.
TEST_CASE("the lost runs of any number of tasks are stored") {
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
  CHECK(CountDifferences(job, {kTasks}, rows) == 0);
  const StoredProgress stored = Read(rows);
  const auto& tasks = stored.rows.at(kJobId).progress.tasks;
  CHECK(tasks.size() == kTasks);
  CHECK(std::all_of(tasks.begin(), tasks.end(),
                    [](const TaskProgress& task) { return task.run == 1; }));
}

// Guards against a change of a few tasks that writes the rows of all.
TEST_CASE("only the blocks that changed are written") {
  Job job = MakeJob({20'000});
  for (int t = 0; t < 20'000; ++t) job.Find({0, t})->checkpoint = "checkpoint";
  Rows rows;
  FurtherProgressRows stored;
  for (const ProgressWrite& write : Plan(job, stored)) {
    Apply(write, rows);
    NoteCommitted(write, stored);
  }
  CHECK(Read(rows).further.at(kJobId).blocks == stored.blocks);
  job.Find({0, 0})->checkpoint = "later";
  job.Find({0, 19'999})->failed_runs = {1};
  CHECK(Plan(job, stored).size() == 3);
  for (const ProgressWrite& write : Plan(job, stored)) Apply(write, rows);
  CHECK(CountDifferences(job, {20'000}, rows) == 0);
}

/// Changes some tasks of a job at random.
void ChangeTasks(Job& job, int tasks, std::mt19937& random) {
  const unsigned changes = 1 + random() % 400;
  for (unsigned i = 0; i < changes; ++i) {
    const TaskIndex index{
        0, static_cast<int>(random() % static_cast<unsigned>(tasks))};
    Task& task = *job.Find(index);
    if (task.phase == TaskPhase::kDone) continue;
    switch (random() % 5) {
      case 0:
        job.Finish(index, kNow);
        break;
      case 1:
        task.failed_runs.push_back(task.run++);
        break;
      case 2:
        task.checkpoint.clear();
        break;
      default:
        task.checkpoint = std::to_string(random());
    }
  }
}

// Guards against failed runs and ends that were acknowledged and are missing
// for the next leader, since the leader ended between two transactions.
TEST_CASE("rows of a save that was cut off describe each task") {
  constexpr int kTasks = 1'000;
  constexpr std::size_t kSmallRow = 12'000;
  std::mt19937 random(11);
  for (int round = 0; round < 60; ++round) {
    CAPTURE(round);
    Job job = MakeJob({kTasks});
    job.SetState(SubmissionState::kRunning);
    Rows rows;
    FurtherProgressRows stored;
    for (int save = 0; save < 12; ++save) {
      const Job before = job;
      ChangeTasks(job, kTasks, random);
      const auto writes = Plan(job, stored, kSmallRow);
      const std::size_t sent =
          random() % 2 == 0 ? writes.size() : random() % (writes.size() + 1);
      for (std::size_t i = 0; i < sent; ++i) {
        CHECK((!writes[i].write.value ||
               writes[i].write.value->size() <= kSmallRow));
        Apply(writes[i], rows);
        NoteCommitted(writes[i], stored);
      }
      StoredProgress read = Read(rows);
      Job restored = MakeJob({kTasks});
      const auto first = read.rows.find(kJobId);
      if (first != read.rows.end()) restored.Restore(first->second.progress);
      int wrong = 0;
      for (std::size_t t = 0; t < kTasks; ++t) {
        const Task& actual = restored.steps()[0].tasks[t];
        const bool right = IsSame(before.steps()[0].tasks[t], actual) ||
                           IsSame(job.steps()[0].tasks[t], actual);
        wrong += right ? 0 : 1;
      }
      CHECK(wrong == 0);
      // The next leader goes on from what it has read.
      if (sent == writes.size()) continue;
      job = restored;
      job.SetState(SubmissionState::kRunning);
      stored = read.further[kJobId];
    }
  }
}

// Guards against members of a gang that start from different checkpoints, since
// the rows of only some of them were stored.
TEST_CASE("the members of a restored gang have the same checkpoint") {
  StepSpec step = DispatcherFixture::MakeStep(3, 250);
  step.gang = true;
  Job job(DispatcherFixture::MakeSubmission("aa", {step}),
          DispatcherFixture::Policy(), kNow, MonotonicTime(0));
  JobProgress progress;
  progress.tasks = {{{0, 1}, false, 1, {}, "old", {}},
                    {{0, 2}, false, 2, {}, "new", {}}};
  job.Restore(progress);
  for (int t = 0; t < 3; ++t) CHECK(job.Find({0, t})->checkpoint == "old");
}

// Guards against a second run of a task after the version before takes over: it
// reads only the list of tasks.
TEST_CASE("a row that fits lists its tasks as the version before does") {
  Job job = MakeJob({2'000});
  for (int t = 0; t < 2'000; ++t) job.Finish({0, t}, kNow);
  const Rows rows = Encode(job);
  REQUIRE(rows.size() == 1);
  const auto row = DecodeProgressRow(rows.begin()->second);
  REQUIRE(row.ok());
  CHECK(row.value().progress.tasks.size() == 2'000);
  CHECK(row.value().progress.done.empty());
}

// Guards against a second run of tasks that the version before has stored.
TEST_CASE("a row of the version before is decoded") {
  const std::string row =
      R"({"queue":"q","state":"running","tasks":[[0,0,true,1,[],""],)"
      R"([0,2,false,3,[2,3],"cp",[[3,2,true]]]]})";
  const auto progress = Read(FormerRows({row})).rows.at(kJobId).progress;
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
  const Rows rows = FormerRows({first, further, further});
  const StoredProgress stored = Read(rows);
  CHECK(stored.rows.at(kJobId).progress.tasks.empty());
  CHECK(stored.further.at(kJobId).parts == 2);
  Rows next = rows;
  for (const ProgressWrite& write :
       Plan(MakeJob({1}), stored.further.at(kJobId))) {
    Apply(write, next);
  }
  CHECK(next.size() == 1);
}

// Guards against progress that the version before has divided over rows and
// that is lost when this one stores it anew.
TEST_CASE("further rows of the version before are replaced") {
  const std::string first =
      R"({"queue":"q","state":"running","parts":1,"tasks":[]})";
  const std::string further =
      R"({"queue":"q","state":"running","tasks":[[0,2,false,1,[1],"old"]]})";
  Rows rows = FormerRows({first, further});
  const StoredProgress stored = Read(rows);
  Job job = MakeJob({2'000});
  job.Restore(stored.rows.at(kJobId).progress);
  CHECK(job.Find({0, 2})->checkpoint == "old");
  for (int t = 100; t < 2'000; ++t) job.Find({0, t})->checkpoint = "checkpoint";
  for (const ProgressWrite& write : Plan(job, stored.further.at(kJobId))) {
    Apply(write, rows);
    CHECK(Read(rows).rows.at(kJobId).progress.tasks.size() >= 1);
  }
  CHECK_FALSE(rows.contains(ProgressKey(kJobId, 1)));
  CHECK(CountDifferences(job, {2'000}, rows) == 0);
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
  const auto encode = [](const Job& encoded) {
    const ProgressRow row{QueueName("q"), encoded.Progress()};
    return EncodeProgressRow(row, kSmallRow).value();
  };
  const std::vector<std::string> valid = {encode(job), encode(mixed)};
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
        R"("parts":-1)", R"("blocked":1)"}) {
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
      DecodeProgressRow(EncodeProgressRow(progress, 65'536).value());
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
