/// @file
/// Waiting for conditions.
#pragma once

#include <functional>
#include <string>

#include "mangospread/units.hpp"

namespace mangospread::testing {

/// Generous: a loaded machine must not fail a test.
inline constexpr Milliseconds kWaitDeadline{30'000};

/// Calls `condition` until it holds. Fails the test case, with `description`,
/// and with the processes that ended unexpectedly, when it does not hold by the
/// deadline.
void WaitUntil(const std::string& description, Milliseconds deadline,
               const std::function<bool()>& condition);

}  // namespace mangospread::testing
