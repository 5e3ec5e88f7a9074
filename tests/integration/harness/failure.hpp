/// @file
/// State of the checks of this test run.
#pragma once

namespace mangospread::testing {

/// True if a check has failed or a test case has thrown in this process.
[[nodiscard]] bool AnyCheckFailed();

}  // namespace mangospread::testing
