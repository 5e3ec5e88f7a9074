#include <doctest/doctest.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "base/events.hpp"
#include "base/log_budget.hpp"
#include "base/log_buffer.hpp"

namespace mangospread::base {
namespace {

// Guards against a process that blocks because its log is not read.
TEST_CASE("a log that is not read drops lines and never blocks") {
  int pipe_fds[2];
  REQUIRE(pipe(pipe_fds) == 0);
  LogBuffer buffer(pipe_fds[1], 64 * 1024);
  const std::string line(200, 'x');
  for (int i = 0; i < 2'000; ++i) {
    buffer.Append(line);
    buffer.Flush();
  }
  CHECK(buffer.dropped() > 0);
  const std::uint64_t dropped = buffer.dropped();
  std::string read_back(256 * 1024, '\0');
  CHECK(read(pipe_fds[0], read_back.data(), read_back.size()) > 0);
  buffer.Flush();
  CHECK(buffer.Append(line));
  CHECK(buffer.dropped() == dropped);
  close(pipe_fds[0]);
  close(pipe_fds[1]);
}

// Guards against a log that grows without limit under load.
TEST_CASE("an event's lines are limited by its budget") {
  EventBudget budget;
  MonotonicTime now = std::chrono::seconds(10);
  int written = 0;
  for (int i = 0; i < 10'000; ++i) written += budget.TryTake(now) ? 1 : 0;
  CHECK(written == static_cast<int>(EventBudget::kBurstLines));
  now += std::chrono::seconds(1);
  written = 0;
  for (int i = 0; i < 10'000; ++i) written += budget.TryTake(now) ? 1 : 0;
  CHECK(written == static_cast<int>(EventBudget::kLinesPerSecond));
}

// Guards against counters that one thread reads while another one changes them;
// ThreadSanitizer reports the access.
TEST_CASE("dropped lines are counted and reported while other threads log") {
  constexpr int kThreads = 2;
  constexpr int kLines = 50;
  // Exceeds the buffer, so that every line is dropped.
  const std::string text(std::size_t{1} << 20U, 'x');
  const std::uint64_t dropped = DroppedLogLines();
  std::atomic<int> running{kThreads};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int line = 0; line < kLines; ++line) {
        Log(Event::kNodeReady, {{"text", text}});
      }
      --running;
    });
  }
  std::thread reporter([&] {
    while (running > 0) FlushLog();
  });
  while (running > 0) FlushLog();
  for (std::thread& thread : threads) thread.join();
  reporter.join();
  CHECK(DroppedLogLines() - dropped == kThreads * kLines);
}

}  // namespace
}  // namespace mangospread::base
