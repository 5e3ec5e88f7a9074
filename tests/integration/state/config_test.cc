// Guards against an accepted change that is not in force everywhere, that is
// lost, or that a node takes back: under lost replies of the table, racing
// operators, peers that do not hear of it, an outage right after the commit
// and nodes that restart.
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

Reply PutTeam(const Address& node, int number, double weight,
              std::optional<std::uint64_t> expected = std::nullopt) {
  net::Request request;
  request.method = net::Method::kPut;
  request.target = TeamPath(number);
  request.body = json{{"weight", weight}}.dump();
  if (expected) request.headers.Add("If-Match", std::to_string(*expected));
  return Fetch(node, request);
}

/// Version of an accepted change; 0 when it was not accepted.
std::uint64_t Accepted(const Reply& reply) {
  if (reply.status != kOk && reply.status != kCreated) return 0;
  return json::parse(reply.body).value("version", std::uint64_t{0});
}

/// Polls a node's revision and remembers whether it ever went back while the
/// node was ready.
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

  [[nodiscard]] bool went_back() const { return went_back_; }
  [[nodiscard]] int readings() const { return readings_; }

 private:
  void Run(const Address& node) {
    std::uint64_t highest = 0;
    while (!stop_) {
      std::this_thread::sleep_for(Milliseconds(20));
      if (Get(node, "/healthz").status != kOk) continue;
      const Reply reply = Get(node, "/v1/status/config");
      const json status = json::parse(reply.body, nullptr, false);
      if (!status.is_object()) continue;
      const auto revision = status.value("revision", std::uint64_t{0});
      if (revision < highest) went_back_ = true;
      highest = std::max(highest, revision);
      ++readings_;
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<bool> went_back_{false};
  std::atomic<int> readings_{0};
  std::thread thread_;
};

/// Weight of a team as a node sees it; 0 when it does not know the team.
double WeightAt(const Cluster& cluster, int node, int team) {
  const json resource = cluster.Status(node, TeamPath(team));
  if (!resource.is_object() || !resource.contains("spec")) return 0;
  return resource.at("spec").value("weight", 0.0);
}

void WaitInForce(const Cluster& cluster, std::uint64_t revision) {
  WaitUntil("the accepted change in force on every node", kWaitDeadline,
            [&cluster, revision] {
              for (int i = 0; i < cluster.nodes(); ++i) {
                if (cluster.Revision(i) < revision) return false;
              }
              return true;
            });
}

TEST_CASE("lost replies and racing operators leave one truth everywhere") {
  Cluster cluster({});
  const RevisionMonitor monitor(cluster.http(2));
  std::mt19937 random(kSeed);
  for (int round = 1; round <= 12; ++round) {
    if (round % 2 == 0) cluster.SetTableFaults(R"({"lose_replies":1})");
    const int team = static_cast<int>(random() % 3);
    const json before = cluster.Status(0, TeamPath(team));
    const auto version =
        before.is_object() ? before.value("version", std::uint64_t{0}) : 0;
    // Two operators have seen the same version and change it at once.
    Reply first;
    Reply second;
    std::thread racer(
        [&] { second = PutTeam(cluster.http(1), team, round + 0.5, version); });
    first = PutTeam(cluster.http(0), team, round, version);
    racer.join();
    const auto a = Accepted(first);
    const auto b = Accepted(second);
    CAPTURE(round);
    CAPTURE(first.body);
    CAPTURE(second.body);
    CHECK((a == 0) != (b == 0));
    CHECK((a != 0 || first.status == kConflict));
    CHECK((b != 0 || second.status == kConflict));
    WaitInForce(cluster, std::max(a, b));
    for (int i = 0; i < cluster.nodes(); ++i) {
      CHECK(WeightAt(cluster, i, team) == (a != 0 ? round : round + 0.5));
    }
  }
  CHECK_FALSE(monitor.went_back());
  CHECK(monitor.readings() > 0);
}

TEST_CASE("an accepted change survives an outage, a cut and restarts") {
  ClusterOptions options;
  options.proxy_rpc = true;
  Cluster cluster(options);
  const RevisionMonitor monitor(cluster.http(1));
  for (int round = 1; round <= 4; ++round) {
    CAPTURE(round);
    // Node 2 hears neither the push nor a heartbeat of the others, or the
    // table goes away right after the commit, in turn.
    const bool outage = round % 2 == 0;
    if (!outage) {
      for (int i = 0; i < cluster.nodes(); ++i) cluster.rpc_proxy(i).Silence();
    }
    const auto version = Accepted(PutTeam(cluster.http(0), 0, round));
    REQUIRE(version > 0);
    if (outage) cluster.SetTableFaults(R"({"down":true})");
    WaitInForce(cluster, version);
    if (outage) {
      // A node that starts now can know the change from its peers only.
      cluster.RestartNode(2);
      WaitUntil("the restarted node ready", kWaitDeadline,
                [&cluster] { return cluster.Ready(2); });
      WaitInForce(cluster, version);
      CHECK(WeightAt(cluster, 2, 0) == round);
      cluster.SetTableFaults(R"({"down":false})");
    }
  }
  CHECK_FALSE(monitor.went_back());
  CHECK(monitor.readings() > 0);
}

}  // namespace
}  // namespace mangospread::testing
