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

constexpr MonotonicTime kLong = std::chrono::hours(1);

net::Request MakeRequest(const std::string& body) {
  return {net::Method::kPost, "/charge", {}, body};
}

KeyStoreOptions Options(const char* node) {
  KeyStoreOptions options;
  options.node = NodeId(node);
  options.incarnation = Incarnation(7);
  options.poll_first = options.poll_longest = Milliseconds(1);
  options.retry = Milliseconds(1);
  return options;
}

/// Two nodes that share one table.
struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  table::Writer writer_a{loop, table, "writer/a/7/idempotency", {}};
  table::Writer writer_b{loop, table, "writer/b/7/idempotency", {}};
  bool holder_gone = false;
  KeyStore::HolderGone gone = [this](const NodeId&, Incarnation) {
    return holder_gone;
  };
  KeyStore a{loop, Options("a"), table, writer_a, gone};
  KeyStore b{loop, Options("b"), table, writer_b, gone};
  KeyUse use = MakeKeyUse(ServiceName("s"), "key", MakeRequest("10 euros"));

  using Claimed = std::shared_ptr<std::optional<ClaimResult>>;

  Claimed Claim(KeyStore& keys, const KeyUse& wanted,
                MonotonicTime limit = kLong) {
    auto result = std::make_shared<std::optional<ClaimResult>>();
    keys.Claim(wanted, base::MonotonicNow() + limit,
               [result](ClaimResult r) { *result = std::move(r); });
    return result;
  }
  void StepAll() {
    while (table.pending() > 0) table.Step();
  }
  /// Serves the table until the claim has its result.
  ClaimStatus Wait(const Claimed& claim) {
    RunUntil(loop, [&] {
      StepAll();
      return claim->has_value();
    });
    return (*claim)->status;
  }
  [[nodiscard]] bool RowExists() const {
    return !table.rows.Read({{use.row_key}, {}}).empty();
  }
};

// Guards against a second run of a keyed request, and against a lost answer.
TEST_CASE_FIXTURE(Fixture, "one of two claims is granted, the other replays") {
  const auto first = Claim(a, use);
  const auto second = Claim(b, use);
  const auto third = Claim(a, use);
  CHECK(Wait(first) == ClaimStatus::kGranted);
  CHECK_FALSE(second->has_value());
  CHECK_FALSE(third->has_value());
  const std::string bytes("\xff\x00\x80 paid", 8);
  net::Headers headers;
  headers.Add("Content-Type", "text/plain");
  a.Complete(use.row_key, {201, headers, bytes});
  CHECK(Wait(second) == ClaimStatus::kStored);
  CHECK(Wait(third) == ClaimStatus::kStored);
  CHECK((*second)->response.status == 201);
  CHECK((*second)->response.body == bytes);
  CHECK((*second)->response.headers.Get("content-type") == "text/plain");
  CHECK(Wait(Claim(b, use)) == ClaimStatus::kStored);
  CHECK(a.idle());
}

// Guards against a replay of a response that was stored only in part.
TEST_CASE_FIXTURE(Fixture, "large response and unknown outcome stay unknown") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  a.Complete(use.row_key, {200, {}, std::string(kMaxStoredBody + 1, 'x')});
  CHECK(Wait(Claim(b, use)) == ClaimStatus::kUnknown);
  const auto other = MakeKeyUse(ServiceName("s"), "k2", MakeRequest("x"));
  REQUIRE(Wait(Claim(a, other)) == ClaimStatus::kGranted);
  a.MarkUnknown(other.row_key);
  CHECK(Wait(Claim(b, other)) == ClaimStatus::kUnknown);
}

// Guards against the response of one request given to another.
TEST_CASE_FIXTURE(Fixture, "key reused for another request is refused") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  const auto other =
      MakeKeyUse(ServiceName("s"), "key", MakeRequest("20 euros"));
  CHECK(other.row_key == use.row_key);
  CHECK(Wait(Claim(a, other)) == ClaimStatus::kMismatch);
  CHECK(Wait(Claim(b, other)) == ClaimStatus::kMismatch);
}

