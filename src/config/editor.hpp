/// @file
/// Commits operators' configuration changes to the table.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "mangospread/platform/table.hpp"
#include "table/writer.hpp"

namespace mangospread::config {

/// A change of one resource, as requested by an operator.
struct Edit {
  ResourceKey key;
  /// Canonical JSON; absent deletes the resource.
  std::optional<std::string> spec;
  /// Version that the operator last read; 0 requires that the resource does not
  /// exist. Absent accepts any version.
  std::optional<Revision> expected;
};

/// Commits changes. One transaction writes the resource row, the revision row
/// and the log row; a change is accepted once this transaction has committed.
class Editor {
 public:
  using Callback = std::function<void(Result<Change>)>;

  /// Maximum time until an operator gets a reply. Operators' tools time out
  /// soon after, while a table outage may last for hours.
  static constexpr Milliseconds kReplyTimeout{10'000};

  /// @param on_accepted called with each committed change before the operator
  ///   gets the reply, to install and push the change.
  /// @param reply_timeout time after which the operator gets kUnknown; a change
  ///   that turns out to be committed later is still installed and pushed.
  Editor(base::EventLoop& loop, Table& table, table::Writer& writer,
         std::function<void(const Change&)> on_accepted,
         Milliseconds reply_timeout = kReplyTimeout);
  ~Editor();
  Editor(const Editor&) = delete;
  Editor& operator=(const Editor&) = delete;

  /// Commits a change and passes it with its revision to `done`.
  /// @errors kConflict (another operator's change was committed first),
  ///   kNotFound (delete of an absent resource), kUnavailable (not accepted),
  ///   kUnknown (the table has not responded within the reply timeout).
  void Apply(Edit edit, Callback done);

 private:
  struct PendingEdit;

  void Read(const std::shared_ptr<PendingEdit>& pending);
  void Commit(const std::shared_ptr<PendingEdit>& pending,
              const std::vector<Row>& rows);
  void OnCommitted(const std::shared_ptr<PendingEdit>& pending,
                   const table::WriteResult& result);

  base::EventLoop& loop_;
  Table& table_;
  table::Writer& writer_;
  std::function<void(const Change&)> on_accepted_;
  Milliseconds reply_timeout_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::config
