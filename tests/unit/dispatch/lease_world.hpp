/// @file
/// A leader and its agents on channels that lose and delay frames, under random
/// faults, with checks of when the leader gives up a worker.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/simulated_clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/node/leader_contact.hpp"
#include "dispatch/worker/agent.hpp"
#include "table/memory_table.hpp"
#include "unit/dispatch/lease_workers.hpp"

namespace mangospread::dispatch::test::lease_bound {

/// Which faults a world has.
struct WorldOptions {
  std::uint64_t seed = 1;
  /// As in the Hello of the agents. Those that do not are of a former version:
  /// they send every start, and extend leases at once when a worker replies
  /// again that they have not reported as unreachable.
  bool numbers_attachments = true;
  /// The leader ends twice, and another one takes over.
  bool changes_leader = false;
  /// Losses that coincide are drawn on purpose; the leader ends more often, the
  /// processes of workers are replaced, and there are up to 9 agents.
  bool coincidences = false;
  /// Longest delay of a frame.
  Milliseconds longest_delay{2'000};
  /// Agents are frozen for up to this long.
  Milliseconds longest_freeze{3'000};
  /// False without random faults and delays.
  bool faults = true;
  int workers = 4;
  std::size_t agents = 0;  ///< 0 for 4 to 6, or 4 to 9 with coincidences.
  /// Tasks that are submitted at the start. They run without an end.
  int tasks = 5;
  MonotonicTime duration = std::chrono::seconds(40);
};

/// How often a world had each coincidence.
struct Coincidences {
  /// The agent of a worker ended within 0.5 s of the leader, and another agent
  /// had an outdated session with the worker.
  int agents_beside_leader = 0;
  /// The next leader ended within 1 s of the former one.
  int leaders_in_succession = 0;
  /// The process of a worker was replaced while a command was on its way.
  int restarted_workers = 0;
};

/// For traces.
inline std::string LeaseText(std::optional<Milliseconds> left) {
  return left ? " with " + std::to_string(left->count()) + " ms left" : "";
}

/// A channel between an agent and a leader, which delivers in order.
struct Connection {
  NodeId agent;
  Epoch epoch;        ///< Of the leader.
  bool lost = false;  ///< Delivers nothing any more.
  bool agent_open = true;
  bool leader_open = true;
  MonotonicTime last_to_agent{0};  ///< Arrival of the last frame.
  MonotonicTime last_to_leader{0};
  MonotonicTime agent_read_at{0};
  MonotonicTime leader_read_at{0};
};

/// A node with an agent; its process may have ended.
struct AgentNode {
  NodeId id;
  Incarnation incarnation{1};
  std::shared_ptr<Process> process;
  std::unique_ptr<Agent> agent;
  LeaderContact contact{GroupLeaderOptions().loss_notice_delay};
  std::shared_ptr<Connection> connection;
  bool connected = false;  ///< The leader has replied to the hello.
  MonotonicTime hello_sent_at{0};
  MonotonicTime slow_until{0};  ///< Until then frames are delayed.
  /// Delays of frames, without random ones.
  Milliseconds to_leader{5};
  Milliseconds to_agent{5};
  /// Events of timers while the process was frozen, which it emits when it
  /// resumes.
  std::vector<std::pair<MonotonicTime, AgentEvent>> unsent;
  /// Of agents of a former version: when each worker was reported as attached,
  /// and for each time at which one replied again, when it had been attached.
  std::map<VmName, MonotonicTime> attached_at;
  std::map<MonotonicTime, MonotonicTime> continued_since;
  base::Timer reconnect_timer;
  base::Timer orphan_timer;
};

/// The model. Records what breaks one of the two properties of the bound.
///
/// A leader that is replaced stops at once, is never paused and serves no
/// workers itself; all its renewals are confirmed. Workers do not leave the
/// list, and restart only in worlds with coincidences.
class LeaseWorld {
 public:
  explicit LeaseWorld(const WorldOptions& options);
  ~LeaseWorld();
  LeaseWorld(const LeaseWorld&) = delete;
  LeaseWorld& operator=(const LeaseWorld&) = delete;

  /// Runs the random faults for the duration in the options.
  void Run();
  /// Lets this much time pass.
  void RunFor(MonotonicTime time);

  /// Starts of tasks that another worker still runs, and removals of workers
  /// whose leases are valid.
  [[nodiscard]] const std::vector<std::string>& early() const { return early_; }
  /// Longest time for which the leader counted the runs of a worker that was
  /// gone; not measured in worlds whose leader changes, since a new leader
  /// waits for reports.
  [[nodiscard]] MonotonicTime longest_wait() const noexcept {
    return longest_wait_;
  }
  /// What happened, one line each.
  [[nodiscard]] std::string Trace() const;
  /// Runs until a line of the trace contains the text.
  /// @return false if that takes longer than `limit`.
  bool RunUntil(const std::string& text, MonotonicTime limit);
  /// Workers with runs that were removed since their leases expired.
  [[nodiscard]] int removals() const noexcept { return removals_; }
  /// Workers that were gone and whose runs the leader counts no more.
  [[nodiscard]] int given_up() const noexcept { return given_up_; }

  [[nodiscard]] const Coincidences& coincidences() const noexcept {
    return coincidences_;
  }

  // Faults, also for directed cases.
  [[nodiscard]] AgentNode& agent(std::size_t index) { return *agents_[index]; }
  [[nodiscard]] ModelWorker& worker(const VmName& vm) {
    return network_.workers.at(vm);
  }
  /// The agent that the worker was last assigned to.
  [[nodiscard]] AgentNode* AssignedAgent(const VmName& vm);
  /// Submits tasks that run without an end.
  void Submit(const SubmissionId& id, int tasks);
  /// Loses the connection with all frames under way. A side that does not
  /// notice it finds out by its timeout.
  void Reset(AgentNode& node, bool agent_notices, bool leader_notices);
  /// Ends the process; the next one starts after `pause`.
  void Replace(AgentNode& node, MonotonicTime pause);
  /// Pauses the process, which reads later what arrives meanwhile.
  void Freeze(AgentNode& node, MonotonicTime time);
  /// Puts the worker out of reach for good. Its runs go on until its lease
  /// expires.
  void Gone(const VmName& vm);
  /// Ends the leader; another one takes over after the election, whose time is
  /// random if none is given.
  void ChangeLeader(std::optional<MonotonicTime> election = std::nullopt);
  /// Replaces the worker's process. Its runs are gone, and its clock starts
  /// anew at `age`.
  void RestartWorker(const VmName& vm, MonotonicTime age);

 private:
  using Call = std::function<void()>;

  [[nodiscard]] std::map<VmName, WorkerInfo> Listed() const;
  void Note(const std::string& line);
  void Lead();
  /// Writes the rows of the claim.
  void Claim(const std::vector<Row>& stored);
  void MakeLeader(RowVersion version);
  void OnCommand(Epoch epoch, const NodeId& agent, AgentCommand command);
  void OnTiming(Timing timing);
  void CheckRemoved(const std::map<VmName, std::vector<RunId>>& before);
  /// True if a lease of the worker lets one of the runs go on or start.
  [[nodiscard]] bool IsHeld(const VmName& vm,
                            const std::vector<RunId>& runs) const;

  /// Looks until the leader has given up the run of a worker that is gone.
  void WatchGone(const VmName& vm, const RunId& run, MonotonicTime since);

  // Channels.
  MonotonicTime FrameDelay(const AgentNode& node, Milliseconds steady);
  void SendToLeader(AgentNode& node, Call handle);
  /// Sends a frame that arrives with the one before, if that is on its way. It
  /// takes no random delay of its own, so that a seed keeps its order.
  void SendWithLast(AgentNode& node, Call handle);
  void DeliverToLeader(AgentNode& node, MonotonicTime delay, Call handle);
  void SendToAgent(const std::shared_ptr<Connection>& connection, Call handle);
  void Tick();
  void TickAgent(AgentNode& node);
  void Ping(AgentNode& node);

  // The agents' side.
  void StartProcess(AgentNode& node);
  void OnEvent(AgentNode& node, AgentEvent event);
  void Emit(AgentNode& node, AgentEvent event);
  void Connect(AgentNode& node);
  void OnLeaderHello(AgentNode& node);
  void OnLeaderClosed(AgentNode& node, bool refused);
  void CloseAgentSide(AgentNode& node,
                      const std::shared_ptr<Connection>& connection);
  void Resume(AgentNode& node);

  // The leader's side.
  AgentNode& Find(const NodeId& id);
  [[nodiscard]] bool IsCurrent(const Connection& connection) const;
  void OnHello(const std::shared_ptr<Connection>& connection,
               Incarnation incarnation, Milliseconds last_grant_age);
  void CloseLeaderSide(const std::shared_ptr<Connection>& connection);
  void LoseAgent(const NodeId& agent);

  // Faults.
  void NextFault();
  void InjectFault();
  void CutWorker();
  void LoseWorker();
  VmName RandomWorker();

  // Coincidences, in lease_world_coincidences.cc.
  void InjectCoincidence();
  void LoseTwoLeaders();
  /// Gives a worker to another agent, without its former one hearing of it, and
  /// ends that other agent with the leader.
  void LoseAgentBesideLeader();
  void EndBesideLeader(const VmName& vm, AgentNode& former);
  void CountBesideLeader(const VmName& vm, const AgentNode& former);
  /// Replaces the worker's process while the next command for it is on its way.
  void RestartBehindCommand(const VmName& vm);
  /// Lets no agent reach the worker for some time.
  void CutOff(const VmName& vm, MonotonicTime time);
  void OnHeld(const VmName& vm, Milliseconds held);

  WorldOptions options_;
  base::SimulatedClock clock_;
  base::EventLoop loop_;
  Network network_;
  table::MemoryTable rows_{[this](Call call) { loop_.Post(std::move(call)); }};
  MonotonicTime started_at_;
  std::vector<std::unique_ptr<AgentNode>> agents_;
  std::unique_ptr<GroupLeader> leader_;
  std::optional<LeaderRecord> last_record_;
  std::map<NodeId, std::shared_ptr<Connection>> connections_;
  std::map<NodeId, MonotonicTime> permitted_at_;
  std::vector<std::shared_ptr<Connection>> accepted_;
  std::uint64_t epoch_ = 0;
  int gone_ = 0;
  int changes_ = 0;
  int restarts_ = 0;
  Coincidences coincidences_;
  std::map<VmName, NodeId> assigned_;  ///< The newest assignments.
  int removals_ = 0;
  int given_up_ = 0;
  std::vector<std::string> trace_;
  std::vector<std::string> early_;
  MonotonicTime longest_wait_{0};
  base::Timer tick_timer_;
};

}  // namespace mangospread::dispatch::test::lease_bound
