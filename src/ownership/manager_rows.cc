#include <set>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "ownership/manager_entry.hpp"
#include "ownership/rows.hpp"

namespace mangospread::ownership {
namespace {

constexpr std::size_t kPageRows = 1'000;

/// Read when no row is stale, to check whether the table responds.
constexpr char kProbeKey[] = "own_probe";

VmName VmOfRow(const Row& row) {
  return VmName(row.key.substr(std::size(kOwnershipPrefix) - 1));
}

}  // namespace

void Manager::RefreshRows() {
  if (reading_rows_) return;
  reading_rows_ = true;
  const MonotonicTime now = base::MonotonicNow();
  if (!rows_loaded_ || now >= next_full_read_at_) return ReadAllRows("", now);
  ReadStaleRows();
}

void Manager::ReadStaleRows() {
  struct RequestedRow {
    EntryPtr entry;
    std::optional<RowVersion> version_before;
  };
  ReadRequest request;
  std::vector<RequestedRow> requested;
  for (const auto& [name, entry] : entries_) {
    if (entry->row_version && !entry->stale) continue;
    request.keys.push_back(OwnershipRowKey(name));
    requested.push_back({entry, entry->row_version});
    if (requested.size() == kPageRows) break;
  }
  if (request.keys.empty()) request.keys.emplace_back(kProbeKey);
  const MonotonicTime read_at = base::MonotonicNow();
  ++counters_.reads;
  table_.Read(std::move(request),
              [this, requested = std::move(requested), read_at,
               alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive) return;
                reading_rows_ = false;
                if (!RecordReadResult(rows)) return;
                ApplyRows(rows.value());
                std::set<std::string> present;
                for (const Row& row : rows.value()) present.insert(row.key);
                for (const auto& [entry, version_before] : requested) {
                  if (entry->written_at >= read_at || entry->writing) continue;
                  entry->stale = false;
                  if (present.contains(OwnershipRowKey(entry->vm.name)) ||
                      entry->row_version != version_before) {
                    continue;
                  }
                  entry->row = {};
                  entry->row_version = RowVersion();
                }
              });
}

void Manager::ReadAllRows(const std::string& after, MonotonicTime read_at) {
  ReadRequest request;
  request.ranges.push_back({kOwnershipPrefix, after, kPageRows});
  ++counters_.reads;
  table_.Read(std::move(request), [this, read_at, alive = alive_](
                                      const Result<std::vector<Row>>& rows) {
    if (!*alive) return;
    if (!RecordReadResult(rows)) {
      reading_rows_ = false;
      return;
    }
    ApplyRows(rows.value());
    if (rows.value().size() == kPageRows) {
      return ReadAllRows(rows.value().back().key, read_at);
    }
    reading_rows_ = false;
    rows_loaded_ = true;
    next_full_read_at_ = base::MonotonicNow() + options_.full_refresh_period;
    // Only a completed read shows which rows are absent (version 0).
    for (const auto& [name, entry] : entries_) {
      if (!entry->row_version && entry->added_at < read_at && !entry->writing) {
        entry->row_version = RowVersion();
      }
    }
  });
}

bool Manager::RecordReadResult(const Result<std::vector<Row>>& rows) {
  table_reachable_ = rows.ok();
  return rows.ok();
}

void Manager::ApplyRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    if (!row.key.starts_with(kOwnershipPrefix)) continue;
    const auto it = entries_.find(VmOfRow(row));
    const auto decoded = DecodeOwnership(row);
    if (it == entries_.end() || !decoded.ok()) continue;
    Entry& entry = *it->second;
    // Versions only increase, so a read result that is older than a write or a
    // peer's push is recognised by its lower version.
    if (entry.row_version && *entry.row_version > row.version) continue;
    entry.row = decoded.value();
    entry.row_version = row.version;
  }
}

void Manager::WriteRow(Entry& entry, OwnershipRow row) {
  entry.writing = true;
  entry.write_started_at = base::MonotonicNow();
  const std::string key = OwnershipRowKey(entry.vm.name);
  Transaction change;
  change.conditions.push_back({key, entry.row_version.value_or(RowVersion())});
  change.writes.push_back({key, EncodeOwnership(row)});
  writer_.Submit(std::move(change),
                 [this, shared = entry.shared_from_this(), row,
                  alive = alive_](const table::WriteResult& result) {
                   if (*alive) OnWritten(shared, row, result);
                 });
}

