#include "integration/harness/wait.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>

#include "integration/harness/process.hpp"

namespace mangospread::testing {

void WaitUntil(const std::string& description, Milliseconds timeout,
               const std::function<bool()>& condition,
               const std::function<std::string()>& explain) {
  constexpr Milliseconds kPollInterval{20};
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      throw std::runtime_error("timed out waiting for: " + description +
                               DescribeUnexpectedEnds() +
                               (explain ? "\n  " + explain() : ""));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace mangospread::testing
