/// @file
/// Accepts operators' changes.
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

/// One requested change.
struct Edit {
  ResourceKey key;
  std::optional<std::string> spec;   ///< Canonical JSON; absent to delete.
  std::optional<Revision> expected;  ///< Version the operator has seen; 0
                                     ///< requires that there is none.
};

/// Commits changes. A change is accepted when its transaction is committed:
/// the resource row, the revision row and the log row change together.
class Editor {
 public:
  using Callback = std::function<void(Result<Change>)>;

  /// Operators' tools give up soon after; a table outage lasts hours.
  static constexpr Milliseconds kAnswerWithin{10'000};

  /// @param accepted called with each committed change before the operator is
  ///   told, to install and push it.
  /// @param answer_within the operator hears kUnknown after this time; a
  ///   change that is found committed later is still installed and pushed.
  Editor(base::EventLoop& loop, Table& table, table::Writer& writer,
         std::function<void(const Change&)> accepted,
         Milliseconds answer_within = kAnswerWithin);
  ~Editor();
  Editor(const Editor&) = delete;
  Editor& operator=(const Editor&) = delete;

  /// @errors kConflict (another operator's change came first), kNotFound
  ///   (delete of an absent resource), kUnavailable (not accepted), kUnknown
  ///   (the table's answer is still awaited).
  void Apply(Edit edit, Callback done);

 private:
  struct Attempt;

  void Read(const std::shared_ptr<Attempt>& attempt);
  void Commit(const std::shared_ptr<Attempt>& attempt,
              const std::vector<Row>& rows);
  void OnCommitted(const std::shared_ptr<Attempt>& attempt,
                   const table::WriteResult& result);

  base::EventLoop& loop_;
  Table& table_;
  table::Writer& writer_;
  std::function<void(const Change&)> accepted_;
  Milliseconds answer_within_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::config
