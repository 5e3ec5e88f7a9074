/// @file
/// Polling for conditions.
#pragma once

#include <functional>
#include <string>

#include "mangospread/units.hpp"

namespace mangospread::testing {

/// Long enough that a loaded machine does not fail a test.
inline constexpr Milliseconds kWaitTimeout{30'000};

/// Polls `condition` until it returns true.
/// @param explain describes the state after a timeout; may be null.
/// @throws std::runtime_error if it is still false after `timeout`. The message
/// contains `description`, the child processes that ended unexpectedly and the
/// result of `explain`.
void WaitUntil(const std::string& description, Milliseconds timeout,
               const std::function<bool()>& condition,
               const std::function<std::string()>& explain = nullptr);

}  // namespace mangospread::testing
