#include "integration/harness/load/keyed_load.hpp"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <thread>

namespace mangospread::testing {

KeyedLoad::KeyedLoad(const Cluster& cluster, int threads, unsigned seed)
    : http_ports_(cluster.nodes()) {
  for (int i = 0; i < cluster.nodes(); ++i) UpdateNodeAddress(cluster, i);
  load_ = std::make_unique<LoadGenerator>(
      threads, seed, LoadGenerator::kUntilStopped,
      [this](int thread, std::mt19937& random) {
        SendRequest(thread, random);
      });
}

void KeyedLoad::UpdateNodeAddress(const Cluster& cluster, int node) {
  http_ports_[node].store(cluster.http(node).port);
}

void KeyedLoad::WaitForResponses() {
  constexpr int kMinResponses = 100;
  const int answered_before = answered_;
  WaitUntil("requests are answered", kWaitTimeout, [this, answered_before] {
    return answered_ > answered_before + kMinResponses;
  });
}

void KeyedLoad::StopAndCheck(const Cluster& cluster) {
  load_->Stop();
  const auto runs = cluster.RunsByKey();
  int ran_twice = 0;
  int ran_despite_not_run = 0;
  int answered_not_run_once = 0;
  std::map<std::string, int> outcome_counts;
  for (const auto& [key, outcome] : outcome_by_key_) {
    ++outcome_counts[outcome];
    const int count = runs.value(key, 0);
    if (count > 1) ++ran_twice;
    if (outcome == "not-run" && count > 0) ++ran_despite_not_run;
    if (outcome == "answered" && count != 1) ++answered_not_run_once;
  }
  MESSAGE("answered " << outcome_counts["answered"] << ", not-run "
                      << outcome_counts["not-run"] << ", unknown "
                      << outcome_counts["unknown"] << ", broken "
                      << outcome_counts["broken"]);
  CHECK(ran_twice == 0);
  CHECK(ran_despite_not_run == 0);
  CHECK(answered_not_run_once == 0);
  CHECK(outcome_counts["answered"] > 0);
}

void KeyedLoad::SendRequest(int thread, std::mt19937& random) {
  const std::string key =
      std::to_string(thread) + "-" + std::to_string(++last_key_number_);
  net::Request request;
  request.method = net::Method::kPost;
  request.target = kServicePath;
  request.headers.Add("X-Run-Key", key);
  request.headers.Add("X-Work-Ms", std::to_string(random() % 20));
  request.body = key;
  const std::size_t node = random() % http_ports_.size();
  const Response response =
      Fetch({"127.0.0.1", http_ports_[node].load()}, request);
  if (response.outcome() == "answered") {
    CHECK(response.body == key);
    ++answered_;
  } else {
    // A caller whose request was not answered waits before the next one.
    std::this_thread::sleep_for(Milliseconds(5));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // Without a complete response the outcome is unknown to the caller.
  outcome_by_key_[key] = response.ok() ? response.outcome() : "broken";
}

}  // namespace mangospread::testing
