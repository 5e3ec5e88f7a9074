/// @file
/// Keeps the store up to date from the table and from peers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "mangospread/platform/table.hpp"
#include "rpc/messages.hpp"

namespace mangospread::config {

struct SyncOptions {
  Milliseconds poll_period{1'000};
};

/// Requests the changes after the revision `since` from a peer.
using FetchFromPeer =
    std::function<void(const Address& peer, Revision since,
                       std::function<void(Result<rpc::ConfigDelta>)> done)>;

/// Polls the table's revision row, reads the changes that the store is missing
/// and installs the changes pushed by peers. At most one read is in flight for
/// each source.
class Sync {
 public:
  Sync(base::EventLoop& loop, Table& table, Store& store, SyncOptions options,
       FetchFromPeer fetch);
  ~Sync();
  Sync(const Sync&) = delete;
  Sync& operator=(const Sync&) = delete;

  void Start();

  /// Installs the changes pushed by a peer. If changes before them are missing,
  /// reads the table.
  /// @return the revision of this node's store afterwards.
  Revision OnPush(const rpc::ConfigDelta& delta);

  /// Fetches the missing changes from a peer that advertises a higher revision.
  void OnPeerRevision(const Address& peer, Revision revision);

  /// Changes that a peer at revision `since` is missing, or a snapshot when the
  /// log does not contain all of them.
  [[nodiscard]] rpc::ConfigDelta Since(Revision since) const;

  /// Time of the table's last response; zero before the first one.
  [[nodiscard]] MonotonicTime last_table_response() const noexcept {
    return last_table_response_;
  }

  /// Reads the table now instead of at the next poll.
  void Poll();

 private:
  struct SnapshotLoad;

  void OnRevisionRead(const Result<std::vector<Row>>& rows);
  void ReadLog();
  void OnLogRead(const Result<std::vector<Row>>& rows);
  void BeginSnapshot();
  void ReadSnapshotPage(std::shared_ptr<SnapshotLoad> load);
  void InstallDelta(const rpc::ConfigDelta& delta);
  /// A callback that records the table's response and calls `handler`, or does
  /// nothing once this object has been destroyed.
  [[nodiscard]] std::function<void(const Result<std::vector<Row>>&)>
  MakeReadHandler(void (Sync::*handler)(const Result<std::vector<Row>>&));

  base::EventLoop& loop_;
  Table& table_;
  Store& store_;
  SyncOptions options_;
  FetchFromPeer fetch_from_peer_;
  MonotonicTime last_table_response_{0};
  Revision table_revision_;
  bool read_in_flight_ = false;
  bool pull_in_flight_ = false;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::config
