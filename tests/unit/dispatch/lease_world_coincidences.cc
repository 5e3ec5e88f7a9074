// Losses that coincide, which random faults alone meet too rarely.
#include <algorithm>
#include <chrono>
#include <string>

#include "unit/dispatch/lease_world.hpp"

namespace mangospread::dispatch::test::lease_bound {
namespace {

using std::chrono::milliseconds;

constexpr int kMostLeaderChanges = 4;
constexpr int kMostRestarts = 4;
constexpr MonotonicTime kSuccession = milliseconds(1'000);

}  // namespace

AgentNode* LeaseWorld::AssignedAgent(const VmName& vm) {
  const auto it = assigned_.find(vm);
  return it == assigned_.end() ? nullptr : &Find(it->second);
}

void LeaseWorld::InjectCoincidence() {
  constexpr std::size_t kKinds = 4;
  if (changes_ >= kMostLeaderChanges) return;
  switch (network_.random.Below(kKinds)) {
    case 0:
      return ChangeLeader();
    case 1:
      return LoseTwoLeaders();
    default:
      return LoseAgentBesideLeader();
  }
}

void LeaseWorld::LoseTwoLeaders() {
  const MonotonicTime ended_at = base::MonotonicNow();
  const MonotonicTime election = network_.random.Between(300, 600);
  ChangeLeader(election);
  network_.timers.After(
      election + MonotonicTime(network_.random.Between(10, 390)),
      [this, ended_at] {
        if (!leader_ || base::MonotonicNow() - ended_at > kSuccession) return;
        ++coincidences_.leaders_in_succession;
        ChangeLeader();
      });
}

void LeaseWorld::LoseAgentBesideLeader() {
  Random& random = network_.random;
  const VmName vm = RandomWorker();
  AgentNode* former = AssignedAgent(vm);
  if (former == nullptr || !former->process->alive || former->process->frozen) {
    return;
  }
  MonotonicTime lead{0};
  if (random.OneIn(3)) {
    Reset(*former, false, true);
    lead = random.Between(100, 900);
  } else {
    Freeze(*former, random.Between(1'500, 4'000));
    lead = random.Between(1'400, 3'000);
  }
  network_.timers.After(lead,
                        [this, vm, former] { EndBesideLeader(vm, *former); });
}

void LeaseWorld::EndBesideLeader(const VmName& vm, AgentNode& former) {
  Random& random = network_.random;
  AgentNode* agent = AssignedAgent(vm);
  if (!leader_ || changes_ >= kMostLeaderChanges || agent == &former ||
      !agent->process->alive) {
    return;
  }
  // What the former agent says then arrives late, or it attaches late.
  if (random.OneIn(2)) {
    former.slow_until = base::MonotonicNow() + random.Between(2'000, 6'000);
  }
  // Else an agent that attaches it soon corrects what the report says.
  if (!random.OneIn(4)) CutOff(vm, random.Between(4'000, 9'000));
  const bool leader_first = random.OneIn(2);
  const MonotonicTime between = random.Between(0, 500);
  const MonotonicTime pause = random.Between(50, 400);
  const auto end_leader = [this] {
    if (network_.random.OneIn(4)) return LoseTwoLeaders();
    ChangeLeader();
  };
  if (leader_first) {
    end_leader();
    network_.timers.After(between, [this, vm, &former, agent, pause] {
      if (!agent->process->alive) return;
      CountBesideLeader(vm, former);
      Replace(*agent, pause);
    });
    return;
  }
  Replace(*agent, pause);
  network_.timers.After(between, [this, vm, &former, end_leader] {
    if (!leader_) return;
    CountBesideLeader(vm, former);
    end_leader();
  });
}

void LeaseWorld::CountBesideLeader(const VmName& vm, const AgentNode& former) {
  if (!former.process->alive) return;
  const auto known = former.agent->CollectRuns();
  const bool outdated = std::any_of(
      known.begin(), known.end(),
      [&](const FormerLeaderRuns& runs) { return runs.worker.vm == vm; });
  if (!outdated) return;
  Note(former.id.str() + " has an outdated session with " + vm.str());
  ++coincidences_.agents_beside_leader;
}

void LeaseWorld::RestartBehindCommand(const VmName& vm) {
  ModelWorker& worker = network_.workers.at(vm);
  if (worker.gone || restarts_ >= kMostRestarts) return;
  ++restarts_;
  worker.hold_next = network_.random.Between(100, 600);
}

void LeaseWorld::OnHeld(const VmName& vm, Milliseconds held) {
  if (!options_.coincidences) return;
  Random& random = network_.random;
  const MonotonicTime age = random.Between(1, 3'000);
  const int until = static_cast<int>(held.count());
  network_.timers.After(random.Between(0, until - 1), [this, vm, age] {
    ++coincidences_.restarted_workers;
    RestartWorker(vm, age);
  });
  // The agent is lost before it can say how long the lease is, and the next one
  // does not reach the worker.
  if (!random.OneIn(2)) return;
  const MonotonicTime lost_after = held + random.Between(0, 2'500);
  const MonotonicTime cut_off_for = random.Between(3'000, 9'000);
  network_.timers.After(lost_after, [this, vm, cut_off_for] {
    CutOff(vm, cut_off_for);
    AgentNode* agent = AssignedAgent(vm);
    if (agent != nullptr) Replace(*agent, network_.random.Between(50, 3'000));
  });
}

void LeaseWorld::CutOff(const VmName& vm, MonotonicTime time) {
  network_.workers.at(vm).cut_off = true;
  Note(vm.str() + " is cut off");
  network_.timers.After(time, [this, vm] {
    network_.workers.at(vm).cut_off = false;
    Note(vm.str() + " is back");
  });
}

void LeaseWorld::RestartWorker(const VmName& vm, MonotonicTime age) {
  Note("process of " + vm.str() + " is replaced");
  network_.workers.at(vm).Restart(age);
}

}  // namespace mangospread::dispatch::test::lease_bound
