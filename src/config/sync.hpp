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

/// Asks a peer for the changes after a revision.
using FetchFromPeer =
    std::function<void(const Address& peer, Revision since,
                       std::function<void(Result<rpc::ConfigDelta>)> done)>;

/// Polls the revision row, fills gaps and takes pushes. One read is in flight
/// at a time for each source.
class Sync {
 public:
  Sync(base::EventLoop& loop, Table& table, Store& store, SyncOptions options,
       FetchFromPeer fetch);
  ~Sync();
  Sync(const Sync&) = delete;
  Sync& operator=(const Sync&) = delete;

  void Start();

  /// Installs what a peer pushed and returns the own revision. A gap makes
  /// the node read the table.
  Revision OnPush(const rpc::ConfigDelta& delta);

  /// Reacts to a peer's advertised revision: pulls from it when it is ahead.
  void OnPeerRevision(const Address& peer, Revision revision);

  /// What a peer with `since` lacks.
  [[nodiscard]] rpc::ConfigDelta Since(Revision since) const;

  /// When the table answered last; zero when it never did.
  [[nodiscard]] MonotonicTime last_table_answer() const noexcept {
    return last_table_answer_;
  }

  /// Reads the table now instead of at the next poll.
  void Poll();

 private:
  struct SnapshotLoad;

  void OnPolled(const Result<std::vector<Row>>& rows);
  void ReadLog();
  void OnLog(const Result<std::vector<Row>>& rows);
  void BeginSnapshot();
  void ReadSnapshotPage(std::shared_ptr<SnapshotLoad> load);
  void InstallDelta(const rpc::ConfigDelta& delta);
  [[nodiscard]] std::function<void(const Result<std::vector<Row>>&)> Guarded(
      void (Sync::*handler)(const Result<std::vector<Row>>&));

  base::EventLoop& loop_;
  Table& table_;
  Store& store_;
  SyncOptions options_;
  FetchFromPeer fetch_;
  MonotonicTime last_table_answer_{0};
  Revision table_revision_;
  bool reading_ = false;
  bool pulling_ = false;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::config
