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

struct Row {
  std::string key;
  std::string value;
  RowVersion version;
};

/// Keys to read, and ranges by prefix in key order.
struct ReadRequest {
  struct Range {
    std::string prefix;
    std::string after;  ///< Exclusive lower bound; empty for the start.
    std::size_t limit = 1000;
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

struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactResult {
  enum class Status : unsigned char {
    kCommitted,
    kConflict,     ///< Not applied; failed_keys says which conditions failed.
    kUnavailable,  ///< Definitely not applied.
    kUnknown,      ///< May have been applied, now or later.
  };
  Status status = Status::kUnknown;
  std::vector<std::string> failed_keys;
  /// At least the version given to every row written by this transaction; a
  /// table that has gone on meanwhile may report a newer one. Read the row
  /// before a condition on it matters.
  RowVersion version;
};

/// Transactional rows. Versions are unique across rows and only grow, so a
/// row that was deleted and created again never repeats a version.
class Table {
 public:
  using ReadCallback = std::function<void(Result<std::vector<Row>>)>;
  using TransactCallback = std::function<void(TransactResult)>;

  virtual ~Table() = default;

  /// Reads current rows; absent keys are left out of the answer.
  /// @errors kUnavailable, kTimeout, kMalformed.
  virtual void Read(ReadRequest request, ReadCallback done) = 0;

  /// Applies all writes if all conditions hold, else none.
  virtual void Transact(Transaction transaction, TransactCallback done) = 0;
};

}  // namespace mangospread
