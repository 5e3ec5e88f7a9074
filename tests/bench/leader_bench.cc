// Measures the processor time that a leader spends on a task, with fleets of
// several sizes under the load of a large deployment. Time, the store and the
// workers are simulated; frames are encoded and decoded as between nodes.
//
// Usage: leader_bench [workers] [seconds of simulated time]

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/peer/frames.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::bench {
namespace {

using namespace dispatch;  // NOLINT: a program, not a header.
using mangospread::test::FaultyTable;
using std::chrono::milliseconds;

constexpr int kWorkersPerAgent = 8;
constexpr Milliseconds kStartReplyTime{4};

/// A kind of submissions and their rate for each worker of the fleet.
struct Workload {
  const char* name;
  double per_second;  ///< Submissions a second for 1,000 workers.
  int steps;
  int width;
  int millicores;
  int run_ms;
  bool best_effort = false;
  bool long_running = false;
};

constexpr Workload kWorkloads[] = {
    {"interactive", 17.5, 2, 13, 6'400, 800},
    {"batch", 21.8, 2, 40, 3'500, 2'200, true},
    {"lasting", 1.1, 1, 24, 6'400, 20'000, false, true},
};

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

class Fleet {
 public:
  explicit Fleet(int workers) : workers_(workers) {
    table_.rows.Transact({{}, {{kLeaderKey, "leader"}}});
    table_timer_ = loop_.Every(milliseconds(2), 0, [this] {
      while (table_.pending() > 0) table_.Step();
    });
    LeaderRecord record;
    record.node = NodeId("leader");
    record.epoch = Epoch(1);
    record.version = table_.rows.Read({{kLeaderKey}, {}})[0].version;
    leader_ = std::make_unique<GroupLeader>(
        GroupLeaderDependencies{
            loop_, table_, NodeId("leader"), DataCenter("dc"), "writer/leader",
            record,
            [](const SubmissionId& id, std::string_view payload) {
              return Decode(id, payload);
            },
            [this](const NodeId& agent, AgentCommand command) {
              Execute(agent, std::move(command));
            },
            [](Timing, MonotonicTime) {}, [] {}, [] {}, [] { return true; },
            [](const auto& done) { done(true); }},
        GroupLeaderOptions());
    for (int agent = 0; agent * kWorkersPerAgent < workers; ++agent) {
      leader_->OnAgentUp(NodeId("node-" + std::to_string(agent)),
                         DataCenter("dc"));
    }
    leader_->Start();
    Run(milliseconds(20));
    std::map<VmName, WorkerInfo> listed;
    for (int i = 0; i < workers; ++i) {
      WorkerInfo info;
      info.vm = VmName("vm-" + std::to_string(i));
      info.service = ServiceName("service");
      info.capacity.cpu = Millicores(32'000);
      info.capacity.memory = Mebibytes(128'000);
      listed.emplace(info.vm, info);
    }
    leader_->OnWorkers(listed);
    Run(milliseconds(500));
  }

  void Play(std::chrono::seconds time) {
    for (const Workload& workload : kWorkloads) {
      ScheduleNext(workload);
    }
    load_timer_ = loop_.Every(milliseconds(100), 0, [this] { ReportLoads(); });
    Run(time);
  }

  [[nodiscard]] const DispatcherCounters& counters() const {
    return leader_->dispatcher().counters();
  }

 private:
  struct RunningTask {
    Attempt run;
    bool best_effort = false;
    bool long_running = false;
  };
  struct Worker {
    NodeId agent;
    WorkerFence fence;
    std::uint64_t ends = 0;
    std::map<std::string, RunningTask> running;
  };

  void Run(MonotonicTime time) {
    const auto stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  static Result<Submission> Decode(const SubmissionId& id,
                                   std::string_view payload) {
    const Workload& workload =
        kWorkloads[static_cast<std::size_t>(payload[0] - '0')];
    Submission submission;
    submission.id = id;
    submission.spec = std::string(75, 's');
    for (int s = 0; s < workload.steps; ++s) {
      StepSpec step;
      step.count = workload.width;
      step.cpu = Millicores(workload.millicores);
      step.memory = Mebibytes(workload.best_effort ? 6'400 : 13'000);
      step.estimate = Milliseconds(workload.run_ms);
      step.best_effort = workload.best_effort;
      step.long_running = workload.long_running;
      if (workload.long_running) step.latency_target = Milliseconds(18);
      step.image = ImageName(std::string(workload.name) + payload[1]);
      if (s > 0) step.after = {s - 1};
      submission.steps.push_back(std::move(step));
    }
    return submission;
  }

  void ScheduleNext(const Workload& workload) {
    const double rate = workload.per_second * workers_ / 1'000;
    std::exponential_distribution<double> gap(rate);
    Later(milliseconds(static_cast<int>(gap(random_) * 1'000) + 1), [&, this] {
      Submit(workload);
      ScheduleNext(workload);
    });
  }

  void Submit(const Workload& workload) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016d", ++submissions_);
    CallFrame frame;
    frame.call.verb = ServiceVerb::kSubmit;
    frame.call.submission = SubmissionId(id);
    frame.call.policy.queue = QueueName(workload.name);
    frame.call.policy.service = ServiceName("service");
    frame.call.policy.stretch = 2;
    frame.call.policy.latency_target = Milliseconds(500);
    frame.call.payload = std::to_string(&workload - kWorkloads) +
                         std::to_string(submissions_ % 8) +
                         std::string(400, 'x');
    auto decoded = DecodeFrame(EncodeFrame(frame));
    leader_->Handle(std::get<CallFrame>(decoded.value()).call,
                    [](const ServiceReply& reply) {
                      (void)EncodeFrame(ReplyFrame{1, reply});
                    });
  }

  void Execute(const NodeId& agent, AgentCommand command) {
    auto decoded = DecodeFrame(EncodeFrame(command));
    command = std::get<AgentCommand>(std::move(decoded.value()));
    if (auto* assignment = std::get_if<Assignment>(&command)) {
      Worker& worker = fleet_[assignment->worker.vm];
      worker.agent = agent;
      worker.fence = assignment->fence;
      Report(assignment->worker.vm,
             Attached{WorkerIncarnation(1), 1'000'000, {}, {}, {}});
    } else if (auto* start = std::get_if<StartRun>(&command)) {
      Start(*start);
    } else if (auto* stop = std::get_if<StopRun>(&command)) {
      End(stop->vm, stop->task, stop->run, RunEnd::kStopped);
    }
  }

  void Start(const StartRun& start) {
    fleet_[start.vm].running[start.task] = {start.run, start.traits.best_effort,
                                            start.traits.long_running};
    Later(kStartReplyTime, [this, start] {
      Report(start.vm, RunStarted{start.task, start.run});
    });
    const int run_ms = start.traits.long_running  ? 20'000
                       : start.traits.best_effort ? 2'200
                                                  : 800;
    Later(milliseconds(run_ms), [this, start] {
      End(start.vm, start.task, start.run,
          start.traits.long_running ? RunEnd::kFailed : RunEnd::kDone);
    });
  }

  void End(const VmName& vm, const std::string& task, Attempt run,
           RunEnd kind) {
    Worker& worker = fleet_[vm];
    const auto it = worker.running.find(task);
    if (it == worker.running.end() || it->second.run != run) return;
    worker.running.erase(it);
    Report(vm, RunEnded{WorkerIncarnation(1),
                        {EndNumber(++worker.ends), task, run, kind, {}}});
  }

  /// Reports the load of each worker every four seconds.
  void ReportLoads() {
    constexpr int kParts = 40;
    int index = 0;
    ++load_round_;
    for (const auto& [vm, worker] : fleet_) {
      if (++index % kParts != load_round_ % kParts) continue;
      WorkerLoad load;
      for (const auto& [task, running] : worker.running) {
        if (!running.best_effort && !running.long_running) continue;
        load.runs.push_back(
            {task, running.run, running.long_running ? 8.0 : 2'000.0, 100});
      }
      if (!load.runs.empty()) Report(vm, std::move(load));
    }
  }

  void Report(const VmName& vm, decltype(AgentEvent::details) details) {
    Later(milliseconds(1), [this, vm, details = std::move(details)] {
      const Worker& worker = fleet_[vm];
      auto decoded =
          DecodeFrame(EncodeFrame(AgentEvent{vm, worker.fence, details}));
      leader_->OnAgentEvent(worker.agent,
                            std::get<AgentEvent>(decoded.value()));
    });
  }

  void Later(MonotonicTime delay, std::function<void()> action) {
    auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(delay, [timer, action = std::move(action)] {
      action();
      timer->reset();
    });
  }

  int workers_;
  base::SimulatedClock clock_;
  base::EventLoop loop_;
  FaultyTable table_;
  std::mt19937_64 random_{1};
  std::map<VmName, Worker> fleet_;
  int submissions_ = 0;
  int load_round_ = 0;
  base::Timer table_timer_;
  base::Timer load_timer_;
  std::unique_ptr<GroupLeader> leader_;
};

void Measure(int workers, std::chrono::seconds time) {
  Fleet fleet(workers);
  const double begin = ProcessorSeconds();
  fleet.Play(time);
  const double used = ProcessorSeconds() - begin;
  const auto starts = static_cast<double>(fleet.counters().started);
  const auto seconds = static_cast<double>(time.count());
  std::printf(
      "%5d workers  %7.0f starts/s  %6.1f us a start  %6.3f of a core\n",
      workers, starts / seconds, used / starts * 1e6, used / seconds);
}

}  // namespace
}  // namespace mangospread::bench

int main(int argc, char** argv) {
  namespace bench = mangospread::bench;
  const std::chrono::seconds time(argc > 2 ? std::atoi(argv[2]) : 20);
  mangospread::base::ConfigureLog(mangospread::base::Severity::kInfo, "bench",
                                  mangospread::base::LogTarget::kStandardError);
  if (argc > 1 && std::atoi(argv[1]) > 0) {
    bench::Measure(std::atoi(argv[1]), time);
    return 0;
  }
  for (const int workers : {48, 350, 1'100}) bench::Measure(workers, time);
  return 0;
}
