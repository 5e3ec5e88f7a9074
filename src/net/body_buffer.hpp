/// @file
/// Bodies in libevent's buffers.
#pragma once

#include "net/http_message.hpp"

struct evbuffer;

namespace mangospread::net {

/// Moves all bytes out of the buffer.
[[nodiscard]] Body TakeBody(evbuffer* input);

/// Appends the body. A large one is not copied: the buffer refers to its bytes
/// until they are written or dropped.
void AddBody(evbuffer* output, const Body& body);

}  // namespace mangospread::net
