// The channels of the model and both of their sides, as in node.cc and
// node_leading.cc.
#include <algorithm>
#include <chrono>
#include <utility>

#include "unit/dispatch/lease_world.hpp"

namespace mangospread::dispatch::test::lease_bound {
namespace {

using std::chrono::milliseconds;

// As in ChannelTimeouts, NodeOptions and node.cc.
constexpr Milliseconds kPingPeriod{300};
constexpr Milliseconds kReceiveTimeout{1'100};
constexpr Milliseconds kFirstReconnectDelay{20};
constexpr Milliseconds kReconnectDelay{250};
constexpr Milliseconds kOrphanTimeout{3'500};

/// The time that is left when the process resumes and emits the event.
void TakeFromLeaseLeft(AgentEvent& event, MonotonicTime waited) {
  const auto take = [waited](Milliseconds& left) {
    left = std::max(Milliseconds(0),
                    std::chrono::ceil<milliseconds>(left - waited));
  };
  if (auto* lost = std::get_if<WorkerUnreachable>(&event.details)) {
    take(lost->lease_left);
  } else if (auto* load = std::get_if<WorkerLoad>(&event.details)) {
    if (load->lease_left) take(*load->lease_left);
  }
}

/// Removes what agents of a former version do not report. An attachment of
/// theirs goes on when the worker replies again.
void RemoveAttachment(AgentNode& node, AgentEvent& event) {
  const MonotonicTime now = base::MonotonicNow();
  if (auto* attached = std::get_if<Attached>(&event.details)) {
    node.attached_at[event.vm] = now;
    attached->attachment = AttachmentNumber();
  } else if (auto* load = std::get_if<WorkerLoad>(&event.details)) {
    if (load->attachment != AttachmentNumber()) {
      node.continued_since[now] = node.attached_at[event.vm];
    }
    load->attachment = AttachmentNumber();
    load->lease_left.reset();
  }
}

}  // namespace

MonotonicTime LeaseWorld::FrameDelay(const AgentNode& node,
                                     Milliseconds steady) {
  if (!options_.faults) return steady;
  const bool slow = base::MonotonicNow() < node.slow_until;
  const int most = slow ? static_cast<int>(options_.longest_delay.count()) : 10;
  return network_.random.Between(1, most);
}

void LeaseWorld::SendToLeader(AgentNode& node, Call handle) {
  if (!node.connection || !node.connection->agent_open) return;
  DeliverToLeader(node, FrameDelay(node, node.to_leader), std::move(handle));
}

void LeaseWorld::SendWithLast(AgentNode& node, Call handle) {
  if (!node.connection || !node.connection->agent_open) return;
  DeliverToLeader(node, milliseconds(1), std::move(handle));
}

void LeaseWorld::DeliverToLeader(AgentNode& node, MonotonicTime delay,
                                 Call handle) {
  const auto connection = node.connection;
  const auto receive = [connection, handle = std::move(handle)] {
    if (connection->lost || !connection->leader_open) return;
    connection->leader_read_at = base::MonotonicNow();
    handle();
  };
  const MonotonicTime now = base::MonotonicNow();
  MonotonicTime& last = connection->last_to_leader;
  last = std::max(last, now + delay);
  network_.timers.After(last - now, receive);
}

void LeaseWorld::SendToAgent(const std::shared_ptr<Connection>& connection,
                             Call handle) {
  AgentNode& node = Find(connection->agent);
  const auto read = [connection, handle = std::move(handle)] {
    if (!connection->agent_open) return;
    connection->agent_read_at = base::MonotonicNow();
    handle();
  };
  const auto receive = [&node, connection, read] {
    if (connection->lost || node.connection != connection) return;
    // A frozen process reads later what its system has received.
    node.process->Deliver(read);
  };
  const MonotonicTime now = base::MonotonicNow();
  MonotonicTime& last = connection->last_to_agent;
  last = std::max(last, now + FrameDelay(node, node.to_agent));
  network_.timers.After(last - now, receive);
}

void LeaseWorld::Tick() {
  const MonotonicTime now = base::MonotonicNow();
  const auto accepted = accepted_;
  for (const auto& connection : accepted) {
    if (now - connection->leader_read_at > kReceiveTimeout) {
      CloseLeaderSide(connection);
    }
  }
  for (const auto& node : agents_) {
    if (node->process->alive && !node->process->frozen) TickAgent(*node);
  }
}

void LeaseWorld::TickAgent(AgentNode& node) {
  const auto connection = node.connection;
  if (!connection || !connection->agent_open) return;
  if (base::MonotonicNow() - connection->agent_read_at > kReceiveTimeout) {
    return CloseAgentSide(node, connection);
  }
  Ping(node);
}

void LeaseWorld::Ping(AgentNode& node) {
  SendToLeader(node, [this, &node, connection = node.connection,
                      sent_at = base::MonotonicNow()] {
    if (IsCurrent(*connection)) {
      permitted_at_[node.id] = base::MonotonicNow();
    }
    SendToAgent(connection, [&node, sent_at] {
      const bool permitted =
          node.contact.At(base::MonotonicNow()) == Permission::kStarts;
      node.contact.OnConfirmed(sent_at, Permission::kStarts);
      if (!permitted) node.agent->SendPermittedStarts();
    });
  });
}

// The agents' side.

void LeaseWorld::StartProcess(AgentNode& node) {
  node.process = std::make_shared<Process>();
  node.contact.OnLost();
  node.unsent.clear();
  node.attached_at.clear();
  node.continued_since.clear();
  node.agent = std::make_unique<Agent>(
      loop_,
      [this, &node](const WorkerInfo& worker) {
        return std::make_shared<ModelLink>(network_, node.process, node.id,
                                           worker.vm);
      },
      WorkerSessionOptions(),
      [this, &node](AgentEvent event) { OnEvent(node, std::move(event)); },
      WorkerSession::LeaderView{
          [&node] {
            return node.process->frozen ? Permission::kNone
                                        : node.contact.At(base::MonotonicNow());
          },
          [&node](MonotonicTime emitted_at) {
            const auto former = node.continued_since.find(emitted_at);
            return node.contact.HasHandled(former == node.continued_since.end()
                                               ? emitted_at
                                               : former->second);
          }},
      [](Timing, MonotonicTime) {});
  Connect(node);
}

void LeaseWorld::OnEvent(AgentNode& node, AgentEvent event) {
  if (!node.process->alive) return;
  if (!options_.numbers_attachments) RemoveAttachment(node, event);
  if (node.process->frozen) {
    node.unsent.emplace_back(base::MonotonicNow(), std::move(event));
    return;
  }
  Emit(node, std::move(event));
}

void LeaseWorld::Emit(AgentNode& node, AgentEvent event) {
  if (!node.connected) return;
  constexpr std::size_t kLostShare = 8;
  if (std::holds_alternative<Attached>(event.details)) {
    Note(node.id.str() + " attaches " + event.vm.str());
    if (options_.faults && network_.random.OneIn(kLostShare)) {
      network_.timers.After(network_.random.Between(0, 300),
                            [this, &node] { Reset(node, true, true); });
    }
  } else if (std::holds_alternative<WorkerUnreachable>(event.details)) {
    Note(node.id.str() + " does not reach " + event.vm.str() +
         LeaseText(std::get<WorkerUnreachable>(event.details).lease_left));
  } else if (const auto* load = std::get_if<WorkerLoad>(&event.details)) {
    Note(node.id.str() + (load->responding ? " hears " : " misses ") +
         event.vm.str() + LeaseText(load->lease_left));
  }
  SendToLeader(node, [this, &node, connection = node.connection,
                      event = std::move(event)] {
    if (IsCurrent(*connection)) leader_->OnAgentEvent(node.id, event);
  });
}

void LeaseWorld::Connect(AgentNode& node) {
  if (!node.process->alive) return;
  if (node.process->frozen) {
    return node.process->Deliver([this, &node] { Connect(node); });
  }
  if (!leader_) return OnLeaderClosed(node, true);
  const MonotonicTime now = base::MonotonicNow();
  auto connection = std::make_shared<Connection>();
  connection->agent = node.id;
  connection->epoch = Epoch(epoch_);
  connection->agent_read_at = connection->leader_read_at = now;
  node.connection = connection;
  node.hello_sent_at = now;
  accepted_.push_back(connection);
  SendToLeader(node, [this, connection, incarnation = node.incarnation,
                      age = node.agent->LastGrantAge()] {
    OnHello(connection, incarnation, age);
  });
}

void LeaseWorld::OnLeaderHello(AgentNode& node) {
  node.connected = true;
  node.reconnect_timer.reset();
  node.orphan_timer.reset();
  node.contact.OnConnected(node.hello_sent_at, Permission::kStarts);
  for (const FormerLeaderRuns& runs : node.agent->CollectRuns()) {
    SendToLeader(node, [this, &node, connection = node.connection, runs] {
      if (!IsCurrent(*connection)) return;
      Note(node.id.str() + " reports " + runs.worker.vm.str() +
           LeaseText(runs.lease_left) + (runs.renewing ? " renewing" : ""));
      leader_->OnKnownRuns(node.id, runs);
    });
  }
  SendWithLast(node, [this, &node, connection = node.connection,
                      end = node.agent->CollectReportsEnd()] {
    if (IsCurrent(*connection)) leader_->OnReportsEnd(node.id, end);
  });
  node.agent->SuspendNotRenewing();
}

void LeaseWorld::OnLeaderClosed(AgentNode& node, bool refused) {
  const bool was_connected = std::exchange(node.connected, false);
  node.contact.OnLost();
  node.agent->DropUnsent();
  node.agent->StopExtending();
  node.connection.reset();
  if (!node.orphan_timer.active()) {
    node.orphan_timer = loop_.After(kOrphanTimeout, [&node] {
      if (!node.connected) node.agent->SuspendAll();
    });
  }
  node.reconnect_timer = loop_.After(
      was_connected && !refused ? kFirstReconnectDelay : kReconnectDelay,
      [this, &node] { Connect(node); });
}

void LeaseWorld::CloseAgentSide(AgentNode& node,
                                const std::shared_ptr<Connection>& connection) {
  node.process->Deliver([this, &node, connection] {
    if (node.connection != connection || !connection->agent_open) return;
    Note(node.id.str() + " loses the leader");
    connection->agent_open = false;
    // Frames that were sent before still arrive, then the end of the channel.
    const MonotonicTime now = base::MonotonicNow();
    network_.timers.After(
        std::max(connection->last_to_leader - now, MonotonicTime(0)),
        [this, connection] {
          if (!connection->lost) CloseLeaderSide(connection);
        });
    OnLeaderClosed(node, false);
  });
}

void LeaseWorld::Freeze(AgentNode& node, MonotonicTime time) {
  if (!node.process->alive || node.process->frozen) return;
  Note(node.id.str() + " is frozen");
  node.process->frozen = true;
  network_.timers.After(time, [this, &node, process = node.process] {
    if (process->alive) Resume(node);
  });
}

void LeaseWorld::Resume(AgentNode& node) {
  Note(node.id.str() + " resumes");
  const MonotonicTime now = base::MonotonicNow();
  const auto process = node.process;
  process->frozen = false;
  if (node.connection) {
    node.connection->agent_read_at =
        std::max(node.connection->agent_read_at, now - kPingPeriod);
  }
  for (auto& [at, event] : std::exchange(node.unsent, {})) {
    TakeFromLeaseLeft(event, now - at);
    Emit(node, std::move(event));
  }
  for (const Call& call : std::exchange(process->unread, {})) {
    if (process->alive) call();
  }
}

void LeaseWorld::Replace(AgentNode& node, MonotonicTime pause) {
  if (!node.process->alive) return;
  Note("process of " + node.id.str() + " ends");
  node.process->alive = false;
  node.agent.reset();
  node.connected = false;
  node.reconnect_timer.reset();
  node.orphan_timer.reset();
  if (const auto connection = std::exchange(node.connection, nullptr)) {
    connection->agent_open = false;
    // The leader notices it by the end of the channel or by its timeout.
    if (network_.random.OneIn(3)) connection->lost = true;
    const MonotonicTime left =
        connection->last_to_leader - base::MonotonicNow();
    network_.timers.After(std::max(left, MonotonicTime(0)) +
                              MonotonicTime(network_.random.Between(1, 50)),
                          [this, connection] {
                            if (!connection->lost) CloseLeaderSide(connection);
                          });
  }
  network_.timers.After(pause, [this, &node] {
    node.incarnation = node.incarnation.next();
    Note("next process of " + node.id.str());
    StartProcess(node);
  });
}

void LeaseWorld::Reset(AgentNode& node, bool agent_notices,
                       bool leader_notices) {
  const auto connection = node.connection;
  if (!connection || connection->lost) return;
  Note("connection of " + node.id.str() + " is reset");
  connection->lost = true;
  Random& random = network_.random;
  if (agent_notices) {
    network_.timers.After(random.Between(0, 50), [this, &node, connection] {
      CloseAgentSide(node, connection);
    });
  }
  if (leader_notices) {
    network_.timers.After(random.Between(0, 50),
                          [this, connection] { CloseLeaderSide(connection); });
  }
}

// The leader's side.

AgentNode& LeaseWorld::Find(const NodeId& id) {
  return **std::find_if(agents_.begin(), agents_.end(),
                        [&](const auto& node) { return node->id == id; });
}

bool LeaseWorld::IsCurrent(const Connection& connection) const {
  const auto it = connections_.find(connection.agent);
  return leader_ && it != connections_.end() && it->second.get() == &connection;
}

void LeaseWorld::OnHello(const std::shared_ptr<Connection>& connection,
                         Incarnation incarnation, Milliseconds last_grant_age) {
  if (!leader_ || connection->epoch != Epoch(epoch_)) return;
  const NodeId& id = connection->agent;
  AgentNode& node = Find(id);
  SendToAgent(connection, [this, &node] { OnLeaderHello(node); });
  if (const auto old = connections_.find(id); old != connections_.end()) {
    const auto replaced = old->second;
    connections_.erase(old);
    LoseAgent(id);
    CloseLeaderSide(replaced);
  }
  Note("leader sees " + id.str());
  leader_->OnAgentLease(kWorkerLease);
  connections_[id] = connection;
  permitted_at_[id] = base::MonotonicNow();
  leader_->OnFollowerSeen(id, incarnation, last_grant_age);
  leader_->OnAgentUp(id, DataCenter("dc"), last_grant_age,
                     options_.numbers_attachments);
}

void LeaseWorld::CloseLeaderSide(
    const std::shared_ptr<Connection>& connection) {
  if (!std::exchange(connection->leader_open, false)) return;
  std::erase(accepted_, connection);
  const bool current = IsCurrent(*connection);
  // The agent reads what is under way first.
  const MonotonicTime now = base::MonotonicNow();
  network_.timers.After(
      std::max(connection->last_to_agent - now, MonotonicTime(0)),
      [this, connection] {
        if (!connection->lost) {
          CloseAgentSide(Find(connection->agent), connection);
        }
      });
  if (!current) return;
  Note("leader loses " + connection->agent.str());
  connections_.erase(connection->agent);
  LoseAgent(connection->agent);
}

void LeaseWorld::LoseAgent(const NodeId& agent) {
  const auto permitted = permitted_at_.extract(agent);
  if (!leader_) return;
  leader_->OnAgentDown(agent, permitted.empty()
                                  ? std::nullopt
                                  : std::optional(permitted.mapped()));
}

}  // namespace mangospread::dispatch::test::lease_bound
