#include "dispatch/leader/group_leader.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/interference_row.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Run numbers per task reserved for one epoch, so that runs of a later epoch
/// have higher numbers.
constexpr std::uint32_t kRunsPerEpoch = 1'000;
constexpr MonotonicTime kLoadRetryDelay = milliseconds(300);
table::WriterOptions MakeWriterOptions() {
  table::WriterOptions options;
  options.budget = 120;
  options.burst = 240;
  // A transaction takes the same time whatever it holds, and only one is in
  // flight: the other bounds limit the changes in it.
  options.max_group = 100;
  // A transaction may hold 100 entries and 1 MB, in which values take a third
  // more space than here.
  options.max_entries = 100;
  options.max_value_bytes = 700'000;
  return options;
}

/// What former leaders permit, which may be former versions if workers hold
/// longer leases than this version grants.
PermissionTimeouts FormerTimeouts(const GroupLeaderOptions& options,
                                  Milliseconds former_lease) {
  PermissionTimeouts timeouts = options.permission_timeouts;
  if (former_lease > options.lease) {
    timeouts.leases = std::max(timeouts.leases, kFormerVersionLeasePermission);
  }
  return timeouts;
}

}  // namespace

GroupLeader::GroupLeader(GroupLeaderDependencies dependencies,
                         GroupLeaderOptions options)
    : deps_(std::move(dependencies)),
      options_(options),
      writer_(deps_.loop, deps_.table, deps_.writer_key, MakeWriterOptions()),
      started_at_(base::MonotonicNow()),
      max_work_bytes_(options_.max_work_bytes),
      agent_register_(deps_.leadership.epoch, deps_.self),
      former_timeouts_(FormerTimeouts(options_, deps_.former_lease)),
      former_leaders_(started_at_, FormerElectedBy(),
                      deps_.former_confirmed_by.value_or(started_at_),
                      former_timeouts_),
      agent_lease_(options_.lease) {
  const auto first_run = static_cast<std::uint32_t>(
      (deps_.leadership.epoch.value() - 1) * kRunsPerEpoch + 1);
  DispatcherHooks hooks;
  hooks.send = [this](AgentCommand command) {
    SendToAgent(std::move(command));
  };
  hooks.first_start = [this](MonotonicTime waited) {
    deps_.observe(Timing::kFirstStart, waited);
  };
  hooks.save = [this](const SubmissionId& id) { MarkDirty(id); };
  hooks.log = [this](const TaskName& name, const VmName& vm,
                     std::string_view decision, std::string_view reason) {
    LogDecision(name, vm, decision, reason);
  };
  hooks.log_lost = &GroupLeader::LogLost;
  const MonotonicTime unix_epoch =
      base::MonotonicNow() - std::chrono::nanoseconds(base::WallNanoseconds());
  dispatcher_ =
      std::make_unique<Dispatcher>(std::move(hooks), first_run, unix_epoch);
}

GroupLeader::~GroupLeader() { *alive_ = false; }

void GroupLeader::LogDecision(const TaskName& name, const VmName& vm,
                              std::string_view decision,
                              std::string_view reason) const {
  base::Log(base::Event::kRunDecided, {{"request", name.submission.str()},
                                       {"task", ToString(name)},
                                       {"vm", vm.str()},
                                       {"decision", decision},
                                       {"reason", reason}});
}

void GroupLeader::LogLost(const LostRun& lost, const VmName& vm) {
  base::Log(
      base::Event::kRunLost,
      {{"request", lost.task.submission.str()},
       {"task", ToString(lost.task)},
       {"run", lost.run},
       {"vm", vm.str()},
       {"start_confirmed", lost.start_confirmed},
       {"exposure_ms", duration_cast<milliseconds>(lost.exposure).count()},
       {"suspicion", SuspicionName(lost.suspicion)},
       {"certain", lost.certain},
       {"earlier_losses", lost.earlier.size()}});
}

void GroupLeader::RequestDecision() {
  if (!loaded_ || decide_timer_.active()) return;
  decide_timer_ = deps_.loop.After(options_.decide_delay, [this] {
    // The next tick requests a decision again.
    if (deps_.knows_evacuations && !deps_.knows_evacuations()) return;
    if (deps_.confirmed()) dispatcher_->Decide(base::MonotonicNow());
  });
}

// Loading.

void GroupLeader::Start() {
  tick_timer_ = deps_.loop.Every(options_.tick_period, 0.1, [this] { Tick(); });
  interference_timer_ = deps_.loop.Every(options_.interference_save_period, 0.1,
                                         [this] { SaveInterference(); });
  Load();
}

