/// @file
/// Transactional rows in memory: the embedded platform, and the store behind
/// the table stand-in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mangospread/platform/table.hpp"

namespace mangospread::table {

/// The rows themselves, without any delay or fault.
class MemoryRows {
 public:
  [[nodiscard]] std::vector<Row> Read(const ReadRequest& request) const;
  /// Status is kCommitted or kConflict.
  TransactResult Transact(const Transaction& transaction);

  [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

 private:
  struct Stored {
    std::string value;
    RowVersion version;
  };
  std::map<std::string, Stored> rows_;
  std::uint64_t commits_ = 0;
};

/// Table over MemoryRows for a trial on one VM. Answers through `post`, so
/// that callbacks never run inside a call.
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
