/// @file
/// Transactional rows in memory, used by the embedded platform and by the table
/// stand-in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mangospread/platform/table.hpp"

namespace mangospread::table {

/// The rows, read and written synchronously, without delays or faults.
class MemoryRows {
 public:
  [[nodiscard]] std::vector<Row> Read(const ReadRequest& request) const;
  /// Status is kCommitted or kConflict.
  TransactResult Transact(const Transaction& transaction);

  [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

 private:
  struct StoredRow {
    std::string value;
    RowVersion version;
  };
  std::map<std::string, StoredRow> rows_;
  std::uint64_t commits_ = 0;
};

/// Table over MemoryRows, for a trial installation on one VM. Callbacks run
/// through `post`, so that they are never called inside Read or Transact.
class MemoryTable final : public Table {
 public:
  using Post = std::function<void(std::function<void()>)>;

  explicit MemoryTable(Post post);

  void Read(ReadRequest request, ReadCallback done) override;
  void Transact(Transaction transaction, TransactCallback done) override;

 private:
  MemoryRows rows_;
  Post post_;
};

}  // namespace mangospread::table
