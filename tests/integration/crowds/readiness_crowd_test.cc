// Guards against a crowd at the address of the readiness probe that takes the
// memory or the descriptors of the process, or the balancer's place there.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

constexpr std::size_t kBodyBytes = 262'144;
constexpr std::size_t kMissingBytes = 100;
/// More than the node has descriptors; their bodies together take 157 MB.
constexpr int kClients = 600;
constexpr std::size_t kPiece = 65'536;

TEST_CASE("unfinished bodies at the readiness address") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.readiness(), kClients);
  crowd.Send(
      PostHead("/mangospread/ready",
               "Content-Length: " + std::to_string(kBodyBytes) + "\r\n") +
          std::string(kBodyBytes - kMissingBytes, ' '),
      kPiece);
  node.CheckServes();
}

TEST_CASE("silent clients at the readiness address") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.readiness(), kClients);
  node.CheckServes();
}

}  // namespace
}  // namespace mangospread::testing
