#include "config/editor.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "config/rows.hpp"

namespace mangospread::config {
namespace {

/// Lost races for the revision row before the change is given up. Six nodes
/// that commit at once need at most six tries each.
constexpr int kMaxRaces = 20;

/// Entries of the change log that stay in the table.
constexpr std::uint64_t kMaxLogRows = 5'000;

}  // namespace

struct Editor::Attempt {
  void Answer(const Result<Change>& result) {
    timer.reset();
    if (const auto fn = std::exchange(done, nullptr)) fn(result);
  }

  base::Timer timer;
  Edit edit;
  Callback done;
  Change change;
  RowVersion resource_version;
  bool read_before = false;
  int races = 0;
};

Editor::Editor(base::EventLoop& loop, Table& table, table::Writer& writer,
               std::function<void(const Change&)> accepted,
               Milliseconds answer_within)
    : loop_(loop),
      table_(table),
      writer_(writer),
      accepted_(std::move(accepted)),
      answer_within_(answer_within) {}

Editor::~Editor() { *alive_ = false; }

void Editor::Apply(Edit edit, Callback done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->edit = std::move(edit);
  attempt->done = std::move(done);
  attempt->timer =
      loop_.After(answer_within_, [weak = std::weak_ptr<Attempt>(attempt)] {
        const auto late = weak.lock();
        if (late != nullptr) late->Answer(Error{Errc::kUnknown, "table"});
      });
  Read(attempt);
}

void Editor::Read(const std::shared_ptr<Attempt>& attempt) {
  table_.Read(
      {{kRevisionKey, ResourceRowKey(attempt->edit.key)}, {}},
      [this, attempt, alive = alive_](const Result<std::vector<Row>>& rows) {
        if (!*alive) return;
        if (!rows.ok()) {
          return attempt->Answer(Error{Errc::kUnavailable, "table"});
        }
        Commit(attempt, rows.value());
      });
}

void Editor::Commit(const std::shared_ptr<Attempt>& attempt,
                    const std::vector<Row>& rows) {
  // The operator was answered; the change may have been sent again.
  if (attempt->done == nullptr) return;
  const Edit& edit = attempt->edit;
  const std::string key = ResourceRowKey(edit.key);
  const Row* row = FindRow(rows, key);
  const Row* revision_row = FindRow(rows, kRevisionKey);
  const auto revision = DecodeRevision(revision_row);
  if (!revision.ok()) return attempt->Answer(revision.error());

  Revision seen;
  if (row != nullptr) {
    const auto resource = DecodeResource(*row);
    if (resource.ok()) seen = resource.value().revision;
  }
  const RowVersion version = row == nullptr ? RowVersion() : row->version;
  const bool overtaken =
      attempt->read_before && version != attempt->resource_version;
  if (overtaken || (edit.expected && *edit.expected != seen)) {
    return attempt->Answer(Error{Errc::kConflict, edit.key.name});
  }
  if (!edit.spec && row == nullptr) {
    return attempt->Answer(Error{Errc::kNotFound, edit.key.name});
  }
  attempt->read_before = true;
  attempt->resource_version = version;
  attempt->change = {revision.value().next(), edit.key, !edit.spec,
                     edit.spec.value_or("")};
  const Change& change = attempt->change;

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
  writer_.Submit(std::move(transaction), [this, attempt, alive = alive_](
                                             const table::WriteResult& result) {
    if (*alive) OnCommitted(attempt, result);
  });
}

void Editor::OnCommitted(const std::shared_ptr<Attempt>& attempt,
                         const table::WriteResult& result) {
  const Edit& edit = attempt->edit;
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      base::Log(base::Event::kChangeAccepted,
                {{"revision", attempt->change.revision.value()},
                 {"kind", ResourceKindName(edit.key.kind)},
                 {"resource", edit.key.name},
                 {"deleted", attempt->change.deleted}});
      accepted_(attempt->change);
      return attempt->Answer(attempt->change);
    case table::WriteStatus::kUnavailable:
      return attempt->Answer(Error{Errc::kUnavailable, "table"});
    case table::WriteStatus::kConflict: {
      const auto& failed = result.failed_keys;
      const bool resource_changed =
          std::find(failed.begin(), failed.end(), ResourceRowKey(edit.key)) !=
          failed.end();
      if (resource_changed || ++attempt->races > kMaxRaces) {
        base::Log(base::Event::kChangeRejected,
                  {{"kind", ResourceKindName(edit.key.kind)},
                   {"resource", edit.key.name},
                   {"races", attempt->races}});
        return attempt->Answer(Error{Errc::kConflict, edit.key.name});
      }
      return Read(attempt);
    }
  }
}

}  // namespace mangospread::config
