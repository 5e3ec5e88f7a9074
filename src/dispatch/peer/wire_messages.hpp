/// @file
/// Conversion of the commands to agents and of their events.
#pragma once

#include "dispatch/model/messages.hpp"
#include "dispatch/peer/schema/dispatch.capnp.h"
#include "mangospread/error.hpp"

namespace mangospread::dispatch::detail {

void Put(wire::Order::Builder out, const AgentCommand& command);
/// @errors kMalformed.
[[nodiscard]] Result<AgentCommand> Get(wire::Order::Reader in);

void Put(wire::Event::Builder out, const AgentEvent& event);
/// Throws kj::Exception for an event of an unknown kind.
[[nodiscard]] AgentEvent Get(wire::Event::Reader in);

}  // namespace mangospread::dispatch::detail
