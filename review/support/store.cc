#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

/// Limits as the settings and the page on the store name them.
constexpr std::size_t kRowBytes = 65'536;
constexpr std::size_t kCallBytes = 1'000'000;
constexpr std::size_t kCallEntries = 100;
constexpr std::size_t kRowsPerResponse = 500;

/// Times of an answer and of a transaction, as the pages name them.
constexpr std::chrono::milliseconds kAnswerTime(4);
constexpr std::chrono::milliseconds kTransactionTime(6);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8;
      if (i + k < bytes.size()) {
        group |= static_cast<unsigned char>(bytes[i + k]);
      }
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool present = k <= bytes.size() - i;
      text += present ? kDigits[(group >> (18 - 6 * k)) & 63U] : '=';
    }
  }
  return text;
}

std::string Unescape(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexadecimal));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t from = target.find('?');
  while (from != std::string::npos) {
    ++from;
    const std::size_t to = std::min(target.find('&', from), target.size());
    if (target.compare(from, name.size() + 1, name + "=") == 0) {
      from += name.size() + 1;
      return Unescape(target.substr(from, to - from));
    }
    from = target.find('&', from);
  }
  return {};
}

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

Store::Store(Record& record)
    : record_(record),
      server_([this](const Request& request) { return Handle(request); }) {
  server_.Start(0);
}

void Store::Stop() { server_.Stop(); }

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++version_;
  Apply({table, "", key}, EncodeBase64(value));
  changed_.notify_all();
}

int Store::oversized() const {
  const std::lock_guard lock(mutex_);
  return oversized_;
}

void Store::Apply(const RowId& id, const std::optional<std::string>& value) {
  if (value) {
    rows_[id] = {*value, version_};
  } else {
    rows_.erase(id);
  }
  // Nothing follows the other tables.
  const std::string& table = std::get<0>(id);
  if (table == "op" || table == "role" || table == "servers") {
    history_.push_back({id, version_, value});
  }
}

std::optional<Response> Store::Handle(const Request& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  std::this_thread::sleep_for(kAnswerTime);
  if (path == "/mangospread/rows-tx") {
    std::this_thread::sleep_for(kTransactionTime);
    return Transact(request);
  }
  if (path == "/mangospread/rows-get") return Get(request);
  if (path == "/mangospread/rows-feed") return Feed(request);
  return Response{kNotFound, "{}"};
}

Response Store::Transact(const Request& request) {
  const json body = json::parse(request.body);
  const auto id_of = [](const json& row) {
    return RowId{row.at("table"), row.at("part"), row.at("key")};
  };
  const auto encode = [](const RowId& id, const Row& row) {
    return json{{"table", std::get<0>(id)},
                {"part", std::get<1>(id)},
                {"key", std::get<2>(id)},
                {"value", row.value},
                {"ver", row.version}};
  };
  const std::lock_guard lock(mutex_);
  std::size_t entries = 0;
  for (const char* list : {"expect-rev", "puts", "remove"}) {
    entries += body.at(list).size();
  }
  std::string too_large;
  if (entries > kCallEntries) too_large = "entries";
  if (request.body.size() > kCallBytes) too_large = "call";
  for (const json& row : body.at("puts")) {
    const std::size_t bytes =
        row.at("value").get_ref<const std::string&>().size() / 4 * 3;
    if (bytes > kRowBytes + 2) {
      too_large = "row " + row.at("table").get<std::string>() + "/" +
                  row.at("key").get<std::string>() +
                  " bytes=" + std::to_string(bytes);
    }
  }
  if (!too_large.empty()) {
    ++oversized_;
    record_.Add(
        "store refuses a transaction (400): over the limit: " + too_large +
        ", with " + std::to_string(body.at("puts").size()) + " puts");
    return {kBadRequest, R"({"reason":"size"})"};
  }
  bool met = true;
  json current = json::array();
  for (const json& condition : body.at("expect-rev")) {
    const auto it = rows_.find(id_of(condition));
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    met = met && version == condition.at("ver").get<std::uint64_t>();
    if (it != rows_.end()) current.push_back(encode(it->first, it->second));
  }
  if (!met) {
    return {
        kPreconditionFailed,
        json{{"rows", current}, {"ver", version_}, {"now-ms", NowMs()}}.dump()};
  }
  ++version_;
  for (const json& row : body.at("puts")) {
    Apply(id_of(row), row.at("value").get<std::string>());
  }
  for (const json& row : body.at("remove")) Apply(id_of(row), std::nullopt);
  changed_.notify_all();
  return {kOk, json{{"ver", version_}, {"now-ms", NowMs()}}.dump()};
}

Response Store::Get(const Request& request) {
  const std::string table = Parameter(request.target, "table");
  const std::string part = Parameter(request.target, "part");
  const std::string until = Parameter(request.target, "target");
  const std::uint64_t requested = Number(Parameter(request.target, "limit"));
  const std::size_t limit =
      requested == 0 ? kRowsPerResponse
                     : std::min<std::size_t>(requested, kRowsPerResponse);
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  bool more = false;
  std::size_t bytes = 0;
  for (auto it =
           rows_.lower_bound({table, part, Parameter(request.target, "from")});
       it != rows_.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part) break;
    if (!until.empty() && key >= until) break;
    bytes += it->second.value.size();
    if (rows.size() >= limit || (bytes > kCallBytes && !rows.empty())) {
      more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", key},
                    {"value", it->second.value},
                    {"ver", it->second.version}});
  }
  return {kOk, json{{"rows", rows},
                    {"has-more", more},
                    {"ver", version_},
                    {"now-ms", NowMs()}}
                   .dump()};
}

Response Store::Feed(const Request& request) {
  const std::string table = Parameter(request.target, "table");
  const std::uint64_t after = Number(Parameter(request.target, "after"));
  const std::chrono::milliseconds wait(
      Number(Parameter(request.target, "wait-ms")));
  std::unique_lock lock(mutex_);
  const auto is_new = [&](const Change& change) {
    return change.version > after && std::get<0>(change.id) == table;
  };
  changed_.wait_for(lock, wait, [&] {
    return std::any_of(history_.begin(), history_.end(), is_new);
  });
  json rows = json::array();
  for (const Change& change : history_) {
    if (!is_new(change)) continue;
    json row = {{"table", std::get<0>(change.id)},
                {"part", std::get<1>(change.id)},
                {"key", std::get<2>(change.id)},
                {"ver", change.version}};
    if (change.value) {
      row["value"] = *change.value;
    } else {
      row["deleted"] = true;
    }
    rows.push_back(std::move(row));
  }
  return {kOk,
          json{{"rows", rows}, {"ver", version_}, {"now-ms", NowMs()}}.dump()};
}

}  // namespace review
