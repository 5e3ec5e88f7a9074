/// @file
/// Stand-in of the platform's metadata store.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/loop/event_loop.hpp"
#include "host.hpp"

namespace mangospread::standin {

/// Rows with versions, conditional transactions and long-polled feeds. Faults
/// are set by a test.
class SiteStore {
 public:
  explicit SiteStore(base::EventLoop& loop) : loop_(loop) {}

  /// Returns false if the request is none of the store's calls.
  bool Handle(const Exchange& exchange);
  /// Writes a row as the operator or a worker does.
  void Put(const std::string& table, const std::string& part,
           const std::string& key, const std::string& value);

  /// Refuses every call.
  void SetDown(bool down) { down_ = down; }
  /// Performs the next transactions and never answers them.
  void LoseReplies(int count) { lose_replies_ = count; }

 private:
  struct RowId {
    std::string table;
    std::string part;
    std::string key;
    friend auto operator<=>(const RowId&, const RowId&) = default;
  };
  struct Stored {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    RowId id;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
  };
  struct Waiter {
    Exchange exchange;
    std::string table;
    std::uint64_t after = 0;
    base::Timer timeout;
  };

  void Transact(const Exchange& exchange);
  void Get(const Exchange& exchange);
  void Feed(const Exchange& exchange);
  void Apply(const RowId& id, const std::string* value);
  void WakeWaiters();
  void AnswerFeed(const Exchange& exchange, const std::string& table,
                  std::uint64_t after);
  [[nodiscard]] bool HasChanges(const std::string& table,
                                std::uint64_t after) const;
  [[nodiscard]] static nlohmann::json EncodeRow(const RowId& id,
                                                const Stored& row);

  base::EventLoop& loop_;
  std::map<RowId, Stored> rows_;
  std::deque<Change> history_;
  std::list<Waiter> waiters_;
  /// Requests whose answers are lost; kept so that their connections hang.
  std::list<Exchange> lost_;
  std::uint64_t version_ = 0;
  bool down_ = false;
  int lose_replies_ = 0;
};

}  // namespace mangospread::standin
