// Guards against a process whose memory grows with requests that are sent ahead
// on a connection whose client reads no answer.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

constexpr int kRequests = 20'000;
constexpr int kClients = 350;
/// Less than the node takes if it reads ahead for every client.
constexpr int kMemoryMb = 40;
constexpr std::size_t kPiece = 65'536;

std::string SentAhead(const std::string& request) {
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += request;
  return requests;
}

TEST_CASE("requests sent ahead without reading the answers") {
  for (const std::string& path : DoorPaths()) {
    CAPTURE(path);
    CrowdedNode node(kMemoryMb);
    Crowd crowd;
    crowd.Connect(node.front(), kClients);
    crowd.Send(
        SentAhead("GET " + path + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n"),
        kPiece);
    node.CheckServes();
  }
}

TEST_CASE("probes and metrics asked for ahead") {
  CrowdedNode node(kMemoryMb);
  Crowd crowd;
  crowd.Connect(node.readiness(), kClients);
  crowd.Send(SentAhead("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"), kPiece);
  node.CheckServes();
}

}  // namespace
}  // namespace mangospread::testing
