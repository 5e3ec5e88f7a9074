// Settings files with unexpected content.
#include "platform/settings.hpp"

#include <doctest/doctest.h>

#include <string>

namespace mangospread::platform {
namespace {

// Guards against an undefined conversion of a duration in the settings.
TEST_CASE("durations out of range in the settings have no effect") {
  const auto parse = [](const std::string& bounds) {
    return ParseSettings(
        "node = \"n\"\nip = \"127.0.0.1\"\nzone = \"z\"\n"
        "port-range = [1, 2]\n[listen]\nfront = \"127.0.0.1:1\"\n"
        "ready = \"127.0.0.1:2\"\n[platform]\naddr = \"127.0.0.1:3\"\n" +
        bounds);
  };
  const auto usual = parse("[bounds]\nhold-limit-ms = 5000\ngrace-s = 7.5\n");
  REQUIRE(usual.ok());
  CHECK(usual.value().max_lease == Milliseconds(5'000));
  CHECK(usual.value().stop_grace == Milliseconds(7'500));
  for (const char* value : {"nan", "inf", "-inf", "1e300", "-1", "1e18"}) {
    CAPTURE(std::string(value));
    const std::string number(value);
    std::string bounds = "[limits]\ncpu-share = ";
    bounds += number;
    bounds += "\n[bounds]\nhold-limit-ms = ";
    bounds += number;
    bounds += "\ngrace-s = ";
    bounds += number;
    const auto settings = parse(bounds);
    REQUIRE(settings.ok());
    CHECK(settings.value().max_lease == ManagedSettings().max_lease);
    CHECK(settings.value().stop_grace == ManagedSettings().stop_grace);
    CHECK(settings.value().cpu_share == 1.0);
  }
}

// Guards against a settings file that is read while it is written, or that has
// another content, and ends the process instead of being ignored.
TEST_CASE("malformed settings files are rejected") {
  const std::string valid =
      "node = \"n\"\nip = \"127.0.0.1\"\nzone = \"z\"\n"
      "port-range = [1, 2]\n[platform]\naddr = \"127.0.0.1:3\"\n"
      "[listen]\nfront = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"";
  REQUIRE(ParseSettings(valid).ok());
  for (std::size_t size = 0; size < valid.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(ParseSettings(valid.substr(0, size)).ok());
    (void)ParseSettings(valid.substr(size)).ok();
    for (const char c : {'\0', '[', ']', '=', '.', '"', '?', '\xff', '{'}) {
      std::string changed = valid;
      changed[size] = c;
      (void)ParseSettings(changed).ok();
      (void)ParseSettings(changed.substr(0, size + 1)).ok();
    }
  }
  for (const char* text : {"[?]", "[[[[", "[=]", "a.?=1", "a.=1", "=", "[a.]",
                           "[[a]", "[a.?]", "a = [[[[[[[[", "\xff\xfe"}) {
    CAPTURE(std::string(text));
    CHECK_FALSE(ParseSettings(text).ok());
  }
  CHECK_FALSE(ParseSettings("a = " + std::string(100'000, '[')).ok());
  std::string tables = "a = ";
  for (int i = 0; i < 100'000; ++i) tables += "{a=";
  CHECK_FALSE(ParseSettings(tables).ok());
}

}  // namespace
}  // namespace mangospread::platform
