// Until when a task on a silent worker waits, as `explain` shows it.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "app/wait_status.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;

/// A leader with a running task.
struct SilentWorkerFixture : LeaderFixture {
  SilentWorkerFixture() {
    Lead(1);
    ListWorkers({"w1"});
    Attach("w1");
    Call(ServiceVerb::kSubmit);
    REQUIRE(starts.size() == 1);
    Event("w1", RunStarted{starts[0].task, Attempt(1)});
    REQUIRE(leader->ExplainWaits(SubmissionId(kId)).empty());
  }

  /// What the answer to `explain` says about the task.
  [[nodiscard]] nlohmann::json Explain() const {
    const auto answer = app::ExplainSubmission(leader.get(), std::nullopt, kId);
    const auto json = nlohmann::json::parse(answer.body.str());
    REQUIRE(json.at("waits").size() == 1);
    return json.at("waits")[0];
  }
};

// Guards against a silent worker whose tasks wait for a time that nobody can
// tell: the lease of one was counted anew, and no output showed until when or
// why.
TEST_CASE_FIXTURE(SilentWorkerFixture,
                  "a task shows until when a silent worker is waited for") {
  // The attachment's lease has less time left by now.
  Event("w1", WorkerLoad{{}, false, Milliseconds(3'000)});
  nlohmann::json wait = Explain();
  CHECK(wait.at("reason") == "worker_silent");
  CHECK(wait.at("lease_evidence") == "reported");
  CHECK(wait.at("lease_left_ms") <= 3'000);
  CHECK(wait.at("lease_left_ms") > 2'900);
  RunFor(milliseconds(1'000));
  wait = Explain();
  CHECK(wait.at("lease_left_ms") <= 2'000);
  CHECK(wait.at("lease_left_ms") > 1'900);
}

// Guards against a time left that differs from when the leader gives the worker
// up.
TEST_CASE_FIXTURE(SilentWorkerFixture,
                  "a task restarts when the shown lease has expired") {
  leader->OnAgentDown(NodeId("agent"));
  const nlohmann::json wait = Explain();
  CHECK(wait.at("reason") == "worker_silent");
  CHECK(wait.at("lease_evidence") == "agent_lost");
  const milliseconds left(wait.at("lease_left_ms").get<int>());
  CHECK(left > milliseconds(options.lease));
  RunFor(left - milliseconds(50));
  CHECK(Explain().at("reason") == "worker_silent");
  // The next tick may come later.
  RunFor(milliseconds(55));
  const nlohmann::json next = Explain();
  CHECK(next.at("reason") != "worker_silent");
  CHECK_FALSE(next.contains("lease_left_ms"));
}

// Guards against a time left that has long passed although the agent still
// extends the lease: an agent of a former version does not report it.
TEST_CASE_FIXTURE(SilentWorkerFixture,
                  "a lease that may be extended shows no time left") {
  Event("w1", WorkerLoad{{}, false});
  const nlohmann::json wait = Explain();
  CHECK(wait.at("reason") == "worker_silent");
  CHECK_FALSE(wait.contains("lease_left_ms"));
  CHECK_FALSE(wait.contains("lease_evidence"));
}

}  // namespace
}  // namespace mangospread::dispatch::test
