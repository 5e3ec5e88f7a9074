// What a seed decides of a simulated service.
#include "unit/dispatch/interference_world.hpp"
#include "unit/dispatch/starved_world.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr int kBestEffortImages = 4;
constexpr int kLatencyCriticalImages = 3;
constexpr MonotonicTime kLastArrival = std::chrono::seconds(18);

ImageName BestEffortImage(int i) { return ImageName("b" + std::to_string(i)); }
ImageName LatencyCriticalImage(int i) {
  return ImageName("s" + std::to_string(i));
}

}  // namespace

int StarvedWorld::Draw(int lowest, int highest) {
  return std::uniform_int_distribution<int>(lowest, highest)(random_);
}

bool StarvedWorld::Chance(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

double StarvedWorld::Uniform(double lowest, double highest) {
  return std::uniform_real_distribution<double>(lowest, highest)(random_);
}

void StarvedWorld::DrawServices() {
  const int services = Draw(1, 2);
  for (int s = 0; s < services; ++s) {
    services_.push_back("s" + std::to_string(s));
    const int count = Draw(2, 8);
    const bool devices = Chance(0.2);
    for (int w = 0; w < count; ++w) {
      Worker worker;
      worker.info.vm =
          VmName("w" + std::to_string(s) + "-" + std::to_string(w));
      worker.info.service = ServiceName(services_.back());
      const int cores = 8 << Draw(0, 2);
      worker.info.capacity.cpu = Millicores(cores * 1'000);
      worker.info.capacity.memory = Mebibytes(cores * Draw(1, 4) * 1'000);
      worker.info.capacity.accelerators = Accelerators(devices ? 4 : 0);
      if (Chance(0.7)) worker.info.labels.emplace_back("fast");
      worker.attaches_at = now;
      dispatcher.OnWorker(worker.info);
      workers_.emplace(worker.info.vm.str(), worker);
    }
    AcceptLatencyCritical(services_.back(), count);
  }
}

void StarvedWorld::AcceptLatencyCritical(const std::string& service,
                                         int workers) {
  const int images = Draw(1, kLatencyCriticalImages);
  for (int i = 0; i < images; ++i) {
    StepSpec step = MakeStep(Draw(1, workers), Draw(1, 3) * 1'000);
    step.long_running = true;
    step.max_per_worker = 1;
    step.image = LatencyCriticalImage(i);
    step.latency_target = InterferenceWorld::kTarget;
    Accepted accepted;
    const std::string id = "serve-" + service + "-" + std::to_string(i);
    accepted.submission = MakeSubmission(id.c_str(), {step});
    accepted.policy = Policy();
    accepted.policy.service = ServiceName(service);
    arrivals_.emplace(now, accepted);
  }
}

void StarvedWorld::DrawInterference() {
  // True effects and learned ones: nothing learned; the truth; much too strong
  // ones, as from few measurements.
  const bool real = Chance(0.6);
  const int learned_kind = Draw(0, 2);
  mean_load_ = Uniform(0.3, 0.6);
  std::vector<LearnedInterference> learned;
  for (int s = 0; s < kLatencyCriticalImages; ++s) {
    LearnedInterference entry{LatencyCriticalImage(s),
                              InterferenceWorld::kIdleTailMs,
                              mean_load_,
                              0.02,
                              {}};
    for (int b = 0; b < kBestEffortImages; ++b) {
      const double effect = real ? Uniform(0.02, 0.08) : Uniform(0, 0.005);
      effects_[{BestEffortImage(b), entry.image}] = effect;
      const double strong = Chance(0.1) ? 100 : 0.08;
      entry.effects.push_back(
          {BestEffortImage(b), learned_kind == 1 ? effect : strong, 0.001});
    }
    learned.push_back(entry);
  }
  if (learned_kind == 0) return;
  dispatcher.ImportInterference(learned);
  stored_interference_ = learned;
}

StepSpec StarvedWorld::DrawStep(const std::string& service) {
  const bool wide = Chance(0.15);
  StepSpec step =
      MakeStep(wide ? Draw(10, 40) : Draw(1, 3),
               Chance(0.2) ? Draw(4, 12) * 1'000 : Draw(1, 8) * 500);
  step.memory = Mebibytes(Chance(0.1) ? Draw(4, 16) * 1'000 : Draw(1, 20) * 50);
  step.estimate = Milliseconds(Draw(300, 8'000));
  step.best_effort = Chance(0.65);
  step.checkpoints = Chance(0.6);
  step.image = BestEffortImage(Draw(0, kBestEffortImages - 1));
  if (!wide && Chance(0.2)) {
    step.gang = true;
    step.count = Draw(2, 4);
  }
  if (Chance(0.08)) step.required_label = Label("fast");
  if (Chance(0.1)) step.max_per_worker = Draw(1, 2);
  const bool devices =
      std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.second.info.service == ServiceName(service) &&
               entry.second.info.capacity.accelerators.value() > 0;
      });
  if (devices && Chance(0.2)) step.accelerators = Accelerators(Draw(1, 2));
  return step;
}

void StarvedWorld::DrawArrivals() {
  const int count = Draw(4, 14);
  for (int i = 0; i < count; ++i) {
    const std::string& service =
        services_[static_cast<std::size_t>(Draw(0, 99)) % services_.size()];
    std::vector<StepSpec> steps;
    const int count_of_steps = Draw(1, 3);
    for (int s = 0; s < count_of_steps; ++s) {
      steps.push_back(DrawStep(service));
      if (s > 0 && Chance(0.7)) steps.back().after = {s - 1};
    }
    Accepted accepted;
    accepted.submission =
        MakeSubmission(("job" + std::to_string(i)).c_str(), steps);
    accepted.policy = Policy();
    accepted.policy.service = ServiceName(service);
    const MonotonicTime at =
        now + kTick * Draw(20, static_cast<int>(kLastArrival / kTick));
    arrivals_.emplace(at, accepted);
  }
}

void StarvedWorld::DrawFaults() {
  command_delay_ = kTick * Draw(0, 2);
  store_delay_ = kTick * Draw(0, 3);
  const auto moment = [this] { return now + kTick * Draw(120, 600); };
  if (Chance(0.7)) {
    const int lost = Draw(1, 4);
    for (int i = 0; i < lost; ++i) {
      worker_losses_.emplace(moment(), Chance(0.5));
    }
  }
  if (Chance(0.6)) {
    const int ends = Draw(1, 2);
    for (int i = 0; i < ends; ++i) leader_ends_.insert(moment());
  }
}

}  // namespace mangospread::dispatch::test
