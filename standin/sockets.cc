#include "sockets.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mangospread::standin {

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
