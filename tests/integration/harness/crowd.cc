#include "integration/harness/crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace mangospread::testing {
namespace {

/// The crowd gives up when no connection has taken a byte for this long.
constexpr std::chrono::milliseconds kStalled{500};
constexpr std::chrono::milliseconds kPause{2};

}  // namespace

Crowd::~Crowd() {
  for (const Client& client : clients_) close(client.fd);
}

void Crowd::Connect(const Address& address, int connections) {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
  for (int i = 0; i < connections; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return;
    // A server that is busy closing others may reset the connection at once.
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
        0) {
      close(fd);
      continue;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    clients_.push_back({fd, 0, false});
  }
}

std::size_t Crowd::SendPiece(Client& client, const std::string& bytes,
                             std::size_t piece) {
  if (client.closed || client.sent == bytes.size()) return 0;
  const std::size_t size = std::min(piece, bytes.size() - client.sent);
  const ssize_t taken =
      send(client.fd, bytes.data() + client.sent, size, MSG_NOSIGNAL);
  if (taken < 0) {
    client.closed = errno != EAGAIN && errno != EWOULDBLOCK;
    return 0;
  }
  client.sent += static_cast<std::size_t>(taken);
  return static_cast<std::size_t>(taken);
}

void Crowd::Send(const std::string& bytes, std::size_t piece) {
  for (Client& client : clients_) client.sent = 0;
  auto progress_at = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - progress_at < kStalled) {
    std::size_t taken = 0;
    bool finished = true;
    for (Client& client : clients_) {
      taken += SendPiece(client, bytes, piece);
      finished = finished && (client.closed || client.sent == bytes.size());
    }
    if (finished) return;
    if (taken > 0) {
      progress_at = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

std::size_t PeakMemory(int pid) {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

std::size_t OpenDescriptors(int pid) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(pid) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string PostHead(const std::string& target, const std::string& fields) {
  return "POST " + target + " HTTP/1.1\r\nHost: jobs.example\r\n" + fields +
         "\r\n";
}

}  // namespace mangospread::testing
