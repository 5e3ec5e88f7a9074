/// @file
/// Socket helpers of the stand-ins that do not use evhttp.
#pragma once

#include <event2/listener.h>
#include <netinet/in.h>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"

namespace mangospread::standin {

[[nodiscard]] sockaddr_in ToSocketAddress(const Address& address);

/// Disables Nagle's algorithm, so that small writes do not wait for an
/// acknowledgement.
void SetNoDelay(int fd);

/// True if the peer of the connection is a socket of the local process `pid`.
[[nodiscard]] bool IsFromProcess(int fd, int pid);

/// Listens on an address; `accept` is called with `arg` for each connection.
/// @return null when the address is in use.
[[nodiscard]] evconnlistener* ListenOn(base::EventLoop& loop,
                                       const Address& address,
                                       evconnlistener_cb accept, void* arg);

/// `address` with the port to which the listener is bound.
[[nodiscard]] Address BoundAddress(evconnlistener* listener,
                                   const Address& address);

}  // namespace mangospread::standin
