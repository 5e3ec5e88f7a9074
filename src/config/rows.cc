#include "config/rows.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::config {
namespace {

using base::ObjectReader;
using base::Presence;
using nlohmann::json;

constexpr std::size_t kRevisionDigits = 20;
constexpr std::size_t kMaxSpecBytes = 128 * 1024;

}  // namespace

std::string ResourceRowKey(const ResourceKey& key) {
  return kResourcePrefix + std::string(ResourceKindName(key.kind)) + "/" +
         key.name;
}

std::string LogRowKey(Revision revision) {
  std::string digits = std::to_string(revision.value());
  digits.insert(0, kRevisionDigits - digits.size(), '0');
  return kLogPrefix + digits;
}

std::string EncodeResource(const Resource& resource) {
  return base::DumpJson(
      json{{"revision", resource.revision.value()}, {"spec", resource.spec}});
}

Result<Resource> DecodeResource(const Row& row) {
  const std::string_view key = row.key;
  const auto name_separator = key.rfind('/');
  const auto kind_begin = std::string_view(kResourcePrefix).size();
  if (name_separator == std::string_view::npos || name_separator < kind_begin) {
    return Error{Errc::kMalformed, row.key};
  }
  const auto kind =
      ParseResourceKind(key.substr(kind_begin, name_separator - kind_begin));
  auto parsed = base::ParseJson(row.value, row.key);
  if (!kind.ok() || !parsed.ok()) return Error{Errc::kMalformed, row.key};
  Resource resource;
  resource.key = {kind.value(), std::string(key.substr(name_separator + 1))};
  std::uint64_t revision = 0;
  ObjectReader reader(parsed.value(), row.key);
  reader.Integer("revision", 1, INT64_MAX, revision, Presence::kRequired);
  reader.String("spec", kMaxSpecBytes, resource.spec, Presence::kRequired);
  if (auto error = reader.Finish()) return *error;
  resource.revision = Revision(revision);
  return resource;
}

std::string EncodeChange(const Change& change) {
  return base::DumpJson(json{{"kind", ResourceKindName(change.key.kind)},
                             {"name", change.key.name},
                             {"deleted", change.deleted},
                             {"spec", change.spec}});
}

Result<Change> DecodeChange(const Row& row) {
  const std::string_view prefix = kLogPrefix;
  const std::string_view digits =
      std::string_view(row.key).substr(std::min(prefix.size(), row.key.size()));
  std::uint64_t revision = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), revision);
  auto parsed = base::ParseJson(row.value, row.key);
  if (ec != std::errc() || !parsed.ok()) {
    return Error{Errc::kMalformed, row.key};
  }
  Change change;
  change.revision = Revision(revision);
  std::string kind;
  ObjectReader reader(parsed.value(), row.key);
  reader.String("kind", 16, kind, Presence::kRequired);
  reader.String("name", 64, change.key.name, Presence::kRequired);
  reader.Boolean("deleted", change.deleted);
  reader.String("spec", kMaxSpecBytes, change.spec);
  if (auto error = reader.Finish()) return *error;
  const auto parsed_kind = ParseResourceKind(kind);
  if (!parsed_kind.ok()) return Error{Errc::kMalformed, row.key};
  change.key.kind = parsed_kind.value();
  return change;
}

Result<Revision> DecodeRevision(const Row* row) {
  if (row == nullptr) return Revision();
  std::uint64_t value = 0;
  const char* last = row->value.data() + row->value.size();
  const auto [end, ec] = std::from_chars(row->value.data(), last, value);
  if (ec != std::errc() || end != last) {
    return Error{Errc::kMalformed, kRevisionKey};
  }
  return Revision(value);
}

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  const auto it = std::find_if(rows.begin(), rows.end(), [key](const Row& row) {
    return row.key == key;
  });
  return it == rows.end() ? nullptr : &*it;
}

}  // namespace mangospread::config
