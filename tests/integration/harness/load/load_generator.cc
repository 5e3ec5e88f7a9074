#include "integration/harness/load/load_generator.hpp"

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

LoadGenerator::LoadGenerator(int threads, unsigned seed, int iterations,
                             Iteration iteration) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this, i, seed, iterations, iteration] {
      std::mt19937 random(seed + static_cast<unsigned>(i));
      try {
        for (int n = 0; (iterations < 0 || n < iterations) && !stop_; ++n) {
          iteration(i, random);
        }
      } catch (const std::exception& error) {
        FAIL_CHECK("load thread ended: " << error.what());
      }
    });
  }
}

void LoadGenerator::Stop() {
  stop_ = true;
  Join();
}

void LoadGenerator::Join() {
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace mangospread::testing
