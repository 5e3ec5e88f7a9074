// Guards against a process that ends for lack of memory: many clients send
// bodies of legal size at once and stop just short of their end.
#include <doctest/doctest.h>

#include "integration/harness/crowded_node.hpp"

namespace mangospread::testing {
namespace {

/// The operator's limit of a body.
constexpr std::size_t kBodyBytes = 262'144;
/// Bytes of the body that never come.
constexpr std::size_t kMissingBytes = 100;
/// Together 157 MB, more than the node may use.
constexpr int kClients = 600;
constexpr std::size_t kLargePiece = 65'536;
constexpr std::size_t kSmallPiece = 1'400;

std::string UnfinishedPost(const std::string& path) {
  return PostHead(path,
                  "Content-Length: " + std::to_string(kBodyBytes) + "\r\n") +
         std::string(kBodyBytes - kMissingBytes, ' ');
}

/// The same body in chunks of 4,096 bytes, of which the last is not complete.
std::string UnfinishedChunkedPost(const std::string& path) {
  std::string post = PostHead(path, "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "1000\r\n" + std::string(4'096, ' ') + "\r\n";
  for (std::size_t sent = 0; sent < kBodyBytes; sent += 4'096) post += chunk;
  return post.substr(0, post.size() - kMissingBytes);
}

TEST_CASE("bodies in one piece") {
  for (const std::string& path : DoorPaths()) {
    CAPTURE(path);
    CrowdedNode node;
    Crowd crowd;
    crowd.Connect(node.front(), kClients);
    crowd.Send(UnfinishedPost(path), kLargePiece);
    node.CheckServes();
  }
}

TEST_CASE("bodies in small pieces") {
  CrowdedNode node;
  Crowd crowd;
  crowd.Connect(node.front(), kClients);
  crowd.Send(UnfinishedPost(DoorPaths().front()), kSmallPiece);
  node.CheckServes();
}

TEST_CASE("bodies in chunks") {
  for (const std::string& path : DoorPaths()) {
    CAPTURE(path);
    CrowdedNode node;
    Crowd crowd;
    crowd.Connect(node.front(), kClients);
    crowd.Send(UnfinishedChunkedPost(path), kLargePiece);
    node.CheckServes();
  }
}

}  // namespace
}  // namespace mangospread::testing
