#include "gateway/keys/key_store.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "base/loop/clock.hpp"
#include "gateway/keys/key_sweep.hpp"
#include "unit/run_until.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::gateway {
namespace {

using test::FaultyTable;
using test::RunUntil;

constexpr MonotonicTime kLongWait = std::chrono::hours(1);

net::Request MakeRequest(const std::string& body) {
  return {net::Method::kPost, "/charge", {}, body};
}

KeyStoreOptions Options(const char* node) {
  KeyStoreOptions options;
  options.node = NodeId(node);
  options.incarnation = Incarnation(7);
  options.initial_poll_delay = options.max_poll_delay = Milliseconds(1);
  options.retry_delay = Milliseconds(1);
  return options;
}

/// Key stores of two nodes that share one table.
struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  table::Writer writer_a{loop, table, "writer/a/7/idempotency", {}};
  table::Writer writer_b{loop, table, "writer/b/7/idempotency", {}};
  bool holder_terminated = false;
  KeyStore::HolderTerminated holder_check = [this](const NodeId&, Incarnation) {
    return holder_terminated;
  };
  KeyStore keys_a{loop, Options("a"), table, writer_a, holder_check};
  KeyStore keys_b{loop, Options("b"), table, writer_b, holder_check};
  KeyedRequest request =
      MakeKeyedRequest(ServiceName("s"), "key", MakeRequest("10 euros"));

  using PendingClaim = std::shared_ptr<std::optional<ClaimResult>>;

  PendingClaim Claim(KeyStore& keys, const KeyedRequest& keyed_request,
                     MonotonicTime timeout = kLongWait) {
    auto result = std::make_shared<std::optional<ClaimResult>>();
    keys.Claim(keyed_request, base::MonotonicNow() + timeout,
               [result](ClaimResult r) { *result = std::move(r); });
    return result;
  }
  void StepAll() {
    while (table.pending() > 0) table.Step();
  }
  /// Runs event loop and table until the claim has its result.
  ClaimStatus Wait(const PendingClaim& claim) {
    RunUntil(loop, [&] {
      StepAll();
      return claim->has_value();
    });
    return (*claim)->status;
  }
  [[nodiscard]] bool RowExists() const {
    return !table.rows.Read({{request.row_key}, {}}).empty();
  }
};

// Guards against a second run of a keyed request, and against a lost response.
TEST_CASE_FIXTURE(Fixture,
                  "one claim is granted, the others replay its response") {
  const auto first = Claim(keys_a, request);
  const auto second = Claim(keys_b, request);
  const auto third = Claim(keys_a, request);
  CHECK(Wait(first) == ClaimStatus::kGranted);
  CHECK_FALSE(second->has_value());
  CHECK_FALSE(third->has_value());
  const std::string bytes("\xff\x00\x80 paid", 8);
  net::Headers headers;
  headers.Add("Content-Type", "text/plain");
  keys_a.Complete(request.row_key, {201, headers, bytes});
  CHECK(Wait(second) == ClaimStatus::kStored);
  CHECK(Wait(third) == ClaimStatus::kStored);
  CHECK((*second)->response.status == 201);
  CHECK((*second)->response.body == bytes);
  CHECK((*second)->response.headers.Get("content-type") == "text/plain");
  CHECK(Wait(Claim(keys_b, request)) == ClaimStatus::kStored);
  CHECK(keys_a.idle());
}

// Guards against a replay of a response that is too large to be stored whole.
TEST_CASE_FIXTURE(
    Fixture, "large response and unknown outcome are reported as unknown") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  keys_a.Complete(request.row_key,
                  {200, {}, std::string(kMaxStoredBodyBytes + 1, 'x')});
  CHECK(Wait(Claim(keys_b, request)) == ClaimStatus::kUnknown);
  const auto other = MakeKeyedRequest(ServiceName("s"), "k2", MakeRequest("x"));
  REQUIRE(Wait(Claim(keys_a, other)) == ClaimStatus::kGranted);
  keys_a.MarkUnknown(other.row_key);
  CHECK(Wait(Claim(keys_b, other)) == ClaimStatus::kUnknown);
}

// Guards against a replay of one request's response for another request.
TEST_CASE_FIXTURE(Fixture, "key reused for another request is refused") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  const auto other =
      MakeKeyedRequest(ServiceName("s"), "key", MakeRequest("20 euros"));
  CHECK(other.row_key == request.row_key);
  CHECK(Wait(Claim(keys_a, other)) == ClaimStatus::kMismatch);
  CHECK(Wait(Claim(keys_b, other)) == ClaimStatus::kMismatch);
}