void Manager::OnWritten(const EntryPtr& entry, const OwnershipRow& row,
                        const table::WriteResult& result) {
  entry->writing = false;
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      if (!entry->row_version || *entry->row_version < result.version) {
        entry->row = row;
        entry->row_version = result.version;
      }
      entry->written_at = base::MonotonicNow();
      entry->failures = 0;
      entry->stale = false;
      if (!IsCurrent(*entry)) return;
      Announce(*entry, row, true);
      if (!IsSelf(row)) {
        base::Log(base::Event::kWorkerReleased, {{"vm", entry->vm.name.str()},
                                                 {"successor", row.node.str()},
                                                 {"epoch", row.epoch.value()}});
      }
      // The worker may have granted a claim before the outcome of the write was
      // resolved, so the next step is decided again.
      return Reconcile(*entry);
    case table::WriteStatus::kConflict:
      ++counters_.row_conflicts;
      entry->stale = true;
      return ScheduleRetry(*entry);
    case table::WriteStatus::kUnavailable:
    case table::WriteStatus::kRejected:
      writes_suspended_until_ =
          base::MonotonicNow() + options_.write_retry_delay;
      return;
  }
}

std::vector<KnownOwner> Manager::Rows() const {
  std::vector<KnownOwner> rows;
  for (const auto& [name, entry] : entries_) {
    if (entry->row_version) {
      rows.push_back({name, entry->row, entry->row_version});
    }
    if (entry->worker != nullptr &&
        entry->worker->fence().epoch > entry->row.epoch) {
      rows.push_back(
          {name,
           {options_.node, options_.incarnation, entry->worker->fence().epoch},
           std::nullopt});
    }
  }
  return rows;
}

void Manager::AdoptRows(const std::vector<KnownOwner>& rows) {
  for (const KnownOwner& known : rows) {
    const auto it = entries_.find(known.vm);
    if (it == entries_.end()) continue;
    Entry& entry = *it->second;
    if (!known.version) {
      if (known.row.epoch > entry.grant.epoch) entry.grant = known.row;
      continue;
    }
    if (entry.row_version && *entry.row_version >= *known.version) continue;
    entry.row = known.row;
    entry.row_version = known.version;
    // A hand-over to this node need not wait for the next tick.
    if (IsSelf(entry.row)) Reconcile(entry);
  }
}

void Manager::Announce(const Entry& entry, const OwnershipRow& row,
                       bool recorded) {
  owner_changed_.emit(
      {entry.vm.name, row, recorded ? entry.row_version : std::nullopt});
}

void Manager::RefreshVms() {
  if (reading_vms_) return;
  reading_vms_ = true;
  vm_list_.Fetch(
      [this, alive = alive_](const Result<std::vector<VmInfo>>& vms) {
        if (!*alive) return;
        reading_vms_ = false;
        if (!vms.ok()) {
          base::Log(base::Event::kVmListFailed,
                    {{"error", ErrcName(vms.error().code)}});
          return;
        }
        vms_loaded_ = true;
        OnVms(vms.value());
      });
}

void Manager::AddVm(const VmInfo& vm) {
  auto& entry = entries_[vm.name];
  if (entry == nullptr || entry->vm.address != vm.address) {
    // A name that is listed with another address belongs to another VM.
    if (entry != nullptr) RemoveOwnedWorker(*entry);
    entry = std::make_shared<Entry>();
    entry->link = make_link_(vm);
    entry->added_at = base::MonotonicNow();
  }
  entry->vm = vm;
  entry->listed = true;
  if (entry->worker != nullptr) entry->worker->UpdateVm(vm);
}

void Manager::OnVms(const std::vector<VmInfo>& vms) {
  const std::size_t previous_count = entries_.size();
  for (auto& [name, entry] : entries_) entry->listed = false;
  for (const VmInfo& vm : vms) AddVm(vm);
  for (auto& [name, entry] : entries_) {
    // An empty list is more likely due to lost data than to a platform without
    // VMs, so it does not stop work on reachable workers.
    if (entry->listed || entry->worker == nullptr || vms.empty()) continue;
    entry->vm.state = VmState::kLeaving;
    entry->worker->UpdateVm(entry->vm);
  }
  std::erase_if(entries_, [this](auto& item) {
    Entry& entry = *item.second;
    const bool reachable = entry.worker != nullptr && entry.worker->reachable();
    if (entry.listed || reachable || entry.claiming) return false;
    RemoveOwnedWorker(entry);
    return true;
  });
  if (entries_.size() > previous_count) RefreshRows();
}

void Manager::AdoptVms(const std::vector<VmInfo>& vms) {
  if (vms_loaded_) return;
  for (const VmInfo& vm : vms) {
    if (!entries_.contains(vm.name)) AddVm(vm);
  }
}

std::vector<VmInfo> Manager::Vms() const {
  std::vector<VmInfo> vms;
  for (const auto& [name, entry] : entries_) vms.push_back(entry->vm);
  return vms;
}

}  // namespace mangospread::ownership
