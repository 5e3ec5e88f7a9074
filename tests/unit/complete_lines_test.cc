#include <doctest/doctest.h>

#include <sstream>

#include "integration/harness/checks/lines.hpp"

namespace mangospread::testing {
namespace {

std::vector<std::string> Read(const std::string& text) {
  std::istringstream input(text);
  return ReadCompleteLines(input);
}

// Guards against a check that parses the first part of a line which another
// process is writing.
TEST_CASE("a line without a line end is not read") {
  CHECK(Read("").empty());
  CHECK(Read("{\"event\":\"st").empty());
  CHECK(Read("a\nb\n") == std::vector<std::string>{"a", "b"});
  CHECK(Read("a\n\nb\nhalf") == std::vector<std::string>{"a", "", "b"});
}

}  // namespace
}  // namespace mangospread::testing
