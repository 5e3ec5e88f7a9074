#include "integration/harness/wait.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>

#include "integration/harness/process.hpp"

namespace mangospread::testing {

void WaitUntil(const std::string& description, Milliseconds deadline,
               const std::function<bool()>& condition) {
  constexpr Milliseconds kPeriod{20};
  const auto until = std::chrono::steady_clock::now() + deadline;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) {
      throw std::runtime_error("deadline passed, waiting for: " + description +
                               UnexpectedEnds());
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

}  // namespace mangospread::testing
