#include "app/node/scheduling.hpp"

#include <utility>

#include "scheduler/policy/engine.hpp"

namespace mangospread::app {
namespace {

constexpr Milliseconds kCommandTimeout{2'000};
constexpr Milliseconds kReportTimeout{1'000};
constexpr Milliseconds kQueryTimeout{2'000};
constexpr int kServiceUnavailable = 503;

/// Transactions per second. Only the active scheduler writes tasks, so the node
/// may use the budget of the whole deployment.
constexpr double kTaskBudget = 150;

table::WriterOptions MakeWriterOptions() {
  table::WriterOptions options;
  options.budget = kTaskBudget;
  options.burst = kTaskBudget;
  return options;
}

scheduler::RoleOptions MakeRoleOptions(const Settings& settings,
                                       Incarnation incarnation) {
  scheduler::RoleOptions options;
  options.cell = settings.cell;
  options.node = settings.node;
  options.incarnation = incarnation;
  return options;
}

scheduler::AgentOptions MakeAgentOptions(const Settings& settings) {
  scheduler::AgentOptions options;
  options.node = settings.node;
  return options;
}

scheduler::SchedulerOptions MakeSchedulerOptions(const Settings& settings) {
  scheduler::SchedulerOptions options;
  options.task_lease = settings.task_lease;
  return options;
}

}  // namespace

Scheduling::Scheduling(const Settings& settings, Incarnation incarnation,
                       std::string writer_row,
                       SchedulingDependencies dependencies)
    : deps_(std::move(dependencies)),
      node_(settings.node),
      writer_(deps_.loop, deps_.table, std::move(writer_row),
              MakeWriterOptions()),
      role_(
          deps_.loop, MakeRoleOptions(settings, incarnation), deps_.table,
          writer_,
          [this](const scheduler::RoleRow& row) {
            return deps_.is_terminated(row.node, row.incarnation);
          },
          deps_.is_ready),
      agent_(deps_.loop, MakeAgentOptions(settings), MakeAgentHooks()),
      scheduler_(MakeSchedulerDependencies(), MakeSchedulerOptions(settings)) {}

void Scheduling::Start() {
  scheduler_.Start();
  agent_.Start();
  role_.Start();
}

void Scheduling::Stop(std::function<void()> done) {
  scheduler_.Stop();
  role_.Release(std::move(done));
}

const Address* Scheduling::AddressOf(const NodeId& node) const {
  const membership::Peer* peer = deps_.membership.Find(node);
  return peer == nullptr ? nullptr : &peer->view.rpc_address;
}

std::vector<scheduler::OwnedWorkerState> Scheduling::OwnedWorkers() const {
  std::vector<scheduler::OwnedWorkerState> states;
  for (const auto& worker : deps_.ownership.owned()) {
    states.push_back({worker->vm().name, ToString(worker->vm().address),
                      worker->fence().epoch, worker->accepts_work(),
                      worker->report_requested_at(), &worker->report()});
  }
  return states;
}

scheduler::AgentHooks Scheduling::MakeAgentHooks() {
  scheduler::AgentHooks hooks;
  hooks.owned = [this] { return OwnedWorkers(); };
  hooks.command = [this](const VmName& vm, TaskCommand command, auto done) {
    const auto worker = deps_.ownership.FindOwned(vm);
    if (worker == nullptr) return done(Error{Errc::kNotOwner, vm.str()});
    worker->control().Command(worker->fence(), std::move(command),
                              std::move(done));
  };
  hooks.role = [this] { return role_.row(); };
  hooks.send_report = [this](const NodeId& node, rpc::NodeReport report,
                             auto done) {
    if (node == node_) return done(scheduler_.OnReport(report));
    const Address* address = AddressOf(node);
    if (address == nullptr) {
      return done(Error{Errc::kConnectFailed, node.str()});
    }
    deps_.peers.ReportTasks(*address, std::move(report), kReportTimeout,
                            std::move(done));
  };
  return hooks;
}

scheduler::SchedulerDependencies Scheduling::MakeSchedulerDependencies() {
  return {deps_.loop,
          deps_.table,
          writer_,
          role_,
          deps_.store,
          [this] { return deps_.ownership.Vms(); },
          [this](const NodeId& owner, rpc::TaskCall call, auto done) {
            if (owner == node_) return agent_.OnCommand(call, std::move(done));
            const Address* address = AddressOf(owner);
            if (address == nullptr) {
              return done(Error{Errc::kConnectFailed, owner.str()});
            }
            deps_.peers.TaskCommand(*address, std::move(call), kCommandTimeout,
                                    std::move(done));
          },
          [] { return scheduler::MakeEngine({}, 1); }};
}

void Scheduling::AddHandlers(rpc::PeerHandlers& handlers) {
  handlers.task_command = [this](const rpc::TaskCall& call, auto done) {
    agent_.OnCommand(call, std::move(done));
  };
  handlers.report_tasks = [this](const rpc::NodeReport& report) {
    return scheduler_.OnReport(report);
  };
  handlers.scheduler_query = [this](const std::string& path) {
    return scheduler_.Query(path);
  };
}

void Scheduling::Query(const std::string& path,
                       std::function<void(rpc::QueryReply)> done) {
  const NodeId& holder = role_.row().node;
  const Address* address = AddressOf(holder);
  if (role_.held() || holder == node_ || address == nullptr) {
    return done(scheduler_.Query(path));
  }
  deps_.peers.SchedulerQuery(
      *address, path, kQueryTimeout,
      [done = std::move(done)](const Result<rpc::QueryReply>& reply) {
        if (reply.ok()) return done(reply.value());
        done({kServiceUnavailable, R"({"error":"scheduler_unreachable"})"
                                   "\n"});
      });
}

void Scheduling::CollectSamples(std::vector<api::Sample>& samples) const {
  using api::MetricType;
  const auto add = [&samples](const char* name, const char* help,
                              MetricType type, auto value) {
    samples.push_back({name, help, type, static_cast<double>(value), {}});
  };
  const auto& counters = writer_.counters();
  add("task_transactions_total", "Table transactions for tasks.",
      MetricType::kCounter, counters.transactions);
  add("task_changes_total", "Task changes sent in transactions.",
      MetricType::kCounter, counters.changes);
  add("task_reports_total", "Reports to the scheduler.", MetricType::kCounter,
      agent_.counters().reports);
  add("task_report_bytes_total", "Bytes of reports to the scheduler.",
      MetricType::kCounter, agent_.counters().report_bytes);
  add("scheduler_active", "1 on the node that schedules.", MetricType::kGauge,
      scheduler_.deciding() ? 1 : 0);
}

}  // namespace mangospread::app
