/// @file
/// Transfer of message bodies to and from libevent buffers.
#pragma once

#include "net/http_message.hpp"

struct evbuffer;

namespace mangospread::net {

/// Removes all bytes from the buffer and returns them.
[[nodiscard]] Body TakeBody(evbuffer* input);

/// Appends the body. A large body is not copied: the buffer refers to its bytes
/// until they are written or discarded.
void AddBody(evbuffer* output, const Body& body);

}  // namespace mangospread::net
