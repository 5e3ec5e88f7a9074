// A cancel that arrives while the submission's row is on its way to the store
// is answered with 410, and the submission then runs to its end.
#include "../support-3/scenario.hpp"

namespace review {
namespace {

constexpr int kSubmissions = 6;
// Those of consumers that neither leave nor cancel.
constexpr int kOthers = 12;
constexpr int kSteps = 5;
constexpr double kCancelS = 3.0;   // cancel_ms
constexpr double kContactS = 3.0;  // contact-ms
// "The platform's store is slow": 60 times 4 ms, 4.5 s at most.
constexpr Millis kSlowAnswer{240};
constexpr Millis kUsualAnswer{4};
constexpr double kSlowS = 4.4;
// "Consumers leave before their time limit": half of the aim of 250 ms. Here 6
// of 18 leave; the site allows a share of 0.4.
constexpr Millis kAim{250};
constexpr Millis kConsumerLeaves = kAim / 2;

struct Cancelled {
  /// The submission's row was in the store before the DELETE was sent.
  bool stored = false;
  double acknowledged_at = 0;
  int status = 0;
};

/// Returns the exit code.
int Run(const char* folder) {
  World world(folder, 3);
  for (int i = 0; i < 10; ++i) world.AddWorker(WorkerNumber(i));
  std::vector<json> steps;
  for (int step = 0; step < kSteps; ++step) {
    json entry = {{"count", 2},
                  {"cpu", 1'000},
                  {"mem-mb", 1'000},
                  {"estimate-ms", 2'500}};
    if (step > 0) entry["after"] = json::array({step - 1});
    steps.push_back(entry);
    for (int i = 0; i < kSubmissions + kOthers; ++i) {
      world.plans[IdOf(i) + "." + std::to_string(step)] = {
          1'000, 1'000, Millis(2'500), false};
    }
  }
  json config = Config(true);
  config["routes"][0]["target-latency-ms"] = kAim.count();
  if (!world.Start(config)) return kCouldNotRun;

  const double slow_from = world.record.Now();
  if (WithTrouble()) world.store.SetDelay(kSlowAnswer);
  world.Sleep(Millis(300));
  std::thread others([&] {
    for (int i = kSubmissions; i < kSubmissions + kOthers; ++i) {
      world.Send(i % 3, "POST", kPrefix + IdOf(i), Submission(steps).dump());
    }
  });
  std::thread end_of_slowness([&] {
    while (world.record.Now() < slow_from + kSlowS) world.Sleep(Millis(10));
    world.store.SetDelay(kUsualAnswer);
  });
  std::map<std::string, Cancelled> cancelled;
  for (int i = 0; i < kSubmissions; ++i) {
    const std::string target = kPrefix + IdOf(i);
    world.Send(i % 3, "POST", target, Submission(steps).dump(),
               kConsumerLeaves);
    // The consumer has left; it cancels what it may have handed in.
    const bool stored = world.store.Contains("job", IdOf(i));
    const Response response =
        world.Send((i + 1) % 3, "DELETE", target, "", Millis(3'000));
    cancelled[IdOf(i)] = {stored, world.record.Now(), response.status};
  }
  others.join();
  end_of_slowness.join();
  const double calm_from = world.record.Now() + kContactS;
  world.Sleep(Millis(14'000));
  for (int i = 0; i < kSubmissions; ++i) {
    world.Send(i % 3, "GET", kPrefix + IdOf(i), "");
  }

  const std::lock_guard lock(world.mutex);
  int acknowledged = 0;
  int stored = 0;
  int broken = 0;
  for (const auto& [id, cancel] : cancelled) {
    if (cancel.status / 100 == 2 || cancel.status == 410) ++acknowledged;
    if (cancel.stored) ++stored;
  }
  for (const Event& event : world.events) {
    if (event.what != "start") continue;
    const auto it = cancelled.find(event.task.substr(0, 16));
    if (it == cancelled.end()) continue;
    const Cancelled& cancel = it->second;
    if (cancel.status / 100 != 2 && cancel.status != 410) continue;
    if (!cancel.stored) continue;
    if (event.at <= cancel.acknowledged_at + kCancelS) continue;
    if (event.at <= calm_from && WithTrouble()) continue;
    ++broken;
    world.record.Line("UNASKED: " + event.task + " starts " +
                      std::to_string(event.at - cancel.acknowledged_at) +
                      " s after its cancelling was answered with " +
                      std::to_string(cancel.status));
  }
  world.record.Line(
      std::to_string(acknowledged) + " of " + std::to_string(kSubmissions) +
      " cancels acknowledged, rows stored before: " + std::to_string(stored) +
      "; starts that break the rule: " + std::to_string(broken));
  if (acknowledged == 0 || stored == 0) return kCouldNotRun;
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int /*count*/, char** arguments) { return review::Run(arguments[1]); }
