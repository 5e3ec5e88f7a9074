/// @file
/// Random changes of valid input, for tests of decoders.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace mangospread::test {

/// Applies one to eight random edits: replaces a byte, inserts one, deletes or
/// duplicates a few bytes, or inserts a token that parsers treat specially.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    const auto edits = 1 + random_() % 8;
    for (std::uint64_t i = 0; i < edits; ++i) Edit(text);
    return text;
  }

 private:
  void Edit(std::string& text) {
    static const std::vector<std::string> kTokens = {
        "null",     "-1",    "1e999", "18446744073709551616",
        "{}",       "[]",    "\"\"",  "\\u0000",
        "\xff\xfe", "true",  ":",     ",",
        "{\"a\":",  "[[[[[["};
    const std::size_t position = text.empty() ? 0 : random_() % text.size();
    switch (random_() % 5) {
      case 0:
        if (!text.empty()) text[position] = static_cast<char>(random_());
        return;
      case 1:
        text.insert(position, 1, static_cast<char>(random_()));
        return;
      case 2:
        text.erase(position, 1 + random_() % 8);
        return;
      case 3:
        text.insert(position, text.substr(position, random_() % 16));
        return;
      default:
        text.insert(position, kTokens[random_() % kTokens.size()]);
        return;
    }
  }

  std::mt19937_64 random_;
};

/// Replaces, removes, copies or nests random values of a JSON document.
class JsonMutator {
 public:
  explicit JsonMutator(std::uint64_t seed) : random_(seed) {}

  nlohmann::json Mutate(nlohmann::json document) {
    const auto edits = 1 + random_() % 3;
    for (std::uint64_t i = 0; i < edits; ++i) Edit(document);
    return document;
  }

 private:
  static void Collect(nlohmann::json& value,
                      std::vector<nlohmann::json*>& values) {
    values.push_back(&value);
    for (auto& child : value) {
      if (value.is_structured()) Collect(child, values);
    }
  }

  nlohmann::json OddValue() {
    static const std::vector<nlohmann::json> kValues = {
        nullptr,
        true,
        0,
        -1,
        1,
        0.5,
        -0.0,
        1e18,
        1e30,
        -1e30,
        1e308,
        65'536,
        2'147'483'647,
        2'147'483'648,
        4'294'967'296,
        INT64_MIN,
        INT64_MAX,
        UINT64_MAX,
        "",
        "x",
        "1e400",
        "127.0.0.1:0",
        "a.2147483647.2147483647.2147483647",
        std::string("\0", 1),
        std::string(5'000, 'x'),
        nlohmann::json::array(),
        nlohmann::json::object(),
        nlohmann::json::array({nullptr, -1, "x"}),
        {{"cpu", -1}, {"count", 1e30}}};
    return kValues[random_() % kValues.size()];
  }

  void Edit(nlohmann::json& document) {
    std::vector<nlohmann::json*> values;
    Collect(document, values);
    nlohmann::json& value = *values[random_() % values.size()];
    switch (random_() % 5) {
      case 0:
        if (value.is_object() && !value.empty()) {
          auto it = value.begin();
          std::advance(it,
                       static_cast<std::ptrdiff_t>(random_() % value.size()));
          value.erase(it);
        } else if (value.is_array() && !value.empty()) {
          value.erase(random_() % value.size());
        }
        return;
      case 1:
        if (value.is_array() && !value.empty()) {
          value.push_back(nlohmann::json(value[random_() % value.size()]));
          return;
        }
        [[fallthrough]];
      case 2: {
        nlohmann::json nested = nlohmann::json::array();
        nested.push_back(std::move(value));
        value = std::move(nested);
        return;
      }
      default:
        value = OddValue();
    }
  }

  std::mt19937_64 random_;
};

}  // namespace mangospread::test
