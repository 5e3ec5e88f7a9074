#include "sockets.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace mangospread::standin {

namespace {

/// Inode of the local TCP socket with these ports; empty if there is none.
std::string SocketInode(unsigned local_port, unsigned remote_port) {
  std::ifstream tcp_table("/proc/net/tcp");
  std::string line;
  std::getline(tcp_table, line);
  while (std::getline(tcp_table, line)) {
    unsigned local = 0;
    unsigned remote = 0;
    constexpr int kInodeDigits = 20;
    char inode[kInodeDigits + 1] = "";
    // Columns: sl, local, remote, state, queues, timer, retransmits, uid,
    // timeout, inode.
    constexpr char kFormat[] =
        " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*u %*u %20[0-9]";
    if (std::sscanf(line.c_str(), kFormat, &local, &remote, inode) == 3 &&
        local == local_port && remote == remote_port) {
      return inode;
    }
  }
  return "";
}

}  // namespace

bool IsFromProcess(int fd, int pid) {
  sockaddr_in local{};
  sockaddr_in peer{};
  socklen_t local_size = sizeof(local);
  socklen_t peer_size = sizeof(peer);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size) != 0 ||
      getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) {
    return false;
  }
  const std::string inode =
      SocketInode(ntohs(peer.sin_port), ntohs(local.sin_port));
  if (inode.empty()) return false;
  const std::string socket_link = "socket:[" + inode + "]";
  std::error_code error;
  std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd",
                                         error);
  for (; !error && it != std::filesystem::directory_iterator();
       it.increment(error)) {
    std::error_code link_error;
    if (std::filesystem::read_symlink(it->path(), link_error) == socket_link) {
      return true;
    }
  }
  return false;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

evconnlistener* ListenOn(base::EventLoop& loop, const Address& address,
                         evconnlistener_cb accept, void* arg) {
  sockaddr_in bound = ToSocketAddress(address);
  constexpr int kBacklog = 512;
  return evconnlistener_new_bind(
      loop.raw(), accept, arg, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      kBacklog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
}

Address BoundAddress(evconnlistener* listener, const Address& address) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return {address.ip, ntohs(bound.sin_port)};
}

}  // namespace mangospread::standin
