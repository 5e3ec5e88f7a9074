// The settings file of one node after the other names another address of the
// store.
#include <cstdio>
#include <string>
#include <vector>

#include "../support/deployment.hpp"
#include "../support/runs_check.hpp"

namespace {

using review::Deployment;
using review::Verdict;

Verdict Run(const std::string& program, const std::string& record) {
  constexpr int kSubmissions = 400;
  constexpr int kChanges = 11;
  constexpr int kBetween = 35;
  constexpr int kGapMs = 90;
  constexpr int kFinishMs = 14'000;
  constexpr int kCancelMs = 3'000;
  constexpr int kStopMs = 1'000;  // stop-timeout-ms is 400.
  std::vector<review::WorkerOptions> workers;
  for (int i = 1; i <= 12; ++i) {
    workers.push_back({"w" + std::to_string(i), "r" + std::to_string(i / 6)});
  }
  Deployment deployment(program, record, 4, workers);
  if (!deployment.WaitUntilReady()) return Verdict::kNotRun;
  // Four steps of four tasks that end at different times.
  std::vector<review::StepRequest> steps;
  for (const int duration_ms : {700, 900, 1'100, 1'300}) {
    steps.push_back({4, {1'000, 64, duration_ms}, {}, "", false});
  }
  const std::string lasting = "00000000000e1a57";
  if (!deployment.SubmitWithRetries(
          lasting, "ledger", {{2, {6'400, 13'000, 0}, {}, "", true}}, 4)) {
    return Verdict::kNotRun;
  }
  std::vector<std::string> accepted;
  int refused = 0;
  for (int i = 0; i < kSubmissions; ++i) {
    if (review::Trouble() && i % kBetween == 0 && i > 0 &&
        i / kBetween <= kChanges) {
      // One node after the other, and back again in the next round.
      const auto change = static_cast<std::size_t>(i / kBetween - 1);
      const std::size_t round = change / deployment.nodes();
      deployment.SetStorePort(change % deployment.nodes(),
                              round % 2 == 0 ? deployment.store().other_port()
                                             : deployment.store().port());
    }
    char id[] = "00000000000e0000";
    std::snprintf(id, sizeof(id), "00000000000e%04x", i);
    const auto node = static_cast<std::size_t>(i) % deployment.nodes();
    if (deployment.Submit(node, id, "check", steps) == 200) {
      accepted.emplace_back(id);
    } else if (++refused > 5) {
      break;
    }
    review::Pause(kGapMs);
  }
  review::Pause(kFinishMs);
  std::vector<std::string> open;
  for (const std::string& id : accepted) {
    if (deployment.State(0, id) != "complete") open.push_back(id);
  }
  const int stranded = review::CountStranded(deployment, open);
  // Takes at least ack-ms if the cancel isn't confirmed.
  const int unanswered = review::CountUnansweredCancels(deployment, {lasting});
  review::Pause(kCancelMs + kStopMs);
  bool runs_on = false;
  for (const review::RunEvent& run : deployment.runs().All()) {
    const bool running = run.ended_ms == 0;
    runs_on = runs_on || (running && run.task.starts_with(lasting));
  }
  deployment.record().Add(
      "accepted " + std::to_string(accepted.size()) + ", refused " +
      std::to_string(refused) + ", not complete " +
      std::to_string(open.size()) + ", LOST " + std::to_string(stranded) +
      "; the cancel of the one that lasts " +
      (unanswered > 0 ? "has no answer" : "is confirmed") +
      (runs_on ? "; UNASKED: its tasks run on" : "; its tasks have ended"));
  return stranded > 0 || runs_on ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
