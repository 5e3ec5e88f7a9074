// When a session may extend the lease of its worker, as far as its leader
// knows.
#include <doctest/doctest.h>

#include <algorithm>

#include "base/loop/clock.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

struct AttachmentFixture : SessionFixture {
  AttachmentFixture() { RunFor(Milliseconds(50)); }

  [[nodiscard]] static StartRun StartUnder(std::uint64_t attachment) {
    StartRun start = MakeStart(1);
    start.attachment = AttachmentNumber(attachment);
    return start;
  }

  /// The worker falls silent and replies again.
  void Interrupt() {
    link->unresponsive = true;
    RunFor(Milliseconds(2'000));
    link->unresponsive = false;
    handled_at = base::MonotonicNow();
    RunFor(Milliseconds(1'000));
    REQUIRE(Count<Attached>() == 2);
  }

  [[nodiscard]] auto CountLeases() const {
    return std::count_if(link->renewals.begin(), link->renewals.end(),
                         [](const RenewCommand& renewal) {
                           return renewal.lease_until.value() > 0;
                         });
  }

  [[nodiscard]] const WorkerLoad* NewestLoad() const {
    return events.empty() ? nullptr
                          : std::get_if<WorkerLoad>(&events.back().details);
  }
};

// Guards against a second run (TWICE): a start that was delayed on its way
// extends the lease of a worker that the leader takes for silent, and the agent
// is lost before the leader knows better.
TEST_CASE_FIXTURE(AttachmentFixture,
                  "a start from before the silence waits for the leader") {
  Interrupt();
  session->Start(StartUnder(1));
  RunFor(Milliseconds(600));
  CHECK(link->starts.empty());
  SUBCASE("the leader handles the attachment") {
    handled_at = MonotonicTime::max();
    session->SendPermittedStarts();
    CHECK(link->starts.size() == 1);
  }
  SUBCASE("it does not") {
    RunFor(Milliseconds(1'500));
    CHECK(link->starts.empty());
    CHECK(Count<RunNotStarted>() == 1);
  }
}

// Guards against starts that wait for a confirmation which the leader has given
// by sending them.
TEST_CASE_FIXTURE(AttachmentFixture,
                  "a start of the newest attachment is sent") {
  Interrupt();
  session->Start(StartUnder(2));
  CHECK(link->starts.size() == 1);
}

// Guards against work of a lost worker that waits longer since its agent is
// lost, too, before it takes the worker for unreachable (LOST).
TEST_CASE_FIXTURE(AttachmentFixture,
                  "a silent worker is reported before it is unreachable") {
  RunFor(Milliseconds(1'000));
  Milliseconds reported_by{800};
  SUBCASE("it does not reply") { link->unresponsive = true; }
  SUBCASE("it refuses connections") {
    link->error = Errc::kConnectFailed;
    // Before a reply would be overdue.
    reported_by = Milliseconds(300);
  }
  RunFor(reported_by);
  CHECK(Count<WorkerUnreachable>() == 0);
  REQUIRE(NewestLoad() != nullptr);
  CHECK_FALSE(NewestLoad()->responding);
  REQUIRE(NewestLoad()->lease_left);
  CHECK(*NewestLoad()->lease_left <= LeaseUpperBound(kWorkerLease));
}

// Guards against a second run: after the report of silence the leader counts no
// later lease, so none may be granted before it has handled the next report.
TEST_CASE_FIXTURE(AttachmentFixture,
                  "no lease is extended before the leader knows of the reply") {
  link->unresponsive = true;
  RunFor(Milliseconds(750));
  link->unresponsive = false;
  handled_at = base::MonotonicNow();
  const auto leases = CountLeases();
  RunFor(Milliseconds(1'500));
  REQUIRE(NewestLoad() != nullptr);
  CHECK(NewestLoad()->attachment == AttachmentNumber(2));
  CHECK(CountLeases() == leases);
  handled_at = MonotonicTime::max();
  RunFor(Milliseconds(1'500));
  CHECK(CountLeases() > leases);
}

// Guards against a worker whose replies are always late and whose lease lapses:
// each late reply ends the attachment, and the next one comes before the leader
// has handled the report.
TEST_CASE_FIXTURE(AttachmentFixture,
                  "a worker that replies late keeps its lease") {
  link->reply_delay = Milliseconds(900);
  constexpr int kSeconds = 12;
  int with_lease = 0;
  for (int second = 0; second < kSeconds; ++second) {
    // The leader's confirmation lags behind.
    handled_at = base::MonotonicNow() - Milliseconds(300);
    const auto leases = CountLeases();
    RunFor(Milliseconds(1'000));
    if (CountLeases() > leases) ++with_lease;
  }
  CHECK(with_lease >= kSeconds - 4);
}

// Guards against a tolerance for late replies that grows with each refused
// connection until it overflows, which ends every later attachment at once.
TEST_CASE_FIXTURE(
    AttachmentFixture,
    "a worker that often refuses connections stays attached later") {
  constexpr int kRefusals = 70;
  for (int refusal = 0; refusal < kRefusals; ++refusal) {
    link->error = Errc::kConnectFailed;
    RunFor(Milliseconds(400));
    link->error = std::nullopt;
    RunFor(Milliseconds(1'000));
  }
  link->reply_delay = Milliseconds(600);
  RunFor(Milliseconds(1'000));
  events.clear();
  RunFor(Milliseconds(3'000));
  CHECK(Count<WorkerLoad>() == 0);
}

}  // namespace
}  // namespace mangospread::dispatch
