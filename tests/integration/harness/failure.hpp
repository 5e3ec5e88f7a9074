/// @file
/// Whether a check of this test run has failed.
#pragma once

namespace mangospread::testing {

[[nodiscard]] bool AnyCheckFailed();

}  // namespace mangospread::testing
