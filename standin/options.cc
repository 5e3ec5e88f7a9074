#include "options.hpp"

#include <cstdlib>

namespace mangospread::standin {

Options::Options(const std::vector<std::string>& arguments) {
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    if (arguments[i].starts_with("--")) {
      values_[arguments[i].substr(2)] = arguments[i + 1];
    }
  }
}

std::string Options::Text(const std::string& name,
                          const std::string& fallback) const {
  const auto it = values_.find(name);
  return it == values_.end() ? fallback : it->second;
}

int Options::Number(const std::string& name, int fallback) const {
  const auto it = values_.find(name);
  return it == values_.end() ? fallback : std::atoi(it->second.c_str());
}

}  // namespace mangospread::standin
