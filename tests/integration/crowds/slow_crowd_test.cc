// Guards against a process that runs out of descriptors, and then accepts
// nobody: clients connect and send nothing, stop within the head, or send
// single bytes.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

/// More than the node has descriptors.
constexpr int kClients = 700;
constexpr std::size_t kPiece = 65'536;

TEST_CASE("clients that send nothing") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  node.CheckServes();
}

TEST_CASE("clients that stop within the head") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  crowd.Send("POST /jobs/00000000000000ff HTTP/1.1\r\nHost: jo", kPiece);
  node.CheckServes();
}

TEST_CASE("clients that send single bytes") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  crowd.Send("POST /jobs/00000000000000ff HTTP/1.1\r\nHost: jo", 1);
  node.CheckServes();
}

TEST_CASE("clients that do not read their answers") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  crowd.Send("GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n", kPiece);
  node.CheckServes();
}

}  // namespace
}  // namespace mangospread::testing
