// Guards against nodes that keep an old configuration after an outage of the
// store (CONFIG): a call whose answer is lost hides that the store is back.
#include "table/feed_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mangospread::table {
namespace {

using std::chrono::milliseconds;

/// Bounds of the pages: a node is in touch at most kInTouch after the end of an
/// outage, and a change is in force there kInForce after it was stored.
constexpr MonotonicTime kInTouch = milliseconds(3'000);
constexpr MonotonicTime kInForce = milliseconds(2'000);

enum class Kind : unsigned char {
  kSilent,  ///< Calls get no answer; those in progress at its start neither.
  kReset,   ///< Connections are closed.
  kBusy,    ///< Calls are refused at once.
  kSlow,    ///< Calls are answered late.
};

struct Outage {
  Kind kind = Kind::kSilent;
  MonotonicTime begin{0};
  MonotonicTime end{0};
  MonotonicTime delay{0};  ///< Of answers, if the store is slow.
};

/// When a call ends, and how many changes its answer holds.
struct CallEnd {
  MonotonicTime at{0};
  bool answered = false;
  std::uint64_t version = 0;
};

/// A store whose rows change at set times.
class ModelStore {
 public:
  ModelStore(Outage outage, std::vector<MonotonicTime> changes)
      : outage_(outage), changes_(std::move(changes)) {}

  [[nodiscard]] CallEnd Call(MonotonicTime sent, const FeedCall& call) const {
    const MonotonicTime answered = AnsweredAt(sent, call);
    const MonotonicTime given_up = sent + call.timeout;
    const bool during = sent >= outage_.begin && sent < outage_.end;
    const bool overlaps = sent < outage_.end && answered >= outage_.begin;
    CallEnd end{answered + kLatency, true, VersionAt(answered)};
    if (outage_.kind == Kind::kSilent && overlaps) {
      end = {given_up, false, 0};
    } else if (outage_.kind == Kind::kReset && overlaps) {
      end = {std::max(sent, outage_.begin) + kLatency, false, 0};
    } else if (outage_.kind == Kind::kBusy && during) {
      end = {sent + kLatency, false, 0};
    } else if (outage_.kind == Kind::kSlow && overlaps) {
      end.at = answered + outage_.delay;
    }
    if (end.at > given_up) end = {given_up, false, 0};
    return end;
  }

  [[nodiscard]] const std::vector<MonotonicTime>& changes() const {
    return changes_;
  }

 private:
  static constexpr MonotonicTime kLatency = milliseconds(4);

  [[nodiscard]] std::uint64_t VersionAt(MonotonicTime time) const {
    return static_cast<std::uint64_t>(
        std::count_if(changes_.begin(), changes_.end(),
                      [&](MonotonicTime change) { return change <= time; }));
  }
  [[nodiscard]] MonotonicTime AnsweredAt(MonotonicTime sent,
                                         const FeedCall& call) const {
    MonotonicTime at = sent + call.wait;
    if (call.after < changes_.size()) at = std::min(at, changes_[call.after]);
    return std::max(at, sent);
  }

  Outage outage_;
  std::vector<MonotonicTime> changes_;
};

/// The logic before FeedSchedule, as a reference: one call at a time, which is
/// waited for until its timeout.
class OneCallAtATime {
 public:
  [[nodiscard]] FeedCall Start() {
    return {++last_id_, version_, milliseconds(2'000), milliseconds(3'200),
            std::chrono::hours(1)};
  }
  [[nodiscard]] FeedAnswer OnAnswer(const FeedCall& /*call*/,
                                    std::uint64_t version) {
    version_ = std::max(version_, version);
    return {true, true};
  }
  [[nodiscard]] static std::optional<MonotonicTime> OnFailure(
      const FeedCall& /*call*/) {
    return milliseconds(350);
  }
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  std::uint64_t last_id_ = 0;
  std::uint64_t version_ = 0;
};

/// Follows the store until `until`.
/// @param received_at set to the time at which each change was received.
/// @return the number of calls sent.
template <typename Schedule>
int Follow(Schedule& schedule, const ModelStore& store, MonotonicTime until,
           std::vector<MonotonicTime>& received_at) {
  std::multimap<MonotonicTime, std::pair<FeedCall, CallEnd>> in_progress;
  MonotonicTime next{0};
  int calls = 0;
  received_at.assign(store.changes().size(), until);
  while (true) {
    const bool send = in_progress.empty() || next <= in_progress.begin()->first;
    const MonotonicTime now = send ? next : in_progress.begin()->first;
    if (now >= until) return calls;
    if (send) {
      const FeedCall call = schedule.Start();
      next = now + call.next;
      const CallEnd end = store.Call(now, call);
      in_progress.emplace(end.at, std::make_pair(call, end));
      ++calls;
      continue;
    }
    const auto [call, end] = in_progress.begin()->second;
    in_progress.erase(in_progress.begin());
    const std::uint64_t before = schedule.version();
    if (!end.answered) {
      if (const auto delay = schedule.OnFailure(call)) next = now + *delay;
      continue;
    }
    if (schedule.OnAnswer(call, end.version).send) next = now;
    for (auto i = before; i < schedule.version(); ++i) received_at[i] = now;
  }
}

/// Changes before, within and after an outage.
std::vector<MonotonicTime> ChangesAround(const Outage& outage) {
  std::vector<MonotonicTime> changes = {
      outage.begin - milliseconds(1'000),
      outage.begin - milliseconds(100),
      outage.begin + (outage.end - outage.begin) / 2,
      outage.end + milliseconds(1),
      outage.end + milliseconds(850),
      outage.end + milliseconds(2'500)};
  std::sort(changes.begin(), changes.end());
  return changes;
}

struct SweepResult {
  int late = 0;  ///< Changes received later than the pages allow.
  int changes = 0;
  MonotonicTime longest{0};  ///< From a change, or the end of the outage.
};

/// Outages of 0.2 to 10 s that begin at any phase of a call, one of a kind.
template <typename MakeSchedule>
SweepResult Sweep(Kind kind, MonotonicTime delay, bool with_changes_before,
                  const MakeSchedule& make_schedule) {
  SweepResult result;
  for (milliseconds length(200); length <= milliseconds(10'000);
       length += milliseconds(50)) {
    for (milliseconds phase(0); phase <= milliseconds(2'000);
         phase += milliseconds(50)) {
      Outage outage{kind, milliseconds(6'000) + phase, {}, delay};
      outage.end = outage.begin + length;
      auto changes = ChangesAround(outage);
      // Without them the phase of the call is that of the calls at rest.
      if (!with_changes_before) {
        changes.erase(changes.begin(), changes.begin() + 2);
      }
      auto schedule = make_schedule();
      std::vector<MonotonicTime> received_at;
      Follow(schedule, ModelStore(outage, changes),
             outage.end + milliseconds(9'000), received_at);
      for (std::size_t i = 0; i < changes.size(); ++i) {
        const MonotonicTime from = changes[i] >= outage.begin
                                       ? std::max(changes[i], outage.end)
                                       : outage.end;
        const MonotonicTime bound =
            std::max(outage.end + kInTouch, changes[i] + kInForce);
        ++result.changes;
        if (received_at[i] > bound) ++result.late;
        result.longest = std::max(result.longest, received_at[i] - from);
      }
    }
  }
  return result;
}

struct Case {
  const char* name;
  Kind kind;
  MonotonicTime delay;
};

const std::vector<Case>& Cases() {
  static const std::vector<Case> kCases = {
      {"silent", Kind::kSilent, {}},
      {"reset", Kind::kReset, {}},
      {"busy", Kind::kBusy, {}},
      {"slow by 0.24 s", Kind::kSlow, milliseconds(240)},
      {"slow by 0.7 s", Kind::kSlow, milliseconds(700)},
      {"slow by 1.5 s", Kind::kSlow, milliseconds(1'500)}};
  return kCases;
}

TEST_CASE("a change is received in time after any outage of the store") {
  std::mt19937_64 engine(20'261'205);
  const auto random = [&engine] {
    return std::uniform_real_distribution<double>()(engine);
  };
  for (const Case& one : Cases()) {
    for (const bool before : {true, false}) {
      CAPTURE(one.name);
      CAPTURE(before);
      const SweepResult result = Sweep(one.kind, one.delay, before,
                                       [&] { return FeedSchedule(random); });
      const auto longest =
          std::chrono::duration_cast<milliseconds>(result.longest).count();
      MESSAGE(std::string(one.name) << ": at most " << longest << " ms");
      CHECK(result.changes > 0);
      CHECK(result.late == 0);
    }
  }
}

// Guards against a sweep that would not notice the fault.
TEST_CASE("the sweep finds one call at a time late after silent outages") {
  const SweepResult result =
      Sweep(Kind::kSilent, {}, true, [] { return OneCallAtATime(); });
  MESSAGE(result.late << " of " << result.changes << " changes late");
  CHECK(result.late > 0);
}

// Guards against a rate that all nodes together may not have: 3 feeds on each
// of 41 nodes share 2,000 reads a second.
TEST_CASE("calls at rest and in an outage stay few") {
  constexpr MonotonicTime kLength = milliseconds(20'000);
  constexpr int kSeconds = 20;
  constexpr int kFeeds = 3 * 41;
  constexpr int kReadsPerSecond = 2'000;
  const auto count = [&](Kind kind, MonotonicTime from) {
    FeedSchedule schedule([] { return 0.0; });
    std::vector<MonotonicTime> received_at;
    return Follow(schedule, ModelStore({kind, from, from + kLength, {}}, {}),
                  kLength, received_at);
  };
  const int at_rest = count(Kind::kSilent, kLength);
  CHECK(at_rest <= kSeconds);
  for (const Kind kind : {Kind::kSilent, Kind::kReset, Kind::kBusy}) {
    const int calls = count(kind, MonotonicTime(0));
    MESSAGE(at_rest << " calls at rest, " << calls << " in an outage");
    CHECK(calls * kFeeds / kSeconds < kReadsPerSecond / 4);
  }
}

TEST_CASE("a late answer does not take the view back") {
  FeedSchedule schedule([] { return 0.5; });
  schedule.Reset(7);
  const FeedCall late = schedule.Start();
  const FeedCall second = schedule.Start();
  CHECK(late.wait > second.wait);
  FeedAnswer answer = schedule.OnAnswer(second, 9);
  CHECK(answer.use);
  CHECK(answer.send);
  const FeedCall third = schedule.Start();
  CHECK(third.after == 9);
  answer = schedule.OnAnswer(late, 8);
  CHECK_FALSE(answer.use);
  CHECK_FALSE(answer.send);
  answer = schedule.OnAnswer(late, 10);
  CHECK_FALSE(answer.use);
  CHECK(schedule.version() == 9);
  answer = schedule.OnAnswer(third, 10);
  CHECK(answer.use);
  CHECK(answer.send);
  // Nor does an answer that belongs to the table before it was read anew.
  const FeedCall fourth = schedule.Start();
  schedule.Reset(10);
  CHECK_FALSE(schedule.IsAwaited(fourth));
  CHECK_FALSE(schedule.OnAnswer(fourth, 11).use);
}

// Guards against a failure of an earlier call that marks a store as unreachable
// that has answered since.
TEST_CASE("a failed call counts until a later one is answered") {
  FeedSchedule schedule([] { return 0.5; });
  const FeedCall first = schedule.Start();
  const FeedCall second = schedule.Start();
  const FeedCall third = schedule.Start();
  CHECK(schedule.reachable());
  CHECK_FALSE(schedule.OnFailure(first).has_value());
  CHECK_FALSE(schedule.reachable());
  CHECK(schedule.OnAnswer(third, 1).send);
  CHECK(schedule.reachable());
  CHECK_FALSE(schedule.OnFailure(second).has_value());
  CHECK(schedule.reachable());
}

// Guards against nodes that all call at the moment at which the store closed
// their connections, or at one moment after it.
TEST_CASE("calls after a failure are spread") {
  const auto delay = [](double share) {
    FeedSchedule schedule([share] { return share; });
    return schedule.OnFailure(schedule.Start()).value();
  };
  CHECK(delay(0.0) == MonotonicTime(0));
  CHECK(delay(0.99) - delay(0.0) > milliseconds(400));
}

}  // namespace
}  // namespace mangospread::table
