// The leader, the checks and the faults of the model; the channels are in
// lease_world_channels.cc.
#include "unit/dispatch/lease_world.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "dispatch/leader/agents_row.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test::lease_bound {
namespace {

using std::chrono::milliseconds;

constexpr const char* kId = "00000000000000aa";
/// Each worker runs up to two tasks, so that two that are gone leave room.
constexpr int kTaskMillicores = 1'000;
constexpr int kMostGone = 2;
constexpr int kMostLeaderChanges = 2;
constexpr std::size_t kRestartShare = 4;

/// What a world does to its nodes.
enum class Fault : std::uint8_t {
  kReset,        ///< Both sides notice it.
  kSilentReset,  ///< One side or both find out by their timeouts.
  kReplace,
  kFreeze,
  kSlow,
  kCutWorker,
  kGone,
  kLeader,
};

/// Each is as likely as it is frequent here.
constexpr std::array kFaults = {
    Fault::kReset,     Fault::kSilentReset, Fault::kReplace,
    Fault::kFreeze,    Fault::kSlow,        Fault::kSlow,
    Fault::kCutWorker, Fault::kCutWorker,   Fault::kCutWorker,
    Fault::kGone,      Fault::kLeader};

}  // namespace

LeaseWorld::LeaseWorld(const WorldOptions& options)
    : options_(options),
      network_(loop_, options.seed),
      started_at_(base::MonotonicNow()) {
  constexpr std::size_t kFewestAgents = 4;
  const std::size_t agent_counts = options_.coincidences ? 6 : 3;
  network_.on_overlap = [this](const std::string& task, const VmName& vm) {
    early_.push_back(task + " runs twice, also on " + vm.str());
    Note(early_.back());
  };
  network_.on_held = [this](const VmName& vm, Milliseconds held) {
    OnHeld(vm, held);
  };
  for (const auto& [vm, info] : Listed()) {
    constexpr std::size_t kSlowestLoss = 20;
    ModelWorker& worker = network_.workers[vm];
    worker.clock_per_mille -=
        static_cast<std::int64_t>(network_.random.Below(kSlowestLoss + 1));
  }
  network_.steady = !options_.faults;
  const std::size_t count =
      options_.agents > 0 ? options_.agents
                          : kFewestAgents + network_.random.Below(agent_counts);
  for (std::size_t i = 0; i < count; ++i) {
    auto node = std::make_unique<AgentNode>();
    node->id = NodeId("a" + std::to_string(i + 1));
    agents_.push_back(std::move(node));
  }
  tick_timer_ = loop_.Every(milliseconds(300), 0.05, [this] { Tick(); });
  Lead();
  RunFor(milliseconds(20));
  for (const auto& node : agents_) StartProcess(*node);
  RunFor(milliseconds(500));
  if (options_.tasks > 0) Submit(SubmissionId(kId), options_.tasks);
  RunFor(milliseconds(1'500));
}

LeaseWorld::~LeaseWorld() {
  for (const auto& node : agents_) node->process->alive = false;
}

std::map<VmName, WorkerInfo> LeaseWorld::Listed() const {
  std::map<VmName, WorkerInfo> listed;
  for (int number = 1; number <= options_.workers; ++number) {
    WorkerInfo info;
    info.vm = VmName("w" + std::to_string(number));
    info.service = ServiceName("s");
    info.capacity.cpu = Millicores(2 * kTaskMillicores);
    info.capacity.memory = Mebibytes(4'000);
    listed.emplace(info.vm, info);
  }
  return listed;
}

void LeaseWorld::Note(const std::string& line) {
  const auto at = std::chrono::duration_cast<milliseconds>(
      base::MonotonicNow() - started_at_);
  trace_.push_back(std::to_string(at.count()) + " ms " + line);
}

std::string LeaseWorld::Trace() const {
  std::string all = "seed " + std::to_string(options_.seed) + "\n";
  for (const std::string& line : trace_) all += line + "\n";
  return all;
}

void LeaseWorld::RunFor(MonotonicTime time) {
  const auto stop = loop_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

bool LeaseWorld::RunUntil(const std::string& text, MonotonicTime limit) {
  const std::size_t seen = trace_.size();
  const MonotonicTime until = base::MonotonicNow() + limit;
  while (base::MonotonicNow() < until) {
    RunFor(milliseconds(1));
    const bool found =
        std::any_of(trace_.begin() + static_cast<std::ptrdiff_t>(seen),
                    trace_.end(), [&](const std::string& line) {
                      return line.find(text) != std::string::npos;
                    });
    if (found) return true;
  }
  return false;
}

// The leader and the checks.

void LeaseWorld::Lead() {
  ++epoch_;
  if (options_.coincidences && last_record_) {
    // A leader that ends soon after its election leaves no other row.
    return rows_.Read({{kAgentsKey}, {}},
                      [this](const auto& stored) { Claim(stored.value()); });
  }
  Claim({});
}

void LeaseWorld::Claim(const std::vector<Row>& stored) {
  Transaction claim{{}, {{kLeaderKey, "epoch " + std::to_string(epoch_)}}};
  const auto row =
      stored.empty() ? std::nullopt : DecodeAgentsRow(stored[0].value);
  if (row) {
    LeaderRecord record;
    record.node = NodeId("l" + std::to_string(epoch_));
    record.epoch = Epoch(epoch_);
    const auto claimed = ClaimAgentsRow(
        *row, {last_record_->node, last_record_->incarnation}, record);
    if (claimed) {
      claim.writes.push_back({kAgentsKey, EncodeAgentsRow(*claimed)});
    }
  }
  rows_.Transact(std::move(claim), [this](const TransactResult& won) {
    MakeLeader(won.version);
  });
}

void LeaseWorld::MakeLeader(RowVersion version) {
  LeaderRecord record;
  record.node = NodeId("l" + std::to_string(epoch_));
  record.epoch = Epoch(epoch_);
  record.version = version;
  GroupLeaderDependencies deps{
      loop_,
      rows_,
      record.node,
      DataCenter("dc"),
      "writer/" + record.node.str(),
      record,
      [](const SubmissionId& id, std::string_view tasks) {
        return Result<Submission>(DispatcherFixture::MakeSubmission(
            id.str().c_str(),
            {DispatcherFixture::MakeStep(std::stoi(std::string(tasks)),
                                         kTaskMillicores)}));
      },
      [this, epoch = record.epoch](const NodeId& agent, AgentCommand command) {
        OnCommand(epoch, agent, std::move(command));
      },
      [this](Timing timing, MonotonicTime) { OnTiming(timing); },
      [] {},
      [] {},
      [] { return true; },
      [](const auto& done) { done(true); },
      last_record_};
  last_record_ = record;
  leader_ =
      std::make_unique<GroupLeader>(std::move(deps), GroupLeaderOptions());
  Note(record.node.str() + " leads");
  leader_->OnWorkers(Listed());
  leader_->Start();
}

void LeaseWorld::Submit(const SubmissionId& id, int tasks) {
  constexpr int kManyAttempts = 1'000;
  ServiceCall call;
  call.verb = ServiceVerb::kSubmit;
  call.submission = id;
  call.policy = DispatcherFixture::Policy();
  call.policy.attempts = kManyAttempts;
  call.payload = std::to_string(tasks);
  leader_->Handle(std::move(call), [](const ServiceReply&) {});
}

void LeaseWorld::OnCommand(Epoch epoch, const NodeId& agent,
                           AgentCommand command) {
  if (epoch != Epoch(epoch_)) return;
  if (const auto* start = std::get_if<StartRun>(&command)) {
    Note("leader starts " + start->task + " on " + start->vm.str() +
         " through " + agent.str());
    if (network_.RunsElsewhere(start->task, start->vm)) {
      early_.push_back(start->task + " is started on " + start->vm.str() +
                       " while it runs elsewhere");
      Note(early_.back());
    }
  } else if (const auto* assignment = std::get_if<Assignment>(&command)) {
    assigned_.insert_or_assign(assignment->worker.vm, agent);
    Note("leader assigns " + assignment->worker.vm.str() + " to " +
         agent.str() + LeaseText(assignment->lease_left));
  }
  const auto it = connections_.find(agent);
  if (it == connections_.end()) return;
  AgentNode& node = Find(agent);
  SendToAgent(it->second, [&node, command = std::move(command)] {
    node.agent->Execute(command);
  });
}

void LeaseWorld::OnTiming(Timing timing) {
  if (timing != Timing::kWorkerRemoved) return;
  // The removal follows within the callback of the leader. It reports none of a
  // worker that it has never attached; there the starts show an early removal.
  std::map<VmName, std::vector<RunId>> before;
  for (const auto& [vm, worker] : network_.workers) {
    before.emplace(vm, leader_->dispatcher().Runs(vm));
  }
  loop_.Post([this, before = std::move(before), epoch = epoch_] {
    if (leader_ && epoch == epoch_) CheckRemoved(before);
  });
}

void LeaseWorld::CheckRemoved(
    const std::map<VmName, std::vector<RunId>>& before) {
  for (const auto& [vm, runs] : before) {
    if (runs.empty() || !leader_->dispatcher().Runs(vm).empty()) continue;
    ++removals_;
    Note("leader removes " + vm.str());
    if (!IsHeld(vm, runs)) continue;
    early_.push_back(vm.str() + " is removed while its lease is valid");
    Note(early_.back());
  }
}

bool LeaseWorld::IsHeld(const VmName& vm,
                        const std::vector<RunId>& runs) const {
  const ModelWorker& worker = network_.workers.at(vm);
  if (!worker.HoldsLease()) return false;
  if (worker.incarnation == WorkerIncarnation(1)) return true;
  // The runs of a former process have ended with it.
  return std::any_of(runs.begin(), runs.end(), [&](const RunId& run) {
    const auto it = worker.runs.find(run.task);
    return it != worker.runs.end() && it->second == run.run;
  });
}

// Faults.

void LeaseWorld::Run() {
  NextFault();
  RunFor(options_.duration);
}

void LeaseWorld::NextFault() {
  if (!options_.faults) return;
  network_.timers.After(network_.random.Between(50, 700), [this] {
    InjectFault();
    NextFault();
  });
}

void LeaseWorld::InjectFault() {
  Random& random = network_.random;
  AgentNode& node = *agents_[random.Below(agents_.size())];
  switch (kFaults.at(random.Below(kFaults.size()))) {
    case Fault::kReset:
      return Reset(node, true, true);
    case Fault::kSilentReset:
      return Reset(node, random.OneIn(2), random.OneIn(2));
    case Fault::kReplace:
      return Replace(node, random.Between(50, 3'000));
    case Fault::kFreeze:
      return Freeze(
          node, random.Between(
                    300, static_cast<int>(options_.longest_freeze.count())));
    case Fault::kSlow:
      node.slow_until = base::MonotonicNow() + random.Between(100, 2'000);
      return Note("frames of " + node.id.str() + " are slow");
    case Fault::kCutWorker:
      if (options_.coincidences && random.OneIn(kRestartShare)) {
        return RestartBehindCommand(RandomWorker());
      }
      return CutWorker();
    case Fault::kGone:
      return LoseWorker();
    case Fault::kLeader:
      if (!options_.changes_leader || !leader_) return;
      if (options_.coincidences) return InjectCoincidence();
      if (changes_ < kMostLeaderChanges) ChangeLeader();
  }
}

VmName LeaseWorld::RandomWorker() {
  const std::size_t index = network_.random.Below(network_.workers.size());
  return VmName("w" + std::to_string(index + 1));
}

void LeaseWorld::LoseWorker() {
  // Rare, so that agents are lost before and after it.
  constexpr std::size_t kGoneShare = 3;
  if (gone_ >= kMostGone || !network_.random.OneIn(kGoneShare)) return;
  const VmName vm = RandomWorker();
  if (!network_.workers.at(vm).gone) Gone(vm);
}

void LeaseWorld::CutWorker() {
  Random& random = network_.random;
  const VmName vm = RandomWorker();
  ModelWorker& worker = network_.workers.at(vm);
  if (random.OneIn(2)) {
    worker.cut_off = true;
    Note(vm.str() + " is cut off");
    network_.timers.After(random.Between(300, 8'000), [this, vm, &worker] {
      worker.cut_off = false;
      Note(vm.str() + " is back");
    });
    return;
  }
  const NodeId agent = agents_[random.Below(agents_.size())]->id;
  worker.cut_from.insert(agent);
  Note(vm.str() + " is cut off from " + agent.str());
  network_.timers.After(random.Between(300, 8'000), [this, vm, agent, &worker] {
    worker.cut_from.erase(agent);
    Note(vm.str() + " is back at " + agent.str());
  });
}

void LeaseWorld::Gone(const VmName& vm) {
  ++gone_;
  network_.workers.at(vm).gone = true;
  Note(vm.str() + " is gone");
  if (options_.changes_leader || !leader_) return;
  const std::vector<RunId> runs = leader_->dispatcher().Runs(vm);
  if (runs.empty()) return;
  WatchGone(vm, runs.front(), base::MonotonicNow());
}

void LeaseWorld::WatchGone(const VmName& vm, const RunId& run,
                           MonotonicTime since) {
  const auto& runs = leader_->dispatcher().Runs(vm);
  const bool counted =
      std::any_of(runs.begin(), runs.end(), [&](const RunId& left) {
        return left.task == run.task && left.run == run.run;
      });
  const MonotonicTime waited = base::MonotonicNow() - since;
  longest_wait_ = std::max(longest_wait_, waited);
  if (!counted) {
    ++given_up_;
    return Note(vm.str() + " is given up " +
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(waited).count()) +
                " ms after it was gone");
  }
  constexpr Milliseconds kWatchPeriod{10};
  network_.timers.After(kWatchPeriod,
                        [this, vm, run, since] { WatchGone(vm, run, since); });
}

void LeaseWorld::ChangeLeader(std::optional<MonotonicTime> election) {
  ++changes_;
  Note("leader ends");
  leader_.reset();
  connections_.clear();
  permitted_at_.clear();
  for (const auto& connection : std::exchange(accepted_, {})) {
    connection->lost = true;
    connection->leader_open = false;
    if (network_.random.OneIn(3)) continue;
    network_.timers.After(network_.random.Between(0, 50), [this, connection] {
      CloseAgentSide(Find(connection->agent), connection);
    });
  }
  if (!election) election = network_.random.Between(300, 3'000);
  network_.timers.After(*election, [this] { Lead(); });
}

}  // namespace mangospread::dispatch::test::lease_bound
