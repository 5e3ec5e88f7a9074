#include "base/loop/protected_call.hpp"

#include "base/events.hpp"

namespace mangospread::base {

void LogDroppedException(std::string_view source,
                         const std::exception& error) noexcept {
  try {
    Log(Event::kExceptionDropped,
        {{"source", source}, {"error", std::string_view(error.what())}});
  } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
    // Without memory for the log line, only the line is lost.
  }
}

}  // namespace mangospread::base
