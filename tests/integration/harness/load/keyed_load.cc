#include "integration/harness/load/keyed_load.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <thread>

namespace mangospread::testing {

KeyedLoad::KeyedLoad(const Cluster& cluster, int threads, unsigned seed)
    : ports_(cluster.nodes()) {
  for (int i = 0; i < cluster.nodes(); ++i) Update(cluster, i);
  load_ = std::make_unique<Load>(
      threads, seed, Load::kUntilStopped,
      [this](int thread, std::mt19937& random) { Step(thread, random); });
}

void KeyedLoad::Update(const Cluster& cluster, int node) {
  ports_[node].store(cluster.http(node).port);
}

void KeyedLoad::WaitForAnswers() {
  constexpr int kEnough = 100;
  const int before = answered_;
  WaitUntil("requests are answered", kWaitDeadline,
            [this, before] { return answered_ > before + kEnough; });
}

void KeyedLoad::StopAndCheck(const Cluster& cluster) {
  load_->Stop();
  const auto runs = cluster.RunsByKey();
  int twice = 0;
  int ran_though_not_run = 0;
  int answered_without_run = 0;
  std::map<std::string, int> told;
  for (const auto& [key, outcome] : outcomes_) {
    ++told[outcome];
    const int count = runs.value(key, 0);
    if (count > 1) ++twice;
    if (outcome == "not-run" && count > 0) ++ran_though_not_run;
    if (outcome == "answered" && count != 1) ++answered_without_run;
  }
  MESSAGE("answered " << told["answered"] << ", not-run " << told["not-run"]
                      << ", unknown " << told["unknown"] << ", broken "
                      << told["broken"]);
  CHECK(twice == 0);
  CHECK(ran_though_not_run == 0);
  CHECK(answered_without_run == 0);
  CHECK(told["answered"] > 0);
}

void KeyedLoad::Step(int thread, std::mt19937& random) {
  const std::string key =
      std::to_string(thread) + "-" + std::to_string(++next_);
  net::Request request;
  request.method = net::Method::kPost;
  request.target = kServicePath;
  request.headers.Add("X-Run-Key", key);
  request.headers.Add("X-Work-Ms", std::to_string(random() % 20));
  request.body = key;
  const std::size_t node = random() % ports_.size();
  const Reply reply = Fetch({"127.0.0.1", ports_[node].load()}, request);
  if (reply.outcome() == "answered") {
    CHECK(reply.body == key);
    ++answered_;
  } else {
    // A refused caller does not come back at once.
    std::this_thread::sleep_for(Milliseconds(5));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // Without a reply the caller knows nothing.
  outcomes_[key] = reply.ok() ? reply.outcome() : "broken";
}

}  // namespace mangospread::testing
