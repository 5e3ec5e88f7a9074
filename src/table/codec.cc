#include "table/codec.hpp"

#include <nlohmann/json.hpp>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::table {
namespace {

using nlohmann::json;

std::string StringField(const json& object, const char* field) {
  const auto it = object.find(field);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::uint64_t UnsignedField(const json& object, const char* field) {
  const auto it = object.find(field);
  return it != object.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

/// The array in `field`, or an empty one if there is none.
const json& ArrayField(const json& object, const char* field) {
  static const json kEmpty = json::array();
  if (!object.is_object()) return kEmpty;
  const auto it = object.find(field);
  return it != object.end() && it->is_array() ? *it : kEmpty;
}

Result<json> ParseObject(std::string_view text, const char* subject) {
  auto parsed = base::ParseJson(text, subject);
  if (!parsed.ok()) return parsed;
  if (!parsed.value().is_object()) return Error{Errc::kMalformed, subject};
  return parsed;
}

}  // namespace

std::string EncodeRead(const ReadRequest& request) {
  json ranges = json::array();
  for (const auto& range : request.ranges) {
    ranges.push_back({{"prefix", range.prefix},
                      {"after", range.after},
                      {"limit", range.limit}});
  }
  return base::DumpJson(
      json{{"keys", request.keys}, {"ranges", std::move(ranges)}});
}

Result<ReadRequest> DecodeRead(std::string_view text) {
  const auto parsed = ParseObject(text, "read");
  if (!parsed.ok()) return parsed.error();
  ReadRequest request;
  for (const json& key : ArrayField(parsed.value(), "keys")) {
    if (!key.is_string()) return Error{Errc::kMalformed, "read.keys"};
    request.keys.push_back(key.get<std::string>());
  }
  for (const json& range : ArrayField(parsed.value(), "ranges")) {
    if (!range.is_object()) return Error{Errc::kMalformed, "read.ranges"};
    request.ranges.push_back({StringField(range, "prefix"),
                              StringField(range, "after"),
                              UnsignedField(range, "limit")});
  }
  return request;
}

std::string EncodeRows(const std::vector<Row>& rows) {
  json list = json::array();
  for (const Row& row : rows) {
    list.push_back({{"key", row.key},
                    {"value", row.value},
                    {"version", row.version.value()}});
  }
  return base::DumpJson(json{{"rows", std::move(list)}});
}

Result<std::vector<Row>> DecodeRows(std::string_view text) {
  const auto parsed = ParseObject(text, "rows");
  if (!parsed.ok()) return parsed.error();
  // Without the list, nothing is known of the rows; a table without rows sends
  // an empty one.
  const auto list = parsed.value().find("rows");
  if (list == parsed.value().end() || !list->is_array()) {
    return Error{Errc::kMalformed, "rows"};
  }
  std::vector<Row> rows;
  for (const json& row : *list) {
    // Each row has a key, and one that exists has a version above 0.
    if (!row.is_object() || StringField(row, "key").empty() ||
        UnsignedField(row, "version") == 0) {
      return Error{Errc::kMalformed, "rows"};
    }
    rows.push_back({StringField(row, "key"), StringField(row, "value"),
                    RowVersion(UnsignedField(row, "version"))});
  }
  return rows;
}

std::string EncodeTransaction(const Transaction& transaction) {
  json conditions = json::array();
  for (const Condition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version.value()}});
  }
  json writes = json::array();
  for (const Write& write : transaction.writes) {
    if (write.value) {
      writes.push_back({{"key", write.key}, {"value", *write.value}});
    } else {
      writes.push_back({{"key", write.key}, {"delete", true}});
    }
  }
  return base::DumpJson(json{{"conditions", std::move(conditions)},
                             {"writes", std::move(writes)}});
}

Result<Transaction> DecodeTransaction(std::string_view text) {
  const auto parsed = ParseObject(text, "transaction");
  if (!parsed.ok()) return parsed.error();
  Transaction transaction;
  for (const json& condition : ArrayField(parsed.value(), "conditions")) {
    if (!condition.is_object()) {
      return Error{Errc::kMalformed, "transaction.conditions"};
    }
    transaction.conditions.push_back(
        {StringField(condition, "key"),
         RowVersion(UnsignedField(condition, "version"))});
  }
  for (const json& write : ArrayField(parsed.value(), "writes")) {
    if (!write.is_object()) {
      return Error{Errc::kMalformed, "transaction.writes"};
    }
    Write decoded{StringField(write, "key"), std::nullopt};
    if (write.contains("value")) decoded.value = StringField(write, "value");
    transaction.writes.push_back(std::move(decoded));
  }
  return transaction;
}

std::string EncodeResult(const TransactResult& result) {
  const bool committed = result.status == TransactResult::Status::kCommitted;
  return base::DumpJson(json{{"committed", committed},
                             {"failed_keys", result.failed_keys},
                             {"version", result.version.value()}});
}

Result<TransactResult> DecodeResult(std::string_view text) {
  const auto parsed = ParseObject(text, "result");
  if (!parsed.ok()) return parsed.error();
  const json& object = parsed.value();
  const auto committed = object.find("committed");
  if (committed == object.end() || !committed->is_boolean()) {
    return Error{Errc::kMalformed, "result.committed"};
  }
  TransactResult result;
  result.status = committed->get<bool>() ? TransactResult::Status::kCommitted
                                         : TransactResult::Status::kConflict;
  result.version = RowVersion(UnsignedField(object, "version"));
  for (const json& key : ArrayField(object, "failed_keys")) {
    if (key.is_string()) result.failed_keys.push_back(key.get<std::string>());
  }
  return result;
}

}  // namespace mangospread::table
