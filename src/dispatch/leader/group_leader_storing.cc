// What a leader writes to the table: progress, ended submissions and the
// learned interference.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/leader/interference_row.hpp"

namespace mangospread::dispatch {
namespace {

using table::WriteStatus;

constexpr int kMaxSweptPerTick = 8;

}  // namespace

Transaction GroupLeader::LeaderTransaction() const {
  Transaction change;
  change.conditions.push_back({kLeaderKey, deps_.leadership.version});
  return change;
}

bool GroupLeader::CheckConflict(const table::WriteResult& result) {
  if (result.status != WriteStatus::kConflict) return false;
  const auto& keys = result.failed_keys;
  if (std::find(keys.begin(), keys.end(), kLeaderKey) == keys.end()) {
    return false;
  }
  base::Log(base::Event::kLeaderLost,
            {{"leader", deps_.self.str()},
             {"reason", "write_conflict"},
             {"epoch", deps_.leadership.epoch.value()},
             {"version", deps_.leadership.version.value()}});
  deps_.on_conflict();
  return true;
}

MonotonicTime GroupLeader::RetryTime(const table::WriteResult& result) const {
  if (result.status != WriteStatus::kRejected) return MonotonicTime(0);
  return base::MonotonicNow() + options_.rejected_row_delay;
}

void GroupLeader::MarkDirty(const SubmissionId& id) {
  dirty_.insert(id);
  unsaved_since_.emplace(id, base::MonotonicNow());
  if (flush_timer_.active()) return;
  flush_timer_ = deps_.loop.After(options_.save_delay, [this] { Flush(); });
}

void GroupLeader::Flush() {
  for (const SubmissionId& id : std::exchange(dirty_, {})) {
    if (saving_.contains(id)) {
      dirty_.insert(id);  // Saved again when the write in flight completes.
      continue;
    }
    Save(id);
  }
}

void GroupLeader::OnSaved(const SubmissionId& id, std::uint64_t generation,
                          const table::WriteResult& result) {
  saving_.erase(id);
  if (result.status != WriteStatus::kCommitted) {
    if (CheckConflict(result)) return;
    dirty_.insert(id);
    // The row of a failed submission lists no tasks, so it can be stored.
    if (result.status == WriteStatus::kRejected) {
      dispatcher_->Fail(id, "progress_not_storable");
    }
    if (!flush_timer_.active()) {
      flush_timer_ =
          deps_.loop.After(options_.save_retry_delay, [this] { Flush(); });
    }
    const auto waiting = cancelling_callbacks_.extract(id);
    if (!waiting.empty()) {
      for (const auto& done : waiting.mapped()) {
        done(MakeReply(ServiceResult::kUnknown));
      }
    }
    return;
  }
  const MonotonicTime now = base::MonotonicNow();
  const auto since = unsaved_since_.extract(id);
  if (!since.empty()) {
    deps_.observe(Timing::kEndStored, now - since.mapped());
  }
  dispatcher_->OnSaved(id, generation, now);
  const auto state = dispatcher_->State(id);
  if (state && IsFinal(*state)) {
    ended_.push_back({id, now});
    base::Log(base::Event::kSubmissionEnded,
              {{"request", id.str()},
               {"state", StateName(*state)},
               {"row_version", result.version.value()}});
    const auto waiting = cancelling_callbacks_.extract(id);
    if (!waiting.empty()) {
      for (const auto& done : waiting.mapped()) {
        done(MakeReply(ServiceResult::kOk));
      }
    }
  }
  if (dirty_.contains(id)) MarkDirty(id);
  RequestDecision();
}

void GroupLeader::SweepEnded(MonotonicTime now) {
  for (int swept = 0; swept < kMaxSweptPerTick && !ended_.empty() &&
                      now - ended_.front().ended_at > options_.ended_retention;
       ++swept) {
    const EndedSubmission ended = ended_.front();
    ended_.pop_front();
    RemoveProgress(ended);
  }
}

void GroupLeader::SaveInterference() {
  if (!loaded_ || interference_saving_ || !writer_.table_reachable()) return;
  std::string value = EncodeInterference(dispatcher_->interference().Export());
  if (value == saved_interference_) return;
  interference_saving_ = true;
  Transaction change = LeaderTransaction();
  change.writes.push_back({kInterferenceKey, value});
  writer_.Submit(std::move(change),
                 [this, value](const table::WriteResult& result) {
                   interference_saving_ = false;
                   if (CheckConflict(result)) return;
                   if (result.status == WriteStatus::kCommitted) {
                     saved_interference_ = value;
                   }
                 });
}

void GroupLeader::RestoreInterference(std::string_view value) {
  const auto learned = DecodeInterference(value);
  if (!learned.ok()) {
    base::Log(base::Event::kEntryMalformed, {{"source", "sharing"}});
    return;
  }
  dispatcher_->ImportInterference(learned.value());
}

}  // namespace mangospread::dispatch
