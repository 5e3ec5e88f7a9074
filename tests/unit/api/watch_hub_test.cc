#include "api/watch_hub.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "unit/run_until.hpp"

namespace mangospread::api {
namespace {

using nlohmann::json;

/// A client that opens a watch after `since` and collects its lines.
class WatchClient {
 public:
  WatchClient(const Address& address, std::uint64_t since)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) ==
            0);
    const std::string request =
        "GET /" + std::to_string(since) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(write(fd_, request.data(), request.size()) ==
            static_cast<ssize_t>(request.size()));
  }
  ~WatchClient() { close(fd_); }
  WatchClient(const WatchClient&) = delete;
  WatchClient& operator=(const WatchClient&) = delete;

  /// The JSON lines received so far, without heartbeats.
  std::vector<json> Lines() {
    char buffer[65'536];  // NOLINT
    for (ssize_t n = 1; n > 0;) {
      n = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (n > 0) received_.append(buffer, static_cast<std::size_t>(n));
    }
    std::vector<json> lines;
    std::istringstream text(received_);
    for (std::string line; std::getline(text, line);) {
      json parsed = json::parse(line, nullptr, false);
      if (!parsed.is_object() || parsed.at("type") == "heartbeat") continue;
      lines.push_back(std::move(parsed));
    }
    return lines;
  }

 private:
  int fd_;
  std::string received_;
};

struct Fixture {
  Fixture() {
    const auto bound = server.Listen({"127.0.0.1", 0});
    REQUIRE(bound.ok());
    address = bound.value();
  }

  /// Names in the opposite order of their revisions.
  void InstallSnapshot() {
    store.InstallSnapshot(
        Revision(9),
        {MakeResource("a", 9), MakeResource("b", 5), MakeResource("c", 2)});
  }
  static Resource MakeResource(const std::string& name,
                               std::uint64_t revision) {
    return {{ResourceKind::kTeam, name}, "{}", Revision(revision)};
  }
  /// Waits for this number of lines on the watch and returns them.
  std::vector<json> Wait(WatchClient& client, std::size_t count) {
    test::RunUntil(loop, [&] { return client.Lines().size() >= count; });
    return client.Lines();
  }

  base::EventLoop loop;
  config::Store store;
  WatchHub hub{loop, store, {}};
  net::HttpServer server{
      loop, {}, [this](std::shared_ptr<net::HttpExchange> exchange) {
        const Revision since(std::stoull(exchange->request().target.substr(1)));
        hub.Open(std::move(exchange), since);
      }};
  Address address;
};

std::vector<std::string> Types(const std::vector<json>& lines) {
  std::vector<std::string> types;
  types.reserve(lines.size());
  for (const json& line : lines) types.push_back(line.at("type"));
  return types;
}

// Guards against a client that takes a part of a snapshot for all resources,
// since it is not told when a snapshot on its open watch is complete.
TEST_CASE("a snapshot on an open watch ends with a synced line") {
  Fixture fixture;
  fixture.store.InstallSnapshot(Revision(1), {});
  WatchClient client(fixture.address, 1);
  fixture.Wait(client, 1);
  fixture.InstallSnapshot();
  fixture.store.Install(
      {Revision(10), {ResourceKind::kTeam, "d"}, false, "{}"});
  const std::vector<json> lines = fixture.Wait(client, 7);
  CHECK(Types(lines) == std::vector<std::string>{"synced", "reset", "changed",
                                                 "changed", "changed", "synced",
                                                 "changed"});
  CHECK(lines.at(5).at("revision") == 9);
}

// Guards against resources that a client never receives because its connection
// ended within a snapshot and it resumed from the last line.
TEST_CASE("a watch can be resumed from every line of a snapshot") {
  Fixture fixture;
  fixture.InstallSnapshot();
  WatchClient first(fixture.address, 1);
  const std::vector<json> lines = fixture.Wait(first, 5);
  REQUIRE(Types(lines) == std::vector<std::string>{"reset", "changed",
                                                   "changed", "changed",
                                                   "synced"});
  for (std::size_t last = 0; last < lines.size(); ++last) {
    INFO("resumed after line ", last);
    WatchClient next(fixture.address,
                     lines[last].at("revision").get<std::uint64_t>());
    test::RunUntil(fixture.loop, [&] {
      const auto received = next.Lines();
      return !received.empty() && received.back().at("type") == "synced";
    });
    std::vector<json> all(
        lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(last + 1));
    for (const json& line : next.Lines()) all.push_back(line);
    std::set<std::string> names;
    for (const json& line : all) {
      if (line.at("type") == "reset") names.clear();
      if (line.at("type") == "changed") names.insert(line.at("name"));
    }
    CHECK(names == std::set<std::string>{"a", "b", "c"});
  }
}

}  // namespace
}  // namespace mangospread::api
