// Guards against an accepted change that is not in force on every node, is
// lost, or is reverted by a node: under lost replies of the table, racing
// operators, peers that do not receive the push, a table outage right after the
// commit and restarts of nodes.
#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

using nlohmann::json;

constexpr unsigned kSeed = 20'240'616;
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kConflict = 409;

std::string TeamPath(int number) {
  return "/v1/resources/team/t" + std::to_string(number);
}

Response PutTeam(const Address& node, int number, double weight,
                 std::optional<std::uint64_t> expected = std::nullopt) {
  net::Request request;
  request.method = net::Method::kPut;
  request.target = TeamPath(number);
  request.body = json{{"weight", weight}}.dump();
  if (expected) request.headers.Add("If-Match", std::to_string(*expected));
  return Fetch(node, request);
}

/// Version of an accepted change; 0 if the change was not accepted.
std::uint64_t AcceptedVersion(const Response& reply) {
  if (reply.status != kOk && reply.status != kCreated) return 0;
  return json::parse(reply.body).value("version", std::uint64_t{0});
}

/// Polls a node's revision and records whether it ever decreased while the node
/// was ready.
class RevisionMonitor {
 public:
  explicit RevisionMonitor(Address node)
      : thread_([this, node = std::move(node)] { Run(node); }) {}
  ~RevisionMonitor() {
    stop_ = true;
    thread_.join();
  }
  RevisionMonitor(const RevisionMonitor&) = delete;
  RevisionMonitor& operator=(const RevisionMonitor&) = delete;

  [[nodiscard]] bool decreased() const { return decreased_; }
  [[nodiscard]] int readings() const { return readings_; }

 private:
  void Run(const Address& node) {
    std::uint64_t highest = 0;
    while (!stop_) {
      std::this_thread::sleep_for(Milliseconds(20));
      if (Get(node, "/healthz").status != kOk) continue;
      const Response reply = Get(node, "/v1/status/config");
      const json status = json::parse(reply.body, nullptr, false);
      if (!status.is_object()) continue;
      const auto revision = status.value("revision", std::uint64_t{0});
      if (revision < highest) decreased_ = true;
      highest = std::max(highest, revision);
      ++readings_;
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<bool> decreased_{false};
  std::atomic<int> readings_{0};
  std::thread thread_;
};

/// Weight of a team in a node's configuration; 0 if the team is absent from it.
double WeightAt(const Cluster& cluster, int node, int team) {
  const json resource = cluster.GetJson(node, TeamPath(team));
  if (!resource.is_object() || !resource.contains("spec")) return 0;
  return resource.at("spec").value("weight", 0.0);
}

void WaitUntilInForce(const Cluster& cluster, std::uint64_t revision) {
  WaitUntil("the accepted change in force on every node", kWaitTimeout,
            [&cluster, revision] {
              for (int i = 0; i < cluster.nodes(); ++i) {
                if (cluster.ConfigRevision(i) < revision) return false;
              }
              return true;
            });
}

TEST_CASE("all nodes agree after lost replies and racing changes") {
  Cluster cluster({});
  const RevisionMonitor monitor(cluster.http(2));
  std::mt19937 random(kSeed);
  for (int round = 1; round <= 12; ++round) {
    if (round % 2 == 0) cluster.SetTableFaults(R"({"lose_replies":1})");
    const int team = static_cast<int>(random() % 3);
    const json before = cluster.GetJson(0, TeamPath(team));
    const auto version =
        before.is_object() ? before.value("version", std::uint64_t{0}) : 0;
    // Two operators have read the same version and change it at the same time.
    Response first;
    Response second;
    std::thread second_operator(
        [&] { second = PutTeam(cluster.http(1), team, round + 0.5, version); });
    first = PutTeam(cluster.http(0), team, round, version);
    second_operator.join();
    const auto first_version = AcceptedVersion(first);
    const auto second_version = AcceptedVersion(second);
    CAPTURE(round);
    CAPTURE(first.body);
    CAPTURE(second.body);
    CHECK((first_version == 0) != (second_version == 0));
    CHECK((first_version != 0 || first.status == kConflict));
    CHECK((second_version != 0 || second.status == kConflict));
    WaitUntilInForce(cluster, std::max(first_version, second_version));
    for (int i = 0; i < cluster.nodes(); ++i) {
      CHECK(WeightAt(cluster, i, team) ==
            (first_version != 0 ? round : round + 0.5));
    }
  }
  CHECK_FALSE(monitor.decreased());
  CHECK(monitor.readings() > 0);
}

TEST_CASE("an accepted change survives outages, broken links and restarts") {
  ClusterOptions options;
  options.proxy_rpc = true;
  Cluster cluster(options);
  const RevisionMonitor monitor(cluster.http(1));
  for (int round = 1; round <= 4; ++round) {
    CAPTURE(round);
    // In turn, the links between nodes stop forwarding, so that node 2 receives
    // neither the push nor a heartbeat, or the table fails right after the
    // commit.
    const bool outage = round % 2 == 0;
    if (!outage) {
      for (int i = 0; i < cluster.nodes(); ++i) cluster.rpc_proxy(i).Stall();
    }
    const auto version = AcceptedVersion(PutTeam(cluster.http(0), 0, round));
    REQUIRE(version > 0);
    if (outage) cluster.SetTableFaults(R"({"down":true})");
    WaitUntilInForce(cluster, version);
    if (outage) {
      // A node that starts now can get the change only from its peers.
      cluster.RestartNode(2);
      WaitUntil("the restarted node ready", kWaitTimeout,
                [&cluster] { return cluster.IsReady(2); });
      WaitUntilInForce(cluster, version);
      CHECK(WeightAt(cluster, 2, 0) == round);
      cluster.SetTableFaults(R"({"down":false})");
    }
  }
  CHECK_FALSE(monitor.decreased());
  CHECK(monitor.readings() > 0);
}

}  // namespace
}  // namespace mangospread::testing
