#include "integration/harness/checks/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace mangospread::testing {

using nlohmann::json;

void CheckOwnershipRecords(const Cluster& cluster) {
  for (int i = 0; i < cluster.workers(); ++i) {
    CAPTURE(i);
    const json record = cluster.WorkerRecord(i);
    REQUIRE(record.is_object());
    std::uint64_t previous_epoch = 0;
    for (const json& claim : record.at("claims")) {
      const auto epoch = claim.at("epoch").get<std::uint64_t>();
      CHECK(epoch > previous_epoch);
      previous_epoch = epoch;
    }
    std::map<std::string, std::string> owners;
    for (const auto& [key, count] : record.at("served_by").items()) {
      const auto separator = key.find(' ');
      const auto inserted =
          owners.emplace(key.substr(0, separator), key.substr(separator + 1));
      CHECK_MESSAGE(inserted.second,
                    "two owners in epoch " << inserted.first->first);
    }
  }
}

std::uint64_t ServedRequests(const Cluster& cluster, int worker) {
  return cluster.WorkerRecord(worker).at("served").get<std::uint64_t>();
}

int AnyOwner(const Cluster& cluster) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    if (cluster.OwnedWorkers(i) > 0) return i;
  }
  return -1;
}

int TotalOwnedWorkers(const Cluster& cluster) {
  int owned = 0;
  for (int i = 0; i < cluster.nodes(); ++i) {
    owned += std::max(0, cluster.OwnedWorkers(i));
  }
  return owned;
}

void WaitUntilOwnedByOthers(const Cluster& cluster, int except) {
  WaitUntil("all workers owned by others", kWaitTimeout, [&] {
    int owned = 0;
    for (int i = 0; i < cluster.nodes(); ++i) {
      if (i != except) owned += std::max(0, cluster.OwnedWorkers(i));
    }
    return owned == cluster.workers();
  });
}

std::size_t CountGrantedClaims(const Cluster& cluster) {
  std::size_t claims = 0;
  for (int i = 0; i < cluster.workers(); ++i) {
    claims += cluster.WorkerRecord(i).at("claims").size();
  }
  return claims;
}

std::string ReportedLiveness(const Cluster& cluster, int node, int peer) {
  const json status = cluster.GetJson(node, "/v1/status/nodes");
  if (!status.is_object()) return "";
  const std::string name = "node-" + std::to_string(peer);
  for (const json& item : status.at("nodes")) {
    if (item.at("node") == name) return item.at("liveness").get<std::string>();
  }
  return "";
}

namespace {

std::string DescribeResponse(const Response& response) {
  return "failure " + std::to_string(static_cast<int>(response.failure)) +
         ", status " + std::to_string(response.status) + ", outcome '" +
         response.outcome() + "', reason '" +
         std::string(response.headers.Get("Mangospread-Reason")) + "'";
}

}  // namespace

std::string DescribeServing(const Cluster& cluster, int node) {
  const Address address = cluster.http(node);
  std::string text =
      "request: " + DescribeResponse(Post(address, kServicePath, "x"));
  for (const char* target :
       {"/healthz", "/v1/status/nodes", "/v1/status/workers"}) {
    const Response response = Get(address, target);
    text += std::string("\n  ") + target + ": " + DescribeResponse(response) +
            " " + response.body;
  }
  for (int i = 0; i < cluster.nodes(); ++i) {
    text += "\n  node-" + std::to_string(i) + " owns " +
            std::to_string(cluster.OwnedWorkers(i));
  }
  return text;
}

bool CanServe(const Cluster& cluster, int node) {
  const Response response = Post(cluster.http(node), kServicePath, "x");
  return response.ok() && response.outcome() == "answered";
}

}  // namespace mangospread::testing
