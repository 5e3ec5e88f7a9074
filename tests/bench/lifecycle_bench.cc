// Measures table transactions for task starts at the peak rate of the largest
// supported fleet: 470 tasks a second through the scheduler, with a table that
// responds after 4 ms.
#include <cstdio>

#include "unit/scheduler/lifecycle_fixture.hpp"

int main() {
  using namespace mangospread;  // NOLINT
  constexpr int kTasks = 4'700;
  constexpr std::size_t kWorkerCapacity = 100;
  base::ConfigureLog(base::Severity::kError, "bench");
  test::LifecycleFixture f(100, kWorkerCapacity);
  f.options.tick = Milliseconds(100);
  f.options.max_placements_per_tick = 47;
  f.writer_options.budget = f.writer_options.burst = 150;
  f.table.delay = Milliseconds(4);
  auto& node = f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":4700})");
  test::RunUntil(f.loop, [&] { return f.commands > 0; });
  const MonotonicTime start_time = base::MonotonicNow();
  const auto before = node.writer.counters();
  // Tasks end at the rate at which they start, one second after their start.
  const base::Timer end_timer =
      f.loop.Every(std::chrono::seconds(1), 0, [&f] { f.EndAll(); });
  test::RunUntil(f.loop, [&f] { return f.Finished("j"); });
  const double seconds =
      std::chrono::duration<double>(base::MonotonicNow() - start_time).count();
  const auto& after = node.writer.counters();
  const auto transactions =
      static_cast<double>(after.transactions - before.transactions);
  const auto changes = static_cast<double>(after.changes - before.changes);
  std::printf(
      "starts_per_second=%.0f transactions_per_second=%.1f "
      "changes_per_transaction=%.1f transactions_per_task=%.3f\n",
      kTasks / seconds, transactions / seconds, changes / transactions,
      transactions / kTasks);
  std::printf("reports=%llu bytes_per_report=%.0f workers=100\n",
              static_cast<unsigned long long>(f.agent.counters().reports),
              static_cast<double>(f.agent.counters().report_bytes) /
                  static_cast<double>(f.agent.counters().reports));
  return 0;
}
