// Guards against failures of submissions that are counted against workers, so
// that accepted work waits beside idle workers.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <thread>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kWorkers = 8;
constexpr int kFaultyTasks = 36;
constexpr int kGoodTasks = 2;
constexpr int kGoodTaskMs = 500;
constexpr milliseconds kGap{100};
constexpr milliseconds kTraffic{24'000};
constexpr int kGoodPerFaulty = 7;
/// In waves of 3 s with pauses of 1 s there are faulty submissions.
constexpr milliseconds kWave{3'000};
constexpr milliseconds kPause{1'000};
/// Accepted work that can run may wait for this long at most.
constexpr milliseconds kMaxWait{3'000};

/// Submits good and faulty submissions, and observes how long each good one
/// takes.
class Traffic {
 public:
  explicit Traffic(ManagedCluster& site) : site_(site) {}

  void Run() {
    const auto begin = steady_clock::now();
    for (int i = 1; steady_clock::now() - begin < kTraffic; ++i) {
      const bool in_wave =
          (steady_clock::now() - begin) % (kWave + kPause) < kWave;
      const std::size_t node = static_cast<std::size_t>(i) % site_.nodes();
      if (in_wave && i % kGoodPerFaulty == 0) {
        site_.SubmitFailing(node, i, kFaultyTasks);
      } else if (site_.Submit(node, i, kGoodTasks, kGoodTaskMs).status == kOk) {
        open_.push_back({i, steady_clock::now()});
      }
      Observe();
      std::this_thread::sleep_for(kGap);
    }
    WaitUntil("all good submissions are complete", kWaitTimeout, [this] {
      Observe();
      return open_.empty();
    });
  }

  /// Longest time from a submission to its completion.
  [[nodiscard]] milliseconds longest() const { return longest_; }
  [[nodiscard]] int complete() const { return complete_; }
  [[nodiscard]] int failed() const { return failed_; }

 private:
  struct Open {
    int submission = 0;
    steady_clock::time_point accepted_at;
  };

  /// Looks at the oldest submissions first and stops at one that is not
  /// complete.
  void Observe() {
    while (!open_.empty()) {
      const Open& oldest = open_.front();
      const std::string state = site_.GetState(0, oldest.submission);
      const auto taken = std::chrono::duration_cast<milliseconds>(
          steady_clock::now() - oldest.accepted_at);
      longest_ = std::max(longest_, taken);
      if (state != "complete" && state != "failed") return;
      ++(state == "complete" ? complete_ : failed_);
      open_.pop_front();
    }
  }

  ManagedCluster& site_;
  std::deque<Open> open_;
  milliseconds longest_{0};
  int complete_ = 0;
  int failed_ = 0;
};

TEST_CASE("submissions that fail everywhere do not stop others") {
  ManagedCluster site(3, kWorkers);
  site.WaitUntilReady();
  Traffic traffic(site);
  traffic.Run();
  MESSAGE("longest " << traffic.longest().count() << " ms of "
                     << traffic.complete() << " submissions");
  CHECK(traffic.complete() > 0);
  CHECK(traffic.failed() == 0);
  CHECK(traffic.longest() < kMaxWait + milliseconds(kGoodTaskMs));
  const RunCounters counts = site.GetCounters();
  CheckNoTaskRanTwice(counts);
  CHECK(counts.overloads == 0);
}

}  // namespace
}  // namespace mangospread::testing
