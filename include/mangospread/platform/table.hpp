/// @file
/// Interface of the platform's transactional table service.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"

namespace mangospread {

/// A row as read from the table.
struct Row {
  std::string key;
  std::string value;
  RowVersion version;
};

/// Keys to read, and ranges of keys with a common prefix, read in key order.
struct ReadRequest {
  struct Range {
    std::string prefix;
    std::string after;         ///< Exclusive lower bound; empty for the start.
    std::size_t limit = 1000;  ///< Largest number of rows in the result.
  };
  std::vector<std::string> keys;
  std::vector<Range> ranges;
};

/// Requires that a row has the given version; version 0 requires its absence.
struct Condition {
  std::string key;
  RowVersion version;
};

/// Sets a row, or deletes it when there is no value.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that are applied only if all conditions hold.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// Result of a transaction.
struct TransactResult {
  enum class Status : unsigned char {
    kCommitted,
    kConflict,     ///< Not applied; see failed_keys.
    kUnavailable,  ///< Not applied.
    kUnknown,      ///< May have been applied, or may be applied later.
    /// Not applied. The table does not accept this transaction, for example
    /// because a row is too large, so sending it again has the same result.
    kRejected,
  };
  Status status = Status::kUnknown;
  /// Keys of the conditions that failed.
  std::vector<std::string> failed_keys;
  /// Not less than the version of any row written by this transaction; it may
  /// be greater if the table has applied other transactions since. Read a row
  /// for its exact version before using it in a condition.
  RowVersion version;
};

/// Transactional rows. Versions are unique across rows and only increase, so a
/// row that is deleted and created again never repeats a version.
class Table {
 public:
  using ReadCallback = std::function<void(Result<std::vector<Row>>)>;
  using TransactCallback = std::function<void(TransactResult)>;

  virtual ~Table() = default;

  /// Reads current rows; keys without a row are left out of the result.
  /// @errors kUnavailable, kTimeout, kMalformed.
  virtual void Read(ReadRequest request, ReadCallback done) = 0;

  /// Applies all writes if all conditions hold, and none of them otherwise.
  virtual void Transact(Transaction transaction, TransactCallback done) = 0;
};

}  // namespace mangospread
