/// @file
/// Log lines that both forms of the serve command write.
#pragma once

#include "mangospread/error.hpp"

namespace mangospread::app {

/// Logs a setting that is missing or invalid.
void LogInvalidSetting(const Error& error);
/// Logs why the node has not started.
void LogStartFailure(const Error& error);

}  // namespace mangospread::app
