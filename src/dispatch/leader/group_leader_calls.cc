// Calls of clients on submissions, and the writes that decide whether a
// submission exists.
#include <algorithm>
#include <limits>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/done_tasks.hpp"
#include "dispatch/leader/group_leader.hpp"

namespace mangospread::dispatch {
namespace {

using table::WriteStatus;

constexpr Milliseconds kShortRetryAfter{500};
/// Callers are told full seconds, and the shortest, since the length of an
/// outage is not known and they give up after a few seconds. Differs from other
/// delays, so that a log line shows which of them applied.
constexpr Milliseconds kTableDownRetryAfter{900};
/// Memory becomes free when submissions have ended and their states are not
/// asked for any more.
constexpr Milliseconds kNoMemoryRetryAfter{5'000};
/// What a first row of progress holds beside the tasks that are done.
constexpr std::size_t kOtherProgressBytes = 1'024;

/// Why a submission that was not stored is refused, for logs.
std::string_view RefusalReason(WriteStatus status) {
  switch (status) {
    case WriteStatus::kConflict:
      return "conflict";
    case WriteStatus::kRejected:
      return "store_rejected";
    default:
      return "store_unavailable";
  }
}

ServiceReply ReplyAfter(WriteStatus status) {
  switch (status) {
    case WriteStatus::kCommitted:
      return MakeReply(ServiceResult::kOk);
    case WriteStatus::kRejected:
      return MakeReply(ServiceResult::kInvalid);
    default:
      return MakeRefusal(kShortRetryAfter);
  }
}

void LogRefusal(const SubmissionId& id, std::string_view reason) {
  base::Log(base::Event::kSubmissionRefused,
            {{"request", id.str()}, {"reason", reason}});
}

/// Stores a submission of which nothing ever runs.
Write CancelledWrite(const SubmissionId& id, const QueueName& queue,
                     bool submitted) {
  ProgressRow row;
  row.queue = queue;
  row.progress.state = SubmissionState::kCancelled;
  row.submitted = submitted;
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  return {ProgressKey(id, 0), EncodeProgressRow(row, kUnlimited).value()};
}

Submission EmptySubmission(const SubmissionId& id) {
  Submission submission;
  submission.id = id;
  return submission;
}

}  // namespace

void GroupLeader::Handle(ServiceCall call, ServiceCallback done) {
  if (!loaded_) return done(MakeRefusal(kShortRetryAfter));
  if (call.verb == ServiceVerb::kPending) {
    ServiceReply reply = MakeReply(ServiceResult::kOk);
    reply.pending = dispatcher_->Pending(call.policy.queue);
    return done(reply);
  }
  if (deferred_calls_.Contains(call.submission)) {
    return Defer(std::move(call), std::move(done));
  }
  switch (call.verb) {
    case ServiceVerb::kSubmit:
      return Submit(std::move(call), std::move(done));
    case ServiceVerb::kCancel:
      return Cancel(call, std::move(done));
    default:
      return ReplyState(std::move(call), std::move(done));
  }
}

void GroupLeader::Defer(ServiceCall call, ServiceCallback done) {
  // A refused query is simply repeated. A submission must not be refused while
  // an earlier copy may be stored, and a cancellation takes effect if it waits.
  if (call.verb == ServiceVerb::kState && !writer_.table_reachable()) {
    return done(MakeRefusal(kTableDownRetryAfter));
  }
  base::Log(base::Event::kCallDeferred, {{"request", call.submission.str()},
                                         {"call", VerbName(call.verb)}});
  deferred_calls_.Add(std::move(call), std::move(done));
}

void GroupLeader::Settle(const SubmissionId& id,
                         const table::WriteResult& result) {
  auto calls = deferred_calls_.End(id);
  if (CheckConflict(result)) {
    for (const auto& [call, done] : calls) done(MakeRefusal(kShortRetryAfter));
    return;
  }
  for (auto& [call, done] : calls) Handle(std::move(call), std::move(done));
}

void GroupLeader::ReplyState(ServiceCall call, ServiceCallback done) {
  const SubmissionId& id = call.submission;
  const auto state = dispatcher_->State(id);
  if (!state) return ReplyNotFound(std::move(call), std::move(done));
  if (unsubmitted_.contains(id)) {
    return done(MakeReply(ServiceResult::kNotFound));
  }
  // A later leader may have stored the end already.
  if (!IsFinal(*state) && !deps_.confirmed()) {
    return done(MakeRefusal(kShortRetryAfter));
  }
  ServiceReply reply = MakeReply(ServiceResult::kOk);
  reply.state = *state;
  done(reply);
}

void GroupLeader::ReplyNotFound(ServiceCall call, ServiceCallback done) {
  deps_.confirm([this, alive = alive_, call = std::move(call),
                 done = std::move(done)](bool leads) {
    if (!*alive || !leads) return done(MakeRefusal(kShortRetryAfter));
    if (deferred_calls_.Contains(call.submission) ||
        dispatcher_->State(call.submission)) {
      return Handle(call, done);
    }
    done(MakeReply(ServiceResult::kNotFound));
  });
}

bool GroupLeader::HasMemoryFor(const SubmissionId& id,
                               std::size_t bytes) const {
  const std::size_t held = dispatcher_->work_bytes() + deferred_calls_.bytes();
  if (held + bytes <= max_work_bytes_) return true;
  base::Log(base::Event::kSubmissionRefused, {{"request", id.str()},
                                              {"reason", "memory"},
                                              {"bytes", bytes},
                                              {"held", held},
                                              {"limit", max_work_bytes_}});
  return false;
}

Result<Submission> GroupLeader::DecodeCall(const ServiceCall& call) const {
  auto submission = deps_.decode(call.submission, call.payload);
  if (!submission.ok()) {
    base::Log(base::Event::kSubmissionRefused,
              {{"request", call.submission.str()},
               {"error", ErrcName(submission.error().code)},
               {"subject", submission.error().subject}});
  }
  return submission;
}

void GroupLeader::Submit(ServiceCall call, ServiceCallback done) {
  const SubmissionId id = call.submission;
  if (unsubmitted_.contains(id)) {
    return SubmitCancelled(call, std::move(done));
  }
  if (dispatcher_->State(id)) return done(MakeReply(ServiceResult::kOk));
  auto submission = DecodeCall(call);
  if (!submission.ok()) return done(MakeReply(ServiceResult::kInvalid));
  const std::size_t bytes = MemoryOfJob(submission.value());
  if (!HasMemoryFor(id, bytes)) return done(MakeRefusal(kNoMemoryRetryAfter));
  if (!writer_.table_reachable()) {
    return done(MakeRefusal(kTableDownRetryAfter));
  }
  std::string value = EncodeJobRow(
      {call.policy, base::WallMilliseconds(), std::move(call.payload)});
  if (value.size() > options_.row_bytes) {
    base::Log(base::Event::kSubmissionRefused, {{"request", id.str()},
                                                {"reason", "too_large"},
                                                {"bytes", value.size()},
                                                {"limit", options_.row_bytes}});
    return done(MakeReply(ServiceResult::kInvalid));
  }
  if (MaxDoneBytes(submission.value()) + kOtherProgressBytes >
      options_.row_bytes) {
    LogRefusal(id, "too_many_tasks");
    return done(MakeReply(ServiceResult::kInvalid));
  }
  Transaction change = AbsentSubmission(id);
  change.writes.push_back({kJobPrefix + id.str(), std::move(value)});
  deferred_calls_.Begin(id, bytes);
  writer_.Submit(std::move(change),
                 [this, done = std::move(done), policy = std::move(call.policy),
                  submission = std::make_shared<Submission>(std::move(
                      submission.value()))](const table::WriteResult& result) {
                   OnSubmitted(std::move(*submission), policy, result, done);
                 });
}

Transaction GroupLeader::AbsentSubmission(const SubmissionId& id) const {
  Transaction change = LeaderTransaction();
  change.conditions.push_back({kJobPrefix + id.str(), RowVersion()});
  change.conditions.push_back({kProgressPrefix + id.str(), RowVersion()});
  return change;
}

void GroupLeader::OnSubmitted(Submission submission, const QueuePolicy& policy,
                              const table::WriteResult& result,
                              const ServiceCallback& done) {
  const SubmissionId id = submission.id;
  if (result.status == WriteStatus::kCommitted) {
    dispatcher_->Add(std::move(submission), policy, base::MonotonicNow());
    base::Log(base::Event::kSubmissionAccepted,
              {{"request", id.str()},
               {"queue", policy.queue.str()},
               {"row_version", result.version.value()}});
    RequestDecision();
  } else {
    LogRefusal(id, RefusalReason(result.status));
  }
  done(ReplyAfter(result.status));
  // Before the decision, so that nothing starts of a cancelled submission.
  Settle(id, result);
}

void GroupLeader::Cancel(const ServiceCall& call, ServiceCallback done) {
  const SubmissionId& id = call.submission;
  const auto state = dispatcher_->State(id);
  if (!state) return CancelUnsubmitted(call, std::move(done));
  if (unsubmitted_.contains(id)) {
    return done(MakeReply(ServiceResult::kNotFound));
  }
  if (IsFinal(*state)) return done(MakeReply(ServiceResult::kOk));
  cancelling_callbacks_[id].push_back(std::move(done));
  dispatcher_->Cancel(id, base::MonotonicNow());
}

void GroupLeader::CancelUnsubmitted(const ServiceCall& call,
                                    ServiceCallback done) {
  const SubmissionId& id = call.submission;
  const std::size_t bytes = MemoryOfEndedJob(EmptySubmission(id));
  if (unsubmitted_.size() >= options_.max_unsubmitted ||
      !HasMemoryFor(id, bytes)) {
    return done(MakeRefusal(kNoMemoryRetryAfter));
  }
  if (!writer_.table_reachable()) {
    return done(MakeRefusal(kTableDownRetryAfter));
  }
  Transaction change = AbsentSubmission(id);
  change.writes.push_back(CancelledWrite(id, call.policy.queue, false));
  deferred_calls_.Begin(id, bytes);
  writer_.Submit(std::move(change),
                 [this, id, policy = call.policy,
                  done = std::move(done)](const table::WriteResult& result) {
                   OnCancelledUnsubmitted(id, policy, result, done);
                 });
}

void GroupLeader::OnCancelledUnsubmitted(const SubmissionId& id,
                                         const QueuePolicy& policy,
                                         const table::WriteResult& result,
                                         const ServiceCallback& done) {
  const bool stored = result.status == WriteStatus::kCommitted;
  if (stored) {
    const MonotonicTime now = base::MonotonicNow();
    JobProgress progress;
    progress.state = SubmissionState::kCancelled;
    dispatcher_->Restore(EmptySubmission(id), policy, progress, now);
    unsubmitted_.insert(id);
    ended_.push_back({id, now});
    base::Log(base::Event::kSubmissionEnded,
              {{"request", id.str()},
               {"state", StateName(progress.state)},
               {"submitted", 0},
               {"row_version", result.version.value()}});
  }
  done(stored ? MakeReply(ServiceResult::kNotFound)
              : MakeRefusal(kShortRetryAfter));
  Settle(id, result);
}

void GroupLeader::SubmitCancelled(const ServiceCall& call,
                                  ServiceCallback done) {
  const SubmissionId& id = call.submission;
  if (!DecodeCall(call).ok()) return done(MakeReply(ServiceResult::kInvalid));
  if (!writer_.table_reachable()) {
    return done(MakeRefusal(kTableDownRetryAfter));
  }
  Transaction change = LeaderTransaction();
  change.writes.push_back(CancelledWrite(id, call.policy.queue, true));
  deferred_calls_.Begin(id, 0);
  writer_.Submit(std::move(change), [this, id, queue = call.policy.queue,
                                     done = std::move(done)](
                                        const table::WriteResult& result) {
    if (result.status == WriteStatus::kCommitted) {
      unsubmitted_.erase(id);
      RetainEnded(id);
      base::Log(base::Event::kSubmissionAccepted,
                {{"request", id.str()},
                 {"queue", queue.str()},
                 {"state", StateName(SubmissionState::kCancelled)},
                 {"row_version", result.version.value()}});
    } else {
      LogRefusal(id, RefusalReason(result.status));
    }
    done(ReplyAfter(result.status));
    Settle(id, result);
  });
}

void GroupLeader::RetainEnded(const SubmissionId& id) {
  const auto it = std::find_if(
      ended_.begin(), ended_.end(),
      [&](const EndedSubmission& ended) { return ended.id == id; });
  if (it == ended_.end()) return;
  ended_.erase(it);
  ended_.push_back({id, base::MonotonicNow()});
}

}  // namespace mangospread::dispatch
