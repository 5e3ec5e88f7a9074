// Guards against a process that ends for lack of memory: the head of a request
// takes many times its size when it has very many short fields.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

/// The operator's limit of a head is 16,384 bytes.
constexpr int kFields = 4'000;
/// Each head takes about 0.5 MB once it is parsed, together more than the node
/// may use.
constexpr int kClients = 350;
constexpr std::size_t kPiece = 16'384;

std::string ShortFields() {
  std::string fields;
  for (int i = 0; i < kFields; ++i) fields += "a:\r\n";
  return fields;
}

TEST_CASE("heads of many fields that wait for their bodies") {
  for (const std::string& path : DoorPaths()) {
    CAPTURE(path);
    CrowdedNode node;
    Crowd crowd;
    crowd.Connect(node.front(), kClients);
    crowd.Send(PostHead(path, ShortFields() + "Content-Length: 100\r\n"),
               kPiece);
    node.CheckServes();
  }
}

TEST_CASE("heads of many fields that do not end") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  const std::string head = PostHead(DoorPaths().front(), ShortFields());
  crowd.Send(head.substr(0, head.size() - 3), kPiece);
  node.CheckServes();
}

}  // namespace
}  // namespace mangospread::testing
