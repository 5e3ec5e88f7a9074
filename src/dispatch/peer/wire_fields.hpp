/// @file
/// Conversion of the values that several frames contain.
#pragma once

#include <capnp/common.h>
#include <capnp/list.h>
#include <kj/debug.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/capnp_text.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/peer/schema/dispatch.capnp.h"

namespace mangospread::dispatch::detail {

/// Converts a number to an enumerator. Throws kj::Exception for a number beyond
/// the last one, which a damaged frame may contain.
template <typename Enum>
[[nodiscard]] Enum ToEnum(std::uint8_t value, Enum last) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(last), "unknown enumerator");
  return static_cast<Enum>(value);
}

void Put(wire::Traits::Builder out, const RunTraits& traits);
[[nodiscard]] RunTraits Get(wire::Traits::Reader in);
void Put(wire::Ended::Builder out, const EndedRun& end);
[[nodiscard]] EndedRun Get(wire::Ended::Reader in);
void Put(wire::Running::Builder out, const RunningRun& running);
[[nodiscard]] RunningRun Get(wire::Running::Reader in);
void Put(wire::Worker::Builder out, const WorkerInfo& worker);
[[nodiscard]] WorkerInfo Get(wire::Worker::Reader in);
void Put(capnp::List<wire::RunRef>::Builder out,
         const std::vector<RunId>& runs);
[[nodiscard]] std::vector<RunId> Get(capnp::List<wire::RunRef>::Reader in);

/// Value of a field that is negative if the duration is not known.
[[nodiscard]] std::int64_t OptionalToWire(
    const std::optional<Milliseconds>& duration);
[[nodiscard]] std::optional<Milliseconds> OptionalFromWire(
    std::int64_t duration);

}  // namespace mangospread::dispatch::detail
