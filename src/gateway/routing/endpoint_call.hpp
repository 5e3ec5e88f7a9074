/// @file
/// Sends a request to an endpoint on an owned worker.
#pragma once

#include <functional>
#include <memory>

#include "gateway/routing/router.hpp"
#include "mangospread/outcome.hpp"
#include "ownership/owned_worker.hpp"
#include "rpc/messages.hpp"

namespace mangospread::gateway {

/// Header fields of requests and responses between callers and the system.
inline constexpr char kOutcomeHeader[] = "Mangospread-Outcome";
inline constexpr char kReasonHeader[] = "Mangospread-Reason";
inline constexpr char kTimeoutHeader[] = "Mangospread-Timeout-Ms";
inline constexpr char kIdempotentHeader[] = "Mangospread-Idempotent";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// "true" on a stored response of an earlier request with the same key.
inline constexpr char kReplayedHeader[] = "Mangospread-Replayed";

/// Occupies a slot of the worker and sends the request once. The slot is
/// released when the request has certainly ended, and kept occupied if it may
/// still be running.
///
/// @param done called once with the outcome.
/// @return false, without calling `done`, when there is no free slot.
[[nodiscard]] bool SendToEndpoint(
    Router& router, const std::shared_ptr<ownership::OwnedWorker>& worker,
    const rpc::ForwardRequest& request,
    std::function<void(rpc::ForwardReply)> done);

}  // namespace mangospread::gateway
