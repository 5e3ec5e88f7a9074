/// @file
/// Stand-in for the platform's metadata store: rows, transactions and feeds.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace review2 {

using nlohmann::json;

inline std::string EncodeBase64(const std::string& text) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned v = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      v = v << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= text.size() ? digits[v >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

class Store {
 public:
  Store()
      : address_("127.0.0.1:" + std::to_string(FreePort("127.0.0.1"))),
        server_(address_, [this](const Request& r) { return Handle(r); }) {}

  [[nodiscard]] const std::string& address() const { return address_; }

  void Stop() { server_.Close(); }

  /// While it is down, the store answers 503 and takes no writes.
  void SetDown(bool down) { down_ = down; }
  [[nodiscard]] bool down() const { return down_; }

  /// Writes a row as the operator or a worker does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++version_;
    Apply({table, "", key}, EncodeBase64(value), false);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++version_;
    Apply({table, "", key}, "", true);
    changed_.notify_all();
  }

 private:
  using RowId = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  ///< In base64.
    std::uint64_t version = 0;
  };
  struct Change {
    RowId id;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };

  static json ToJson(const RowId& id, const std::string& value,
                     std::uint64_t version) {
    return {{"table", std::get<0>(id)},
            {"part", std::get<1>(id)},
            {"key", std::get<2>(id)},
            {"value", value},
            {"ver", version}};
  }

  void Apply(const RowId& id, const std::string& value, bool deleted) {
    if (deleted) {
      if (rows_.erase(id) == 0) return;
    } else {
      rows_[id] = {value, version_};
    }
    history_[std::get<0>(id)].push_back({id, version_, deleted, value});
  }

  json Stamp(json body) const {
    body["ver"] = version_;
    body["now-ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
    return body;
  }

  Reply Handle(const Request& request) {
    const std::string path = request.Path();
    if (down_) return {503, "{}"};
    if (path == "/mangospread/rows-tx") return Transact(request);
    if (path == "/mangospread/rows-get") return Get(request);
    if (path == "/mangospread/rows-feed") return Feed(request);
    return {404, "{}"};
  }

  Reply Transact(const Request& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(6));
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) return {400, "{}"};
    const std::lock_guard lock(mutex_);
    const auto id = [](const json& row) {
      return RowId{row.at("table"), row.at("part"), row.at("key")};
    };
    json current = json::array();
    bool met = true;
    for (const json& row : body.at("expect-rev")) {
      const auto it = rows_.find(id(row));
      const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
      met = met && version == row.at("ver").get<std::uint64_t>();
      if (it != rows_.end()) {
        current.push_back(ToJson(it->first, it->second.value, version));
      }
    }
    if (!met) return {412, Stamp({{"rows", current}}).dump()};
    ++version_;
    for (const json& row : body.at("puts")) {
      Apply(id(row), row.at("value"), false);
    }
    for (const json& row : body.at("remove")) Apply(id(row), "", true);
    changed_.notify_all();
    return {200, Stamp(json::object()).dump()};
  }

  Reply Get(const Request& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    const std::lock_guard lock(mutex_);
    std::size_t limit = 500;
    if (!request.Query("limit").empty()) {
      limit = std::min<std::size_t>(limit, std::stoul(request.Query("limit")));
    }
    const std::string table = request.Query("table");
    const std::string part = request.Query("part");
    const std::string until = request.Query("target");
    json rows = json::array();
    bool more = false;
    for (auto it = rows_.lower_bound({table, part, request.Query("from")});
         it != rows_.end() && std::get<0>(it->first) == table &&
         std::get<1>(it->first) == part;
         ++it) {
      if (!until.empty() && std::get<2>(it->first) >= until) break;
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.push_back(ToJson(it->first, it->second.value, it->second.version));
    }
    return {200, Stamp({{"rows", rows}, {"has-more", more}}).dump()};
  }

  Reply Feed(const Request& request) {
    const std::string table = request.Query("table");
    const std::uint64_t after = std::stoull("0" + request.Query("after"));
    const int wait = std::stoi("0" + request.Query("wait-ms"));
    std::unique_lock lock(mutex_);
    const auto& history = history_[table];
    changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return !history.empty() && history.back().version > after;
    });
    json rows = json::array();
    for (const Change& change : history) {
      if (change.version <= after) continue;
      json row = ToJson(change.id, change.value, change.version);
      if (change.deleted) row["deleted"] = true;
      rows.push_back(std::move(row));
    }
    return {200, Stamp({{"rows", rows}}).dump()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 0;
  std::atomic<bool> down_{false};
  std::map<RowId, Row> rows_;
  std::map<std::string, std::vector<Change>> history_;
  std::string address_;
  Server server_;
};

}  // namespace review2
