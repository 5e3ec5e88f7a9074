#include "base/json/json_writer.hpp"

#include <nlohmann/json.hpp>

namespace mangospread::base {

std::string DumpJson(const nlohmann::json& json) {
  constexpr int kCompact = -1;
  return json.dump(kCompact, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

}  // namespace mangospread::base
