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
constexpr std::size_t kMaxRowBytes = 65'536;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = 1'000'000;

/// Query parameters of a request target.
class Query {
 public:
  explicit Query(const std::string& target) {
    const std::size_t question_mark = target.find('?');
    if (question_mark == std::string::npos) return;
    evkeyvalq parsed{};
    evhttp_parse_query_str(target.c_str() + question_mark + 1, &parsed);
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

/// True if the store accepts the size of a transaction and of its rows.
bool HasAllowedSize(const Exchange& exchange, const json& transaction) {
  if (exchange->request().body.view().size() > kMaxCallBytes) return false;
  const json& puts = transaction.at("puts");
  if (transaction.at("expect-rev").size() + puts.size() +
          transaction.at("remove").size() >
      kMaxEntries) {
    return false;
  }
  return std::all_of(puts.begin(), puts.end(), [](const json& row) {
    const auto value =
        platform::DecodeBase64(row.at("value").get<std::string>());
    return value.ok() && value.value().size() <= kMaxRowBytes;
  });
}

}  // namespace

bool SiteStore::Handle(const Exchange& exchange) {
  const bool tx = HasPath(exchange, "/mangospread/rows-tx");
  const bool get = HasPath(exchange, "/mangospread/rows-get");
  const bool feed = HasPath(exchange, "/mangospread/rows-feed");
  if (!tx && !get && !feed) return false;
  if (down_) {
    ReplyJson(*exchange, kServiceUnavailable, "{}");
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
  RespondToPendingFeeds();
}

void SiteStore::Remove(const std::string& table, const std::string& part,
                       const std::string& key) {
  ++version_;
  Apply({table, part, key}, nullptr);
  RespondToPendingFeeds();
}

std::optional<std::string> SiteStore::Value(const std::string& table,
                                            const std::string& part,
                                            const std::string& key) const {
  const auto it = rows_.find({table, part, key});
  if (it == rows_.end()) return std::nullopt;
  return it->second.value;
}

json SiteStore::EncodeRow(const RowId& id, const StoredRow& row) {
  return {{"table", id.table},
          {"part", id.part},
          {"key", id.key},
          {"value", platform::EncodeBase64(row.value)},
          {"ver", row.version}};
}

void SiteStore::Transact(const Exchange& exchange) {
  const auto body = base::ParseJson(exchange->request().body, "transaction");
  if (!body.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
  if (!HasAllowedSize(exchange, body.value())) {
    return ReplyJson(*exchange, kBadRequest, "{}");
  }
  const auto row_id = [](const json& row) {
    return RowId{row.at("table"), row.at("part"), row.at("key")};
  };
  json current = json::array();
  bool conditions_met = true;
  for (const json& condition : body.value().at("expect-rev")) {
    const auto it = rows_.find(row_id(condition));
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    conditions_met =
        conditions_met && version == condition.at("ver").get<std::uint64_t>();
    if (it != rows_.end()) current.push_back(EncodeRow(it->first, it->second));
  }
  if (!conditions_met) {
    return ReplyJson(*exchange, kPreconditionFailed,
                     base::DumpJson({{"rows", current}, {"ver", version_}}));
  }
  ++version_;
  for (const json& row : body.value().at("puts")) {
    const auto value =
        platform::DecodeBase64(row.at("value").get<std::string>());
    Apply(row_id(row), &value.value());
  }
  for (const json& row : body.value().at("remove")) Apply(row_id(row), nullptr);
  if (lose_replies_ > 0) {
    --lose_replies_;
    unanswered_.push_back(exchange);
  } else {
    ReplyJson(*exchange, kOk, base::DumpJson({{"ver", version_}}));
  }
  RespondToPendingFeeds();
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
  const std::string end_key = query.Text("target");
  std::size_t limit = kRowsPerCall;
  if (const auto requested = query.Number("limit"); requested > 0) {
    limit = std::min<std::size_t>(limit, requested);
  }
  json rows = json::array();
  bool has_more = false;
  auto it = rows_.lower_bound(
      {query.Text("table"), query.Text("part"), query.Text("from")});
  for (; it != rows_.end() && it->first.table == query.Text("table") &&
         it->first.part == query.Text("part");
       ++it) {
    if (!end_key.empty() && it->first.key >= end_key) break;
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    rows.push_back(EncodeRow(it->first, it->second));
  }
  ReplyJson(*exchange, kOk,
            base::DumpJson(
                {{"rows", rows}, {"has-more", has_more}, {"ver", version_}}));
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
  if (HasChanges(table, after)) return RespondToFeed(exchange, table, after);
  pending_feeds_.push_back({exchange, table, after, {}});
  const auto pending = std::prev(pending_feeds_.end());
  const Milliseconds wait(static_cast<std::int64_t>(query.Number("wait-ms")));
  pending->timeout = loop_.After(wait, [this, pending] {
    const PendingFeed expired = std::move(*pending);
    pending_feeds_.erase(pending);
    RespondToFeed(expired.exchange, expired.table, expired.after);
  });
}

void SiteStore::RespondToPendingFeeds() {
  for (auto it = pending_feeds_.begin(); it != pending_feeds_.end();) {
    if (!HasChanges(it->table, it->after)) {
      ++it;
      continue;
    }
    RespondToFeed(it->exchange, it->table, it->after);
    it = pending_feeds_.erase(it);
  }
}

void SiteStore::RespondToFeed(const Exchange& exchange,
                              const std::string& table, std::uint64_t after) {
  json rows = json::array();
  for (const Change& change : history_) {
    if (change.id.table != table || change.version <= after) continue;
    json row = EncodeRow(change.id, {change.value, change.version});
    if (change.deleted) row["deleted"] = true;
    rows.push_back(std::move(row));
  }
  ReplyJson(*exchange, kOk,
            base::DumpJson({{"rows", rows}, {"ver", version_}}));
}

}  // namespace mangospread::standin
