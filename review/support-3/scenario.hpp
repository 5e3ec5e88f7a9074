/// @file
/// Parts that several cases share.
#pragma once

#include <string>

#include "world.hpp"

namespace review {

inline constexpr const char* kPrefix = "/orders/";
inline constexpr const char* kQueue = "orders";

/// A configuration with one queue and one service.
inline json Config(bool admission_check) {
  return {
      {"version", 3},
      {"routes", json::array({{{"name", kQueue},
                               {"host", "shop.example"},
                               {"prefix", kPrefix},
                               {"kind", "unsafe"},
                               {"timeout-ms", 3'000},
                               {"target-latency-ms", 1'000},
                               {"priority", 0},
                               {"service", "shop"},
                               {"attempts", 4},
                               {"stretch", 2.0}}})},
      {"services", json::array({{{"name", "shop"},
                                 {"health-path", "/health"},
                                 {"max-conns", 64},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"admission-check", admission_check},
                                 {"standby", false}}})},
      {"limits", {{"max-body-bytes", 262'144}, {"max-header-bytes", 8'192}}}};
}

/// The N-th submission's ID.
inline std::string IdOf(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0x5c0e7a20 + number);
  return text;
}

inline WorkerOptions WorkerNumber(int number) {
  WorkerOptions options;
  options.id = "i-" + std::to_string(100 + number);
  options.zone = number % 2 == 0 ? "zone-a" : "zone-b";
  options.labels = {"a", "r" + std::to_string(1 + number / 4)};
  return options;
}

}  // namespace review
