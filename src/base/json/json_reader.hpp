/// @file
/// Strict reading of JSON objects: every field has a name, a type and bounds,
/// and the first error is kept with the path of its field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangospread/error.hpp"

namespace mangospread::base {

/// Deepest nesting of arrays and objects in a document. Copying and writing a
/// document recurse, so an unbounded depth could exhaust the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Parses a JSON document that is nested at most kMaxJsonDepth deep.
/// @errors kMalformed with `subject` as the subject of the error.
[[nodiscard]] Result<nlohmann::json> ParseJson(std::string_view text,
                                               std::string_view subject);

/// Whether the absence of a field is an error.
enum class Presence : unsigned char { kRequired, kOptional };

/// Reads the fields of one object. Getters leave `out` unchanged if the field
/// is absent or invalid; Finish returns the first error or an unknown field.
///
/// @code
/// ObjectReader reader(json, "job");
/// reader.Integer("tasks", 1, 100'000, spec.tasks);
/// if (auto error = reader.Finish()) return *error;
/// @endcode
class ObjectReader {
 public:
  /// @param json must outlive the reader.
  /// @param path of the object; prefix of the subjects of errors.
  ObjectReader(const nlohmann::json& json, std::string path);

  /// Reads an integer between `min` and `max`, both inclusive.
  template <typename Int>
  void Integer(const char* field, std::int64_t min, std::int64_t max, Int& out,
               Presence presence = Presence::kOptional) {
    if (const auto value = ReadInteger(field, min, max, presence)) {
      out = static_cast<Int>(*value);
    }
  }
  /// Reads a number between `min` and `max`, both inclusive.
  void Number(const char* field, double min, double max, double& out);
  void Boolean(const char* field, bool& out);
  /// Reads a text of at most `max_size` bytes; a required one must not be
  /// empty.
  void String(const char* field, std::size_t max_size, std::string& out,
              Presence presence = Presence::kOptional);
  /// Reads an array of at most `max_count` texts.
  void Strings(const char* field, std::size_t max_count,
               std::vector<std::string>& out);

  /// The first error, or kUnknownField for a field that no getter has read.
  [[nodiscard]] std::optional<Error> Finish();

 private:
  const nlohmann::json* Find(const char* field, Presence presence);
  std::optional<std::int64_t> ReadInteger(const char* field, std::int64_t min,
                                          std::int64_t max, Presence presence);
  void Fail(Errc code, const char* field);

  const nlohmann::json& json_;
  std::string path_;
  std::set<std::string> read_fields_;
  std::optional<Error> error_;
};

}  // namespace mangospread::base
