#include "table/memory_table.hpp"

#include <utility>

namespace mangospread::table {

std::vector<Row> MemoryRows::Read(const ReadRequest& request) const {
  std::vector<Row> rows;
  for (const auto& key : request.keys) {
    const auto it = rows_.find(key);
    if (it == rows_.end()) continue;
    rows.push_back({key, it->second.value, it->second.version});
  }
  for (const auto& range : request.ranges) {
    auto it = range.after.empty() ? rows_.lower_bound(range.prefix)
                                  : rows_.upper_bound(range.after);
    for (std::size_t n = 0; n < range.limit && it != rows_.end(); ++it, ++n) {
      if (!it->first.starts_with(range.prefix)) break;
      rows.push_back({it->first, it->second.value, it->second.version});
    }
  }
  return rows;
}

TransactResult MemoryRows::Transact(const Transaction& transaction) {
  TransactResult result;
  for (const Condition& condition : transaction.conditions) {
    const auto it = rows_.find(condition.key);
    const RowVersion current =
        it == rows_.end() ? RowVersion() : it->second.version;
    if (current != condition.version) {
      result.failed_keys.push_back(condition.key);
    }
  }
  if (!result.failed_keys.empty()) {
    result.status = TransactResult::Status::kConflict;
    return result;
  }
  result.status = TransactResult::Status::kCommitted;
  result.version = RowVersion(++commits_);
  for (const Write& write : transaction.writes) {
    if (write.value) {
      rows_[write.key] = {*write.value, result.version};
    } else {
      rows_.erase(write.key);
    }
  }
  return result;
}

MemoryTable::MemoryTable(Post post) : post_(std::move(post)) {}

void MemoryTable::Read(ReadRequest request, ReadCallback done) {
  post_([done = std::move(done), rows = rows_.Read(request)] { done(rows); });
}

void MemoryTable::Transact(Transaction transaction, TransactCallback done) {
  post_([done = std::move(done), result = rows_.Transact(transaction)] {
    done(result);
  });
}

}  // namespace mangospread::table
