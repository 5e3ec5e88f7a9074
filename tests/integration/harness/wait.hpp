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
/// @throws std::runtime_error if it is still false after `timeout`. The message
/// contains `description` and the child processes that ended unexpectedly.
void WaitUntil(const std::string& description, Milliseconds timeout,
               const std::function<bool()>& condition);

}  // namespace mangospread::testing