void GroupLeader::Load() {
  constexpr std::size_t kAll = 1'000'000;
  ReadRequest request;
  request.keys = {kAgentsKey, kInterferenceKey};
  request.ranges = {{kRosterKey, {}, kAll},
                    {kJobPrefix, {}, kAll},
                    {kProgressPrefix, {}, kAll}};
  deps_.table.Read(
      std::move(request),
      [this, alive = alive_](const Result<std::vector<Row>>& rows) {
        if (!*alive) return;
        if (rows.ok()) return OnLoaded(rows.value());
        base::Log(base::Event::kStoreUnreachable,
                  {{"reading", "submissions"},
                   {"error", ErrcName(rows.error().code)}});
        load_timer_ = deps_.loop.After(kLoadRetryDelay, [this] { Load(); });
      });
}

void GroupLeader::OnLoaded(const std::vector<Row>& rows) {
  // Decoded at once, since the requests take as much memory again.
  std::map<SubmissionId, StoredJob> jobs;
  StoredProgress stored;
  std::optional<std::string> agents;
  for (const Row& row : rows) {
    const std::size_t slash = row.key.find('/');
    const SubmissionId id(row.key.substr(slash + 1));
    const std::string prefix = row.key.substr(0, slash + 1);
    if (prefix == kJobPrefix) {
      auto job = DecodeStoredJob(id, row.value);
      if (job) jobs.emplace(id, std::move(*job));
    } else if (prefix == kProgressPrefix) {
      if (!stored.Add(id.str(), row.value)) {
        base::Log(base::Event::kEntryMalformed,
                  {{"source", "progress"}, {"key", row.key}});
      }
    } else if (row.key == kInterferenceKey) {
      RestoreInterference(row.value);
    } else if (row.key == kAgentsKey) {
      agents = row.value;
    } else {
      DecodeRoster(row.value, roster_);
      ++roster_rows_;
    }
  }
  progress_rows_ = std::move(stored.further);
  const auto& progress = stored.rows;
  for (auto& [id, job] : jobs) {
    const auto it = progress.find(id);
    RestoreJob(std::move(job),
               it == progress.end() ? JobProgress() : it->second.progress);
  }
  for (const auto& [id, row] : progress) {
    if (!jobs.contains(id) && IsFinal(row.progress.state)) {
      QueuePolicy policy;
      policy.queue = row.queue;
      Submission submission;
      submission.id = id;
      dispatcher_->Restore(std::move(submission), std::move(policy),
                           row.progress, base::MonotonicNow());
      ended_.push_back({id, base::MonotonicNow()});
      if (!row.submitted) unsubmitted_.insert(id);
    }
  }
  loaded_ = true;
  loaded_at_ = base::MonotonicNow();
  unresolved_ = roster_;
  LoadAgents(agents);
  for (auto& [vm, former] : former_workers_) {
    BoundUnknownLease(former);
    AddFormerWorker(vm);
  }
  StartAttachTimer();
  base::Log(base::Event::kSchedulerRebuilt,
            {{"epoch", deps_.leadership.epoch.value()},
             {"submissions", jobs.size()},
             {"ended", progress.size()},
             {"workers", roster_.size()},
             {"took_ms",
              duration_cast<milliseconds>(base::MonotonicNow() - started_at_)
                  .count()}});
  takeover_log_timer_ = deps_.loop.Every(options_.takeover_log_period, 0,
                                         [this] { LogTakeoverWait(); });
  CheckResume();
  OnWorkers(std::map<VmName, WorkerInfo>(listed_));
  SaveAgents();
  deps_.on_loaded();
}

std::optional<GroupLeader::StoredJob> GroupLeader::DecodeStoredJob(
    const SubmissionId& id, std::string_view value) const {
  auto row = DecodeJobRow(value);
  if (!row.ok()) return std::nullopt;
  auto submission = deps_.decode(id, row.value().payload);
  if (!submission.ok()) {
    base::Log(base::Event::kEntryMalformed,
              {{"source", "job"}, {"request", id.str()}});
    return std::nullopt;
  }
  return StoredJob{std::move(submission.value()), std::move(row.value().policy),
                   row.value().accepted_at_ms};
}

void GroupLeader::RestoreJob(StoredJob job, const JobProgress& progress) {
  const std::uint64_t now = base::WallMilliseconds();
  const std::uint64_t age =
      now > job.accepted_at_ms ? now - job.accepted_at_ms : 0;
  dispatcher_->Restore(
      std::move(job.submission), std::move(job.policy), progress,
      base::MonotonicNow() - milliseconds(static_cast<std::int64_t>(age)));
}

void GroupLeader::OnWorkLimit(std::size_t max_work_bytes) {
  if (max_work_bytes == 0) return;
  max_work_bytes_ = std::min(max_work_bytes_, max_work_bytes);
}

}  // namespace mangospread::dispatch
