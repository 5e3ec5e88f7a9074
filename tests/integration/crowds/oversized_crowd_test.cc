// Guards against a process that ends for lack of memory: clients send bodies
// far over the operator's limit, with their length in the head or in chunks.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

constexpr std::size_t kBodyBytes = 8'000'000;
constexpr std::size_t kSentBytes = kBodyBytes - 100;
/// Together 240 MB, more than the node may use.
constexpr int kClients = 30;
constexpr std::size_t kPiece = 65'536;

TEST_CASE("bodies over the limit") {
  for (const std::string& path : DoorPaths()) {
    CAPTURE(path);
    CrowdedNode node;
    Crowd crowd;
    crowd.Connect(node.front(), kClients);
    crowd.Send(PostHead(path, "Content-Length: " + std::to_string(kBodyBytes) +
                                  "\r\n") +
                   std::string(kSentBytes, ' '),
               kPiece);
    node.CheckServes();
  }
}

TEST_CASE("chunks over the limit") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  crowd.Send(PostHead(DoorPaths().front(), "Transfer-Encoding: chunked\r\n") +
                 "7A1200\r\n" + std::string(kSentBytes, ' '),
             kPiece);
  node.CheckServes();
}

}  // namespace
}  // namespace mangospread::testing
