/// @file
/// Stand-in for the platform's metadata store.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "base/loop/event_loop.hpp"
#include "host.hpp"

namespace mangospread::standin {

/// Versioned rows with conditional transactions and long-polled feeds, and with
/// faults that a test sets. Refuses rows and transactions that are too large.
class SiteStore {
 public:
  explicit SiteStore(base::EventLoop& loop) : loop_(loop) {}

  /// Handles a request to the store.
  /// @return false if the request is for another component.
  bool Handle(const Exchange& exchange);
  /// Writes a row unconditionally, as the operator or a worker does.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);
  /// Removes a row, as a worker that left does.
  void Remove(const std::string& table, const std::string& part,
              const std::string& key);
  /// The stored value of a row; nullopt if there is none.
  [[nodiscard]] std::optional<std::string> Value(const std::string& table,
                                                 const std::string& part,
                                                 const std::string& key) const;

  /// Rejects every call with status 503 while `down`.
  void SetDown(bool down) { down_ = down; }
  /// Commits the next `count` transactions without ever responding to them.
  void LoseReplies(int count) { lose_replies_ = count; }

 private:
  struct RowId {
    std::string table;
    std::string part;
    std::string key;
    friend auto operator<=>(const RowId&, const RowId&) = default;
  };
  struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    RowId id;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };
  struct PendingFeed {
    Exchange exchange;
    std::string table;
    std::uint64_t after = 0;
    base::Timer timeout;
  };

  void Transact(const Exchange& exchange);
  void Get(const Exchange& exchange);
  void Feed(const Exchange& exchange);
  void Apply(const RowId& id, const std::string* value);
  void RespondToPendingFeeds();
  void RespondToFeed(const Exchange& exchange, const std::string& table,
                     std::uint64_t after);
  [[nodiscard]] bool HasChanges(const std::string& table,
                                std::uint64_t after) const;
  [[nodiscard]] static nlohmann::json EncodeRow(const RowId& id,
                                                const StoredRow& row);

  base::EventLoop& loop_;
  std::map<RowId, StoredRow> rows_;
  std::deque<Change> history_;
  std::list<PendingFeed> pending_feeds_;
  /// Requests that never get a response; kept so that their connections stay
  /// open.
  std::list<Exchange> unanswered_;
  std::uint64_t version_ = 0;
  bool down_ = false;
  int lose_replies_ = 0;
};

}  // namespace mangospread::standin
