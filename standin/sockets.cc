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

/// Inode of the loopback socket with these ports, empty when there is none.
std::string SocketInode(unsigned local_port, unsigned remote_port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned local = 0;
    unsigned remote = 0;
    constexpr int kDigits = 20;
    char inode[kDigits + 1] = "";
    // sl, local, remote, state, queues, timer, retransmits, uid, timeout,
    // inode.
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
  sockaddr_in here{};
  sockaddr_in there{};
  socklen_t here_size = sizeof(here);
  socklen_t there_size = sizeof(there);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&here), &here_size) != 0 ||
      getpeername(fd, reinterpret_cast<sockaddr*>(&there), &there_size) != 0) {
    return false;
  }
  const std::string inode =
      SocketInode(ntohs(there.sin_port), ntohs(here.sin_port));
  if (inode.empty()) return false;
  const std::string wanted = "socket:[" + inode + "]";
  std::error_code error;
  std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd",
                                         error);
  for (; !error && it != std::filesystem::directory_iterator();
       it.increment(error)) {
    std::error_code closed;
    if (std::filesystem::read_symlink(it->path(), closed) == wanted) {
      return true;
    }
  }
  return false;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
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
