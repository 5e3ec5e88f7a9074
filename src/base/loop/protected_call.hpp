/// @file
/// Boundary between callbacks of this program and the C code of libevent.
#pragma once

#include <exception>
#include <string_view>
#include <utility>

namespace mangospread::base {

/// Logs an exception that left a callback.
void LogDroppedException(std::string_view source,
                         const std::exception& error) noexcept;

/// Calls `fn`. An exception that leaves it is logged and dropped, and with it
/// the rest of this one message or timer: it must not unwind through the frames
/// of libevent, and it would end the process. Exceptions that are not derived
/// from std::exception are those of test frameworks and pass.
/// @param source what called back, for the log.
template <typename Fn>
void CallProtected(std::string_view source, Fn&& fn) {
  try {
    std::forward<Fn>(fn)();
  } catch (const std::exception& error) {
    LogDroppedException(source, error);
  }
}

}  // namespace mangospread::base
