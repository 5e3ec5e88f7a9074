/// @file
/// Socket helpers of the stand-ins that do without evhttp.
#pragma once

#include <event2/listener.h>
#include <netinet/in.h>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"

namespace mangospread::standin {

[[nodiscard]] sockaddr_in ToSocketAddress(const Address& address);

/// Small writes must not wait for an acknowledgement.
void SetNoDelay(int fd);

/// True if the other end of the connection is a socket of the local process.
[[nodiscard]] bool IsFromProcess(int fd, int pid);

/// @return null when the address is in use.
[[nodiscard]] evconnlistener* ListenOn(base::EventLoop& loop,
                                       const Address& address,
                                       evconnlistener_cb accept, void* arg);

/// `address` with the port that the listener was given.
[[nodiscard]] Address BoundAddress(evconnlistener* listener,
                                   const Address& address);

}  // namespace mangospread::standin
