#include "config/sync.hpp"

#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "config/rows.hpp"

namespace mangospread::config {
namespace {

constexpr double kPollJitter = 0.1;
constexpr std::size_t kPageRows = 500;

}  // namespace

/// State of a snapshot that is being read in pages. The rows of later pages may
/// be newer than the revision read first, so every page, also the last one,
/// reads the revision again, and the load restarts when it has changed.
struct Sync::SnapshotLoad {
  Revision revision;
  std::vector<Resource> resources;
  /// Key after which the next page starts.
  std::string after;
};

Sync::Sync(base::EventLoop& loop, Table& table, Store& store,
           SyncOptions options, FetchFromPeer fetch)
    : loop_(loop),
      table_(table),
      store_(store),
      options_(options),
      fetch_from_peer_(std::move(fetch)) {}

Sync::~Sync() { *alive_ = false; }

void Sync::Start() {
  timer_ = loop_.Every(options_.poll_period, kPollJitter, [this] { Poll(); });
  Poll();
}

std::function<void(const Result<std::vector<Row>>&)> Sync::MakeReadHandler(
    void (Sync::*handler)(const Result<std::vector<Row>>&)) {
  return [this, handler, alive = alive_](const Result<std::vector<Row>>& rows) {
    if (!*alive) return;
    if (rows.ok()) last_table_response_ = base::MonotonicNow();
    (this->*handler)(rows);
  };
}

void Sync::Poll() {
  if (read_in_flight_) return;
  read_in_flight_ = true;
  table_.Read({{kRevisionKey}, {}}, MakeReadHandler(&Sync::OnRevisionRead));
}

void Sync::OnRevisionRead(const Result<std::vector<Row>>& rows) {
  read_in_flight_ = false;
  if (!rows.ok()) return;
  const auto revision = DecodeRevision(FindRow(rows.value(), kRevisionKey));
  if (!revision.ok()) return;
  table_revision_ = revision.value();
  if (!store_.loaded()) return BeginSnapshot();
  if (table_revision_ > store_.revision()) ReadLog();
}

void Sync::ReadLog() {
  read_in_flight_ = true;
  ReadRequest request;
  request.ranges.push_back(
      {kLogPrefix, LogRowKey(store_.revision()), kPageRows});
  table_.Read(std::move(request), MakeReadHandler(&Sync::OnLogRead));
}

void Sync::OnLogRead(const Result<std::vector<Row>>& rows) {
  read_in_flight_ = false;
  if (!rows.ok()) return;
  for (const Row& row : rows.value()) {
    const auto change = DecodeChange(row);
    if (!change.ok()) return BeginSnapshot();
    if (store_.Install(change.value()) == InstallResult::kGap) {
      return BeginSnapshot();
    }
  }
  if (rows.value().empty()) {
    if (table_revision_ > store_.revision()) BeginSnapshot();
    return;
  }
  if (table_revision_ > store_.revision()) ReadLog();
}

void Sync::BeginSnapshot() {
  auto load = std::make_shared<SnapshotLoad>();
  load->revision = table_revision_;
  ReadSnapshotPage(std::move(load));
}

void Sync::ReadSnapshotPage(std::shared_ptr<SnapshotLoad> load) {
  read_in_flight_ = true;
  ReadRequest request;
  request.keys.push_back(kRevisionKey);
  request.ranges.push_back({kResourcePrefix, load->after, kPageRows});
  table_.Read(std::move(request), [this, load, alive = alive_](
                                      const Result<std::vector<Row>>& rows) {
    if (!*alive) return;
    read_in_flight_ = false;
    if (!rows.ok()) return;
    last_table_response_ = base::MonotonicNow();
    const Row* revision_row = FindRow(rows.value(), kRevisionKey);
    const auto revision = DecodeRevision(revision_row);
    if (!revision.ok()) return;
    if (revision.value() != load->revision) {
      table_revision_ = revision.value();
      return BeginSnapshot();
    }
    std::size_t count = 0;
    for (const Row& row : rows.value()) {
      if (&row == revision_row) continue;
      ++count;
      load->after = row.key;
      auto resource = DecodeResource(row);
      if (resource.ok()) load->resources.push_back(std::move(resource.value()));
    }
    if (count == kPageRows) return ReadSnapshotPage(load);
    store_.InstallSnapshot(load->revision, load->resources);
  });
}

Revision Sync::OnPush(const rpc::ConfigDelta& delta) {
  InstallDelta(delta);
  if (delta.revision > store_.revision()) Poll();
  return store_.revision();
}

void Sync::OnPeerRevision(const Address& peer, Revision revision) {
  const bool behind = !store_.loaded() || revision > store_.revision();
  if (!behind || pull_in_flight_) return;
  pull_in_flight_ = true;
  fetch_from_peer_(
      peer, store_.loaded() ? store_.revision() : Revision(),
      [this, alive = alive_](const Result<rpc::ConfigDelta>& delta) {
        if (!*alive) return;
        pull_in_flight_ = false;
        if (delta.ok()) InstallDelta(delta.value());
      });
}

void Sync::InstallDelta(const rpc::ConfigDelta& delta) {
  if (!delta.is_snapshot) {
    for (const Change& change : delta.changes) {
      if (store_.Install(change) == InstallResult::kGap) return;
    }
    return;
  }
  std::vector<Resource> resources;
  resources.reserve(delta.changes.size());
  for (const Change& change : delta.changes) {
    resources.push_back({change.key, change.spec, change.revision});
  }
  store_.InstallSnapshot(delta.revision, resources);
}

rpc::ConfigDelta Sync::Since(Revision since) const {
  rpc::ConfigDelta delta;
  // A node without configuration must not send an empty snapshot.
  if (!store_.loaded()) return delta;
  delta.revision = store_.revision();
  const auto changes = store_.Since(since);
  if (changes && since.value() != 0) {
    delta.changes = *changes;
    return delta;
  }
  delta.is_snapshot = true;
  for (const Resource& resource : store_.All()) {
    delta.changes.push_back(
        {resource.revision, resource.key, false, resource.spec});
  }
  return delta;
}

}  // namespace mangospread::config
