#include "scheduler/lifecycle/owner_agent.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/loop/clock.hpp"
#include "rpc/codec/task_codec.hpp"

namespace mangospread::scheduler {
namespace {

constexpr double kJitter = 0.2;

/// Reported values are rounded to these steps, so that measurement noise does
/// not cause every digest to be sent in full.
constexpr std::int64_t kCpuStepMillicores = 100;
constexpr std::int64_t kMemoryStepMebibytes = 64;
constexpr double kLatencyStepMs = 0.5;

std::int64_t RoundTo(std::int64_t value, std::int64_t step) {
  return (value + step / 2) / step * step;
}

class Hasher {
 public:
  template <typename T>
  void Add(const T& value) {
    // The fractional part of the golden ratio, scaled to 64 bits, spreads the
    // bits of successive hashes.
    constexpr std::size_t kGoldenRatioFraction = 0x9e3779b97f4a7c15U;
    hash_ ^= std::hash<T>()(value) + kGoldenRatioFraction + (hash_ << 6) +
             (hash_ >> 2);
  }
  [[nodiscard]] std::size_t hash() const { return hash_; }

 private:
  std::size_t hash_ = 0;
};

std::size_t HashOf(const rpc::WorkerDigest& digest) {
  Hasher hasher;
  hasher.Add(digest.epoch.value());
  hasher.Add(digest.boot_id);
  hasher.Add(digest.address);
  hasher.Add(digest.accepts_work);
  for (const TaskReport& task : digest.tasks) {
    hasher.Add(task.task);
    hasher.Add(task.attempt.value());
    hasher.Add(static_cast<int>(task.phase));
    hasher.Add(task.checkpoint);
    hasher.Add(task.cpu_used.value());
    hasher.Add(task.memory_used.value());
    hasher.Add(task.throttle_percent);
  }
  for (const ServiceReport& service : digest.services) {
    hasher.Add(service.service.str());
    hasher.Add(service.p99_ms);
    hasher.Add(service.requests);
  }
  return hasher.hash();
}

}  // namespace

OwnerAgent::OwnerAgent(base::EventLoop& loop, AgentOptions options,
                       AgentHooks hooks)
    : loop_(loop), options_(std::move(options)), hooks_(std::move(hooks)) {}

OwnerAgent::~OwnerAgent() { *alive_ = false; }

void OwnerAgent::Start() {
  timer_ = loop_.Every(options_.period, kJitter, [this] { Report(); });
}

rpc::WorkerDigest OwnerAgent::MakeDigest(
    const OwnedWorkerState& worker, std::map<VmName, std::size_t>& hashes) {
  rpc::WorkerDigest digest;
  digest.vm = worker.vm;
  digest.epoch = worker.epoch;
  digest.age = std::chrono::duration_cast<Milliseconds>(
      base::MonotonicNow() - worker.report_requested_at);
  digest.boot_id = worker.report->boot_id;
  digest.address = worker.address;
  digest.accepts_work = worker.accepts_work;
  digest.tasks = worker.report->tasks;
  for (TaskReport& task : digest.tasks) {
    task.cpu_used =
        Millicores(RoundTo(task.cpu_used.value(), kCpuStepMillicores));
    task.memory_used =
        Mebibytes(RoundTo(task.memory_used.value(), kMemoryStepMebibytes));
  }
  digest.services = worker.report->services;
  for (ServiceReport& service : digest.services) {
    service.p99_ms =
        static_cast<double>(std::int64_t(service.p99_ms / kLatencyStepMs)) *
        kLatencyStepMs;
  }
  const std::size_t hash = HashOf(digest);
  hashes[worker.vm] = hash;
  const auto it = accepted_hashes_.find(worker.vm);
  digest.full = it == accepted_hashes_.end() || it->second != hash;
  return digest;
}

void OwnerAgent::Report() {
  const RoleRow role = hooks_.role();
  if (role.node.empty() || sending_) return;
  if (role.epoch != scheduler_epoch_) accepted_hashes_.clear();
  scheduler_epoch_ = std::max(scheduler_epoch_, role.epoch);
  rpc::NodeReport report;
  report.node = options_.node;
  report.scheduler_epoch = scheduler_epoch_;
  std::map<VmName, std::size_t> hashes;
  for (const OwnedWorkerState& worker : hooks_.owned()) {
    report.workers.push_back(MakeDigest(worker, hashes));
  }
  ++counters_.reports;
  counters_.report_bytes += rpc::EncodedSize(report);
  sending_ = true;
  hooks_.send_report(role.node, std::move(report),
                     [this, hashes, alive = alive_](const auto& reply) {
                       if (!*alive) return;
                       sending_ = false;
                       accepted_hashes_.clear();
                       if (reply.ok() && reply.value().accepted) {
                         accepted_hashes_ = hashes;
                       }
                     });
}

void OwnerAgent::OnCommand(const rpc::TaskCall& call,
                           std::function<void(Result<TaskReport>)> done) {
  const Epoch current_epoch = std::max(scheduler_epoch_, hooks_.role().epoch);
  if (call.scheduler_epoch < current_epoch) {
    return done(Error{Errc::kStaleEpoch, "scheduler"});
  }
  if (call.scheduler_epoch > scheduler_epoch_) {
    scheduler_epoch_ = call.scheduler_epoch;
    accepted_hashes_.clear();
  }
  if (call.command.verb == TaskVerb::kStart) {
    const auto owned = hooks_.owned();
    const auto it =
        std::find_if(owned.begin(), owned.end(),
                     [&](const auto& worker) { return worker.vm == call.vm; });
    if (it == owned.end()) return done(Error{Errc::kNotOwner, call.vm.str()});
    if (!it->accepts_work) return done(Error{Errc::kLeaving, call.vm.str()});
  }
  hooks_.command(call.vm, call.command, std::move(done));
}

}  // namespace mangospread::scheduler
