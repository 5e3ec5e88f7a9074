/// @file
/// Limits the log to errors.
#pragma once

#include "base/events.hpp"

namespace mangospread::dispatch::test {

/// Thousands of leaders' log lines hide the results.
struct QuietLog {
  QuietLog() { base::ConfigureLog(base::Severity::kError, "test"); }
  ~QuietLog() { base::ConfigureLog(base::Severity::kInfo, "test"); }
  QuietLog(const QuietLog&) = delete;
  QuietLog& operator=(const QuietLog&) = delete;
};

}  // namespace mangospread::dispatch::test
