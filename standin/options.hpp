/// @file
/// Command-line options of the stand-ins.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace mangospread::standin {

/// Options given as "--name value" pairs.
class Options {
 public:
  explicit Options(const std::vector<std::string>& arguments);

  /// Value of an option, or `fallback` if it is not given.
  [[nodiscard]] std::string Text(const std::string& name,
                                 const std::string& fallback) const;
  [[nodiscard]] int Number(const std::string& name, int fallback) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace mangospread::standin
