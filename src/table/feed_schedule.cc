#include "table/feed_schedule.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::table {
namespace {

/// Costs one call per second at rest. With a longer wait, a node that misses
/// the return of the store is late with a change of that moment.
constexpr Milliseconds kWait{1'000};
/// Time that an answer may take beyond the wait before further calls are sent.
constexpr Milliseconds kMinMargin{200};
constexpr Milliseconds kMaxMargin{300};
constexpr Milliseconds kMinRetryDelay{300};
constexpr Milliseconds kMaxRetryDelay{500};
/// Time that an answer may take beyond the wait before it is given up. A slow
/// store still serves its changes while its answers take less.
constexpr Milliseconds kAnswerTimeout{2'000};

MonotonicTime Between(Milliseconds min, Milliseconds max, double share) {
  const MonotonicTime range = max - min;
  return min + MonotonicTime(static_cast<MonotonicTime::rep>(
                   static_cast<double>(range.count()) * share));
}

}  // namespace

FeedSchedule::FeedSchedule(std::function<double()> random)
    : random_(std::move(random)) {}

void FeedSchedule::Reset(std::uint64_t version) {
  version_ = version;
  first_id_ = last_id_ + 1;
  last_answered_id_ = last_id_;
  last_waits_ = false;
  may_wait_ = true;
  reachable_ = true;
}

FeedCall FeedSchedule::Start() {
  last_waits_ = std::exchange(may_wait_, false);
  const Milliseconds wait = last_waits_ ? kWait : Milliseconds(0);
  const MonotonicTime next =
      last_waits_ ? wait + Between(kMinMargin, kMaxMargin, random_())
                  : RetryDelay();
  return {++last_id_, version_, wait, wait + kAnswerTimeout, next};
}

FeedAnswer FeedSchedule::OnAnswer(const FeedCall& call, std::uint64_t version) {
  if (!IsAwaited(call)) return {};
  reachable_ = true;
  last_answered_id_ = std::max(last_answered_id_, call.id);
  FeedAnswer answer;
  // Changes after an older version would take rows back to former values; the
  // next call receives those that are missing.
  answer.use = call.after == version_;
  if (answer.use) version_ = std::max(version_, version);
  answer.send = call.id == last_id_ || !last_waits_;
  if (answer.send) may_wait_ = true;
  return answer;
}

std::optional<MonotonicTime> FeedSchedule::OnFailure(const FeedCall& call) {
  if (!IsAwaited(call)) return std::nullopt;
  if (call.id > last_answered_id_) reachable_ = false;
  if (call.id != last_id_ || !last_waits_) return std::nullopt;
  // The connections of all nodes may have been closed at the same moment.
  return Between(Milliseconds(0), kMaxRetryDelay, random_());
}

MonotonicTime FeedSchedule::RetryDelay() const {
  return Between(kMinRetryDelay, kMaxRetryDelay, random_());
}

}  // namespace mangospread::table
