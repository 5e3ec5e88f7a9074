#include "integration/harness/load/load.hpp"

#include <doctest/doctest.h>

#include <exception>
#include <utility>

namespace mangospread::testing {

std::string MakeBody(const std::string& seed, std::size_t bytes) {
  std::string body;
  body.reserve(bytes + seed.size() + 32);
  while (body.size() < bytes) {
    body += seed + ":" + std::to_string(body.size()) + ";";
  }
  body.resize(bytes);
  return body;
}

Load::Load(int threads, unsigned seed, int rounds, Step step) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, i, seed, rounds, step] {
      std::mt19937 random(seed + static_cast<unsigned>(i));
      try {
        for (int n = 0; (rounds < 0 || n < rounds) && !stop_; ++n) {
          step(i, random);
        }
      } catch (const std::exception& problem) {
        FAIL_CHECK("load thread ended: " << problem.what());
      }
    });
  }
}

void Load::Stop() {
  stop_ = true;
  Join();
}

void Load::Join() {
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace mangospread::testing
