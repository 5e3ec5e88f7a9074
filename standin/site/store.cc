#include "site/store.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "platform/base64.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kRowsPerCall = 500;

/// Parameters of a request's query.
class Query {
 public:
  explicit Query(const std::string& target) {
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) return;
    evkeyvalq parsed{};
    evhttp_parse_query_str(target.c_str() + mark + 1, &parsed);
    for (const evkeyval* entry = parsed.tqh_first; entry != nullptr;
         entry = entry->next.tqe_next) {
      values_[entry->key] = entry->value;
    }
    evhttp_clear_headers(&parsed);
  }

  [[nodiscard]] std::string Text(const char* name) const {
    const auto it = values_.find(name);
    return it == values_.end() ? std::string() : it->second;
  }
  [[nodiscard]] std::uint64_t Number(const char* name) const {
    const std::string text = Text(name);
    return text.empty() ? 0 : std::stoull(text);
  }

 private:
  std::map<std::string, std::string> values_;
};

bool HasPath(const Exchange& exchange, std::string_view path) {
  const std::string& target = exchange->request().target;
  return target.substr(0, target.find('?')) == path;
}

}  // namespace

bool SiteStore::Handle(const Exchange& exchange) {
  const bool tx = HasPath(exchange, "/mangospread/rows-tx");
  const bool get = HasPath(exchange, "/mangospread/rows-get");
  const bool feed = HasPath(exchange, "/mangospread/rows-feed");
  if (!tx && !get && !feed) return false;
  if (down_) {
    ReplyText(*exchange, kServiceUnavailable, "{}");
  } else if (tx) {
    Transact(exchange);
  } else if (get) {
    Get(exchange);
  } else {
    Feed(exchange);
  }
  return true;
}

void SiteStore::Put(const std::string& table, const std::string& part,
                    const std::string& key, const std::string& value) {
  ++version_;
  Apply({table, part, key}, &value);
  WakeWaiters();
}

json SiteStore::EncodeRow(const RowId& id, const Stored& row) {
  return {{"table", id.table},
          {"part", id.part},
          {"key", id.key},
          {"value", platform::EncodeBase64(row.value)},
          {"ver", row.version}};
}

void SiteStore::Transact(const Exchange& exchange) {
  const auto body = base::ParseJson(exchange->request().body, "transaction");
  if (!body.ok()) return ReplyText(*exchange, kBadRequest, "{}");
  const auto id_of = [](const json& row) {
    return RowId{row.at("table"), row.at("part"), row.at("key")};
  };
  json current = json::array();
  bool met = true;
  for (const json& condition : body.value().at("expect-rev")) {
    const auto it = rows_.find(id_of(condition));
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    met = met && version == condition.at("ver").get<std::uint64_t>();
    if (it != rows_.end()) current.push_back(EncodeRow(it->first, it->second));
  }
  if (!met) {
    return ReplyText(*exchange, kPreconditionFailed,
                     base::DumpJson({{"rows", current}, {"ver", version_}}));
  }
  ++version_;
  for (const json& row : body.value().at("puts")) {
    const auto value =
        platform::DecodeBase64(row.at("value").get<std::string>());
    Apply(id_of(row), &value.value());
  }
  for (const json& row : body.value().at("remove")) Apply(id_of(row), nullptr);
  if (lose_replies_ > 0) {
    --lose_replies_;
    lost_.push_back(exchange);
  } else {
    ReplyText(*exchange, kOk, base::DumpJson({{"ver", version_}}));
  }
  WakeWaiters();
}

void SiteStore::Apply(const RowId& id, const std::string* value) {
  Change change{id, version_, value == nullptr, {}};
  if (value != nullptr) {
    rows_[id] = {*value, version_};
    change.value = *value;
  } else {
    rows_.erase(id);
  }
  history_.push_back(std::move(change));
}

void SiteStore::Get(const Exchange& exchange) {
  const Query query(exchange->request().target);
  const std::string until = query.Text("target");
  std::size_t limit = kRowsPerCall;
  if (const auto asked = query.Number("limit"); asked > 0) {
    limit = std::min<std::size_t>(limit, asked);
  }
  json rows = json::array();
  bool more = false;
  auto it = rows_.lower_bound(
      {query.Text("table"), query.Text("part"), query.Text("from")});
  for (; it != rows_.end() && it->first.table == query.Text("table") &&
         it->first.part == query.Text("part");
       ++it) {
    if (!until.empty() && it->first.key >= until) break;
    if (rows.size() == limit) {
      more = true;
      break;
    }
    rows.push_back(EncodeRow(it->first, it->second));
  }
  ReplyText(
      *exchange, kOk,
      base::DumpJson({{"rows", rows}, {"has-more", more}, {"ver", version_}}));
}

bool SiteStore::HasChanges(const std::string& table,
                           std::uint64_t after) const {
  return std::any_of(
      history_.begin(), history_.end(), [&](const Change& change) {
        return change.id.table == table && change.version > after;
      });
}

void SiteStore::Feed(const Exchange& exchange) {
  const Query query(exchange->request().target);
  const std::string table = query.Text("table");
  const std::uint64_t after = query.Number("after");
  if (HasChanges(table, after)) return AnswerFeed(exchange, table, after);
  waiters_.push_back({exchange, table, after, {}});
  const auto waiter = std::prev(waiters_.end());
  const Milliseconds wait(static_cast<std::int64_t>(query.Number("wait-ms")));
  waiter->timeout = loop_.After(wait, [this, waiter] {
    const Waiter ended = std::move(*waiter);
    waiters_.erase(waiter);
    AnswerFeed(ended.exchange, ended.table, ended.after);
  });
}

void SiteStore::WakeWaiters() {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (!HasChanges(it->table, it->after)) {
      ++it;
      continue;
    }
    AnswerFeed(it->exchange, it->table, it->after);
    it = waiters_.erase(it);
  }
}

void SiteStore::AnswerFeed(const Exchange& exchange, const std::string& table,
                           std::uint64_t after) {
  json rows = json::array();
  for (const Change& change : history_) {
    if (change.id.table != table || change.version <= after) continue;
    json row = EncodeRow(change.id, {change.value, change.version});
    if (change.deleted) row["deleted"] = true;
    rows.push_back(std::move(row));
  }
  ReplyText(*exchange, kOk,
            base::DumpJson({{"rows", rows}, {"ver", version_}}));
}

}  // namespace mangospread::standin
