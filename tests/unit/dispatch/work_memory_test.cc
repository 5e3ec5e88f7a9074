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

TEST_CASE("each occurrence counts") {
  Submission submission = DispatcherFixture::MakeSubmission(
      "a", {DispatcherFixture::MakeStep(1, 1)});
  const std::size_t once = MemoryOfJob(submission);
  submission.occurrences = 86'400;
  CHECK(MemoryOfJob(submission) > 80'000 * (once - submission.spec.size()));
}

}  // namespace
}  // namespace mangospread::dispatch::test
