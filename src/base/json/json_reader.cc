#include "base/json/json_reader.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace mangospread::base {

using nlohmann::json;

namespace {

/// True if the nesting of a document exceeds kMaxJsonDepth. The scan agrees
/// with the parser up to the first syntax error, where the parser stops.
bool IsTooDeep(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace

Result<json> ParseJson(std::string_view text, std::string_view subject) {
  if (IsTooDeep(text)) return Error{Errc::kMalformed, std::string(subject)};
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return Error{Errc::kMalformed, std::string(subject)};
  }
  return parsed;
}

ObjectReader::ObjectReader(const json& json, std::string path)
    : json_(json), path_(std::move(path)) {
  if (!json_.is_object()) error_ = Error{Errc::kMalformed, path_};
}

void ObjectReader::Fail(Errc code, const char* field) {
  if (!error_) error_ = Error{code, path_ + "." + field};
}

const json* ObjectReader::Find(const char* field, Presence presence) {
  if (!json_.is_object()) return nullptr;
  read_fields_.insert(field);
  const auto it = json_.find(field);
  if (it != json_.end()) return &*it;
  if (presence == Presence::kRequired) Fail(Errc::kMissingField, field);
  return nullptr;
}

std::optional<std::int64_t> ObjectReader::ReadInteger(const char* field,
                                                      std::int64_t min,
                                                      std::int64_t max,
                                                      Presence presence) {
  const json* value = Find(field, presence);
  if (value == nullptr) return std::nullopt;
  if (!value->is_number_integer()) {
    Fail(Errc::kMalformed, field);
    return std::nullopt;
  }
  const bool too_big =
      value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
  const std::int64_t number = too_big ? 0 : value->get<std::int64_t>();
  if (too_big || number < min || number > max) {
    Fail(Errc::kOutOfRange, field);
    return std::nullopt;
  }
  return number;
}

void ObjectReader::Number(const char* field, double min, double max,
                          double& out) {
  const json* value = Find(field, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_number()) return Fail(Errc::kMalformed, field);
  const double number = value->get<double>();
  if (!(number >= min && number <= max)) {
    return Fail(Errc::kOutOfRange, field);
  }
  out = number;
}

void ObjectReader::Boolean(const char* field, bool& out) {
  const json* value = Find(field, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_boolean()) return Fail(Errc::kMalformed, field);
  out = value->get<bool>();
}

void ObjectReader::String(const char* field, std::size_t max_size,
                          std::string& out, Presence presence) {
  const json* value = Find(field, presence);
  if (value == nullptr) return;
  if (!value->is_string()) return Fail(Errc::kMalformed, field);
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > max_size) return Fail(Errc::kTooLarge, field);
  if (text.empty() && presence == Presence::kRequired) {
    return Fail(Errc::kMissingField, field);
  }
  out = text;
}

void ObjectReader::Strings(const char* field, std::size_t max_count,
                           std::vector<std::string>& out) {
  const json* value = Find(field, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_array()) return Fail(Errc::kMalformed, field);
  if (value->size() > max_count) return Fail(Errc::kTooLarge, field);
  std::vector<std::string> strings;
  for (const json& element : *value) {
    if (!element.is_string()) return Fail(Errc::kMalformed, field);
    strings.push_back(element.get<std::string>());
  }
  out = std::move(strings);
}

std::optional<Error> ObjectReader::Finish() {
  if (error_ || !json_.is_object()) return error_;
  for (const auto& [field, value] : json_.items()) {
    if (!read_fields_.contains(field)) {
      return Error{Errc::kUnknownField, path_ + "." + field};
    }
  }
  return std::nullopt;
}

}  // namespace mangospread::base
