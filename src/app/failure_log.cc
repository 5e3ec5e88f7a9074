#include "app/failure_log.hpp"

#include "base/events.hpp"

namespace mangospread::app {

void LogInvalidSetting(const Error& error) {
  base::Log(base::Event::kSettingsInvalid,
            {{"setting", error.subject}, {"error", ErrcName(error.code)}});
}

void LogStartFailure(const Error& error) {
  base::Log(base::Event::kChildFailed,
            {{"error", ErrcName(error.code)}, {"subject", error.subject}});
}

}  // namespace mangospread::app