// Guards against a claim that takes effect after the caller heard "not run"
// and then blocks or hides the caller's retry.
TEST_CASE_FIXTURE(Fixture, "claim is refused while the table is down") {
  const auto refused = Claim(a, use);
  table.Step(FaultyTable::Fault::kRefuse);
  REQUIRE(refused->has_value());
  CHECK((*refused)->status == ClaimStatus::kUnavailable);
  const auto late = Claim(a, use, MonotonicTime(1));
  RunUntil(loop, [&] { return late->has_value(); });
  CHECK((*late)->status == ClaimStatus::kUnavailable);
  table.Step();  // The claim commits after its deadline and is released.
  CHECK(RowExists());
  StepAll();
  CHECK_FALSE(RowExists());
  CHECK(a.idle());
}

// Guards against "unknown" for a key that nobody could claim in an outage, and
// against "not run" while another request may still get the claim.
TEST_CASE_FIXTURE(Fixture, "repeated request while the table is silent") {
  const auto first = Claim(a, use);
  const auto early = Claim(a, use, MonotonicTime(1));
  RunUntil(loop, [&] { return early->has_value(); });
  CHECK((*early)->status == ClaimStatus::kUnknown);
  table.Step(FaultyTable::Fault::kRefuse);
  REQUIRE((*first)->status == ClaimStatus::kUnavailable);

  const auto silent = Claim(a, use, MonotonicTime(1));
  RunUntil(loop, [&] { return silent->has_value(); });
  CHECK((*silent)->status == ClaimStatus::kUnavailable);
  const auto repeated = Claim(a, use, MonotonicTime(1));
  RunUntil(loop, [&] { return repeated->has_value(); });
  CHECK((*repeated)->status == ClaimStatus::kUnavailable);
  CHECK(Wait(Claim(a, use)) == ClaimStatus::kGranted);
}

// Guards against "not run" before the key can be used again.
TEST_CASE_FIXTURE(Fixture, "claim is released before the caller hears") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  bool told = false;
  a.Release(use.row_key, [&] { told = true; });
  CHECK_FALSE(told);
  table.Step();
  CHECK(told);
  CHECK_FALSE(RowExists());
  CHECK(Wait(Claim(b, use)) == ClaimStatus::kGranted);
}

// Guards against a release that is given up: the key would answer "unknown"
// for a request that nobody ran.
TEST_CASE_FIXTURE(Fixture, "failed release is repeated and the retry waits") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  bool told = false;
  a.Release(use.row_key, [&] { told = true; });
  table.Step(FaultyTable::Fault::kRefuse);
  CHECK(told);
  CHECK(RowExists());
  CHECK_FALSE(a.idle());
  CHECK(Wait(Claim(b, use)) == ClaimStatus::kGranted);
}

// Guards against a second run after the death of the node that held the key.
TEST_CASE_FIXTURE(Fixture, "key of a dead holder is unknown for good") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  const auto waiting = Claim(b, use);
  StepAll();
  CHECK_FALSE(waiting->has_value());
  holder_gone = true;
  CHECK(Wait(waiting) == ClaimStatus::kUnknown);
  KeyStoreOptions restarted = Options("a");
  restarted.incarnation = Incarnation(8);
  KeyStore successor(loop, restarted, table, writer_a, gone);
  CHECK(Wait(Claim(successor, use)) == ClaimStatus::kUnknown);
}

// Guards against "not run" for a key that another request may have run.
TEST_CASE_FIXTURE(Fixture, "table lost while waiting for the holder") {
  REQUIRE(Wait(Claim(a, use)) == ClaimStatus::kGranted);
  const auto waiting = Claim(b, use, std::chrono::milliseconds(20));
  table.Step();
  RunUntil(loop, [&] {
    while (table.pending() > 0) table.Step(FaultyTable::Fault::kLoseRequest);
    return waiting->has_value();
  });
  CHECK((*waiting)->status == ClaimStatus::kUnknown);
}

// Guards against keys that pile up, and against the loss of recent ones.
TEST_CASE_FIXTURE(Fixture, "sweep removes only old keys, page by page") {
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
  options.page_pause = options.pass_pause = Milliseconds(0);
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