// Guards against a claim that is committed after the caller got "not run" and
// then blocks the caller's retry or reports it as unknown.
TEST_CASE_FIXTURE(Fixture, "claim is refused while the table is unavailable") {
  const auto refused = Claim(keys_a, request);
  table.Step(FaultyTable::Fault::kRefuse);
  REQUIRE(refused->has_value());
  CHECK((*refused)->status == ClaimStatus::kUnavailable);
  const auto late = Claim(keys_a, request, MonotonicTime(1));
  RunUntil(loop, [&] { return late->has_value(); });
  CHECK((*late)->status == ClaimStatus::kUnavailable);
  table.Step();  // The claim commits after its deadline and is released.
  CHECK(RowExists());
  StepAll();
  CHECK_FALSE(RowExists());
  CHECK(keys_a.idle());
}

// Guards against "unknown" for a key that no request could claim during an
// outage, and against "not run" while another request may still get the claim.
TEST_CASE_FIXTURE(
    Fixture, "repeated request is unknown only while another is claiming") {
  const auto first = Claim(keys_a, request);
  const auto early = Claim(keys_a, request, MonotonicTime(1));
  RunUntil(loop, [&] { return early->has_value(); });
  CHECK((*early)->status == ClaimStatus::kUnknown);
  table.Step(FaultyTable::Fault::kRefuse);
  REQUIRE((*first)->status == ClaimStatus::kUnavailable);

  const auto timed_out = Claim(keys_a, request, MonotonicTime(1));
  RunUntil(loop, [&] { return timed_out->has_value(); });
  CHECK((*timed_out)->status == ClaimStatus::kUnavailable);
  const auto repeated = Claim(keys_a, request, MonotonicTime(1));
  RunUntil(loop, [&] { return repeated->has_value(); });
  CHECK((*repeated)->status == ClaimStatus::kUnavailable);
  CHECK(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
}

// Guards against "not run" that is reported before the key can be used again.
TEST_CASE_FIXTURE(Fixture, "claim is released before the caller is notified") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  bool notified = false;
  keys_a.Release(request.row_key, [&] { notified = true; });
  CHECK_FALSE(notified);
  table.Step();
  CHECK(notified);
  CHECK_FALSE(RowExists());
  CHECK(Wait(Claim(keys_b, request)) == ClaimStatus::kGranted);
}

// Guards against a release that is not retried: the key would give "unknown"
// for a request that did not run.
TEST_CASE_FIXTURE(Fixture,
                  "failed release is retried and the repeated request waits") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  bool notified = false;
  keys_a.Release(request.row_key, [&] { notified = true; });
  table.Step(FaultyTable::Fault::kRefuse);
  CHECK(notified);
  CHECK(RowExists());
  CHECK_FALSE(keys_a.idle());
  CHECK(Wait(Claim(keys_b, request)) == ClaimStatus::kGranted);
}

// Guards against a second run after the process that held the key terminated.
TEST_CASE_FIXTURE(Fixture, "key of a terminated holder remains unknown") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  const auto waiting = Claim(keys_b, request);
  StepAll();
  CHECK_FALSE(waiting->has_value());
  holder_terminated = true;
  CHECK(Wait(waiting) == ClaimStatus::kUnknown);
  KeyStoreOptions restarted = Options("a");
  restarted.incarnation = Incarnation(8);
  KeyStore successor(loop, restarted, table, writer_a, holder_check);
  CHECK(Wait(Claim(successor, request)) == ClaimStatus::kUnknown);
}

// Guards against "not run" for a key whose request may have run through another
// node.
TEST_CASE_FIXTURE(Fixture,
                  "waiting claim is unknown if the table becomes unreachable") {
  REQUIRE(Wait(Claim(keys_a, request)) == ClaimStatus::kGranted);
  const auto waiting = Claim(keys_b, request, std::chrono::milliseconds(20));
  table.Step();
  RunUntil(loop, [&] {
    while (table.pending() > 0) table.Step(FaultyTable::Fault::kLoseRequest);
    return waiting->has_value();
  });
  CHECK((*waiting)->status == ClaimStatus::kUnknown);
}

// Guards against expired keys that are not deleted, and against the deletion of
// recent ones.
TEST_CASE_FIXTURE(Fixture, "sweep removes only expired keys, page by page") {
  constexpr std::uint64_t kDayMs = 24 * 3'600 * 1'000;
  std::uint64_t now = 10 * kDayMs;
  for (int i = 0; i < 5; ++i) {
    KeyRow row;
    row.node = NodeId("a");
    row.fingerprint = "f";
    row.claimed_ms = i < 3 ? now - kDayMs - 1 : now - kDayMs + 1;
    table.rows.Transact(
        {{}, {{kKeyPrefix + std::to_string(i), EncodeKeyRow(row)}}});
  }
  KeySweepOptions options;
  options.page_interval = options.pass_interval = Milliseconds(0);
  options.page_rows = 2;
  KeySweep sweep(
      loop, options, table, writer_a, [] { return true; }, [&] { return now; });
  sweep.Start();
  RunUntil(loop, [&] {
    StepAll();
    return sweep.swept() == 3;
  });
  ReadRequest all;
  all.ranges.push_back({kKeyPrefix, "", 10});
  CHECK(table.rows.Read(all).size() == 2);
}

}  // namespace
}  // namespace mangospread::gateway
