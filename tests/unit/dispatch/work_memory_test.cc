// Guards against a leader that accepts more work than its memory holds: it and
// each next leader, which load the same rows, would end for lack of memory.
#include <doctest/doctest.h>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

struct WorkMemoryFixture : LeaderFixture {
  ServiceResult Submit(const std::string& id) {
    ServiceCall call;
    call.verb = ServiceVerb::kSubmit;
    call.submission = SubmissionId(id);
    call.policy = DispatcherFixture::Policy();
    call.payload = "{}";
    ServiceResult result = ServiceResult::kUnknown;
    leader->Handle(std::move(call), [&result](const ServiceReply& reply) {
      result = reply.result;
    });
    RunFor(std::chrono::milliseconds(50));
    return result;
  }
};

TEST_CASE_FIXTURE(WorkMemoryFixture, "work over the memory is refused") {
  step.count = 1'000;
  const std::size_t bytes =
      MemoryOfJob(DispatcherFixture::MakeSubmission("a", {step}));
  CHECK(bytes >= 1'000 * sizeof(Task));
  options.max_work_bytes = 2 * bytes + 100;
  Lead(1);
  CHECK(Submit("00000000000000a1") == ServiceResult::kOk);
  CHECK(Submit("00000000000000a2") == ServiceResult::kOk);
  CHECK(Submit("00000000000000a3") == ServiceResult::kRefused);
  // One that was accepted before is not refused.
  CHECK(Submit("00000000000000a2") == ServiceResult::kOk);
}

// Guards against a leader that accepts what a smaller node, which may lead
// next, cannot hold.
TEST_CASE_FIXTURE(WorkMemoryFixture,
                  "work over the memory of another node is refused") {
  step.count = 1'000;
  const std::size_t bytes =
      MemoryOfJob(DispatcherFixture::MakeSubmission("a", {step}));
  options.max_work_bytes = 10 * bytes;
  Lead(1);
  leader->OnWorkLimit(0);  // Of a former version, which does not say.
  CHECK(Submit("00000000000000a1") == ServiceResult::kOk);
  leader->OnWorkLimit(2 * bytes + 100);
  leader->OnWorkLimit(5 * bytes);
  CHECK(Submit("00000000000000a2") == ServiceResult::kOk);
  CHECK(Submit("00000000000000a3") == ServiceResult::kRefused);
}

// Guards against a successor that takes work for less than it is, and accepts
// more than it holds.
TEST_CASE_FIXTURE(WorkMemoryFixture, "restored work counts as accepted work") {
  step.count = 1'000;
  const std::size_t bytes =
      MemoryOfJob(DispatcherFixture::MakeSubmission("a", {step}));
  options.max_work_bytes = 2 * bytes + 100;
  Lead(1);
  CHECK(Submit("00000000000000a1") == ServiceResult::kOk);
  CHECK(Submit("00000000000000a2") == ServiceResult::kOk);
  Lead(2);
  CHECK(leader->dispatcher().work_bytes() >= 2 * bytes);
  CHECK(Submit("00000000000000a3") == ServiceResult::kRefused);
}

TEST_CASE("each occurrence counts") {
  Submission submission = DispatcherFixture::MakeSubmission(
      "a", {DispatcherFixture::MakeStep(1, 1)});
  const std::size_t once = MemoryOfJob(submission);
  submission.occurrences = 2;
  const std::size_t occurrence = MemoryOfJob(submission) - once;
  CHECK(occurrence >= sizeof(Step) + sizeof(Task));
  submission.occurrences = 86'400;
  CHECK(MemoryOfJob(submission) == once + 86'399 * occurrence);
}

// Guards against requests that take little memory as jobs, and more than the
// next leader has when it reads them.
TEST_CASE("the stored request counts") {
  Submission submission = DispatcherFixture::MakeSubmission(
      "a", {DispatcherFixture::MakeStep(1, 1)});
  const std::size_t without = MemoryOfJob(submission);
  submission.stored_bytes = 60'000;
  CHECK(MemoryOfJob(submission) == without + 60'000);
}

// Guards against a leader that refuses work since it counts what has ended as
// if it still ran.
TEST_CASE_FIXTURE(DispatcherFixture, "work that has ended counts less") {
  AddWorker("w1");
  Run("a", MakeStep(2, 1'000));
  const Submission submission = MakeSubmission("a", {MakeStep(2, 1'000)});
  CHECK(dispatcher.work_bytes() == MemoryOfJob(submission));
  REQUIRE(dispatcher.Cancel(SubmissionId("a"), now));
  Save("a");
  CHECK(dispatcher.work_bytes() == MemoryOfEndedJob(submission));
  CHECK(MemoryOfEndedJob(submission) < MemoryOfJob(submission));
  End("w1", 1, "a.0.0.0", 1, RunEnd::kStopped);
  End("w1", 2, "a.0.0.1", 1, RunEnd::kStopped);
  dispatcher.Discard(SubmissionId("a"));
  CHECK(dispatcher.work_bytes() == 0);
}

/// Runs once a second for a day.
Job MakeDaySchedule() {
  Submission submission = DispatcherFixture::MakeSubmission(
      "a", {DispatcherFixture::MakeStep(1, 1)});
  submission.occurrences = 86'400;
  submission.interval = Milliseconds(1'000);
  return {std::move(submission), DispatcherFixture::Policy(), MonotonicTime(0),
          MonotonicTime(0)};
}

// Guards against leaders that end one after the other for lack of memory: each
// held every occurrence of eight such submissions (review case 6, LOST).
TEST_CASE("a job holds the occurrences that are due and the next one") {
  Job job = MakeDaySchedule();
  CHECK(job.steps().size() == 1);
  job.AddDueOccurrences(std::chrono::milliseconds(9'500));
  CHECK(job.steps().size() == 11);
  CHECK(job.steps().back().due > std::chrono::milliseconds(9'500));
  CHECK_FALSE(job.Finish({0, 0}, MonotonicTime(0)));
}

// Guards against a submission that seems complete once the occurrences which it
// holds are done, or that a successor restores without those it had.
TEST_CASE("a restored job holds all occurrences with progress") {
  Job job = MakeDaySchedule();
  REQUIRE(job.IndexOf({SubmissionId("a"), 40, {0, 0}}));
  CHECK_FALSE(job.IndexOf({SubmissionId("a"), 86'400, {0, 0}}));
  for (int k = 0; k < 30; ++k) {
    CHECK_FALSE(job.Finish({k, 0}, MonotonicTime(0)));
  }
  job.Find({40, 0})->checkpoint = "checkpoint";
  job.SetState(SubmissionState::kRunning);
  Job restored = MakeDaySchedule();
  restored.Restore(job.Progress());
  CHECK(restored.steps().size() == 41);
  CHECK(restored.Find({29, 0})->phase == TaskPhase::kDone);
  CHECK(restored.Find({40, 0})->checkpoint == "checkpoint");
}

}  // namespace
}  // namespace mangospread::dispatch::test
