#include "config/editor.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "config/rows.hpp"

namespace mangospread::config {
namespace {

/// Lost races for the revision row after which a change is rejected. Six nodes
/// that commit at the same time need at most six attempts each.
constexpr int kMaxLostRaces = 20;

/// Change log entries kept in the table; older ones are deleted.
constexpr std::uint64_t kMaxLogRows = 5'000;

}  // namespace

struct Editor::PendingEdit {
  void Complete(const Result<Change>& result) {
    timer.reset();
    if (const auto fn = std::exchange(done, nullptr)) fn(result);
  }

  base::Timer timer;
  Edit edit;
  Callback done;
  Change change;
  RowVersion resource_version;
  bool was_read = false;
  int lost_races = 0;
};

Editor::Editor(base::EventLoop& loop, Table& table, table::Writer& writer,
               std::function<void(const Change&)> on_accepted,
               Milliseconds reply_timeout)
    : loop_(loop),
      table_(table),
      writer_(writer),
      on_accepted_(std::move(on_accepted)),
      reply_timeout_(reply_timeout) {}

Editor::~Editor() { *alive_ = false; }

void Editor::Apply(Edit edit, Callback done) {
  auto pending = std::make_shared<PendingEdit>();
  pending->edit = std::move(edit);
  pending->done = std::move(done);
  pending->timer =
      loop_.After(reply_timeout_, [weak = std::weak_ptr<PendingEdit>(pending)] {
        const auto locked = weak.lock();
        if (locked != nullptr) locked->Complete(Error{Errc::kUnknown, "table"});
      });
  Read(pending);
}

void Editor::Read(const std::shared_ptr<PendingEdit>& pending) {
  table_.Read(
      {{kRevisionKey, ResourceRowKey(pending->edit.key)}, {}},
      [this, pending, alive = alive_](const Result<std::vector<Row>>& rows) {
        if (!*alive) return;
        if (!rows.ok()) {
          return pending->Complete(Error{Errc::kUnavailable, "table"});
        }
        Commit(pending, rows.value());
      });
}

void Editor::Commit(const std::shared_ptr<PendingEdit>& pending,
                    const std::vector<Row>& rows) {
  // The operator already has a reply and may have sent the change again.
  if (pending->done == nullptr) return;
  const Edit& edit = pending->edit;
  const std::string key = ResourceRowKey(edit.key);
  const Row* row = FindRow(rows, key);
  const Row* revision_row = FindRow(rows, kRevisionKey);
  const auto revision = DecodeRevision(revision_row);
  if (!revision.ok()) return pending->Complete(revision.error());

  Revision current_revision;
  if (row != nullptr) {
    const auto resource = DecodeResource(*row);
    if (resource.ok()) current_revision = resource.value().revision;
  }
  const RowVersion version = row == nullptr ? RowVersion() : row->version;
  const bool changed_since_read =
      pending->was_read && version != pending->resource_version;
  if (changed_since_read ||
      (edit.expected && *edit.expected != current_revision)) {
    return pending->Complete(Error{Errc::kConflict, edit.key.name});
  }
  if (!edit.spec && row == nullptr) {
    return pending->Complete(Error{Errc::kNotFound, edit.key.name});
  }
  pending->was_read = true;
  pending->resource_version = version;
  pending->change = {revision.value().next(), edit.key, !edit.spec,
                     edit.spec.value_or("")};
  const Change& change = pending->change;

  Transaction transaction;
  transaction.conditions.push_back({key, version});
  transaction.conditions.push_back({kRevisionKey, revision_row == nullptr
                                                      ? RowVersion()
                                                      : revision_row->version});
  std::optional<std::string> value;
  if (edit.spec) {
    value = EncodeResource({edit.key, *edit.spec, change.revision});
  }
  transaction.writes.push_back({key, std::move(value)});
  transaction.writes.push_back(
      {kRevisionKey, std::to_string(change.revision.value())});
  transaction.writes.push_back(
      {LogRowKey(change.revision), EncodeChange(change)});
  if (change.revision.value() > kMaxLogRows) {
    const Revision oldest(change.revision.value() - kMaxLogRows);
    transaction.writes.push_back({LogRowKey(oldest), std::nullopt});
  }
  writer_.Submit(std::move(transaction), [this, pending, alive = alive_](
                                             const table::WriteResult& result) {
    if (*alive) OnCommitted(pending, result);
  });
}

void Editor::OnCommitted(const std::shared_ptr<PendingEdit>& pending,
                         const table::WriteResult& result) {
  const Edit& edit = pending->edit;
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      base::Log(base::Event::kChangeAccepted,
                {{"revision", pending->change.revision.value()},
                 {"kind", ResourceKindName(edit.key.kind)},
                 {"resource", edit.key.name},
                 {"deleted", pending->change.deleted}});
      on_accepted_(pending->change);
      return pending->Complete(pending->change);
    case table::WriteStatus::kUnavailable:
      return pending->Complete(Error{Errc::kUnavailable, "table"});
    case table::WriteStatus::kRejected:
      return pending->Complete(Error{Errc::kTooLarge, "table"});
    case table::WriteStatus::kConflict: {
      const auto& failed = result.failed_keys;
      const bool resource_changed =
          std::find(failed.begin(), failed.end(), ResourceRowKey(edit.key)) !=
          failed.end();
      if (resource_changed || ++pending->lost_races > kMaxLostRaces) {
        base::Log(base::Event::kChangeRejected,
                  {{"kind", ResourceKindName(edit.key.kind)},
                   {"resource", edit.key.name},
                   {"races", pending->lost_races}});
        return pending->Complete(Error{Errc::kConflict, edit.key.name});
      }
      return Read(pending);
    }
  }
}

}  // namespace mangospread::config
