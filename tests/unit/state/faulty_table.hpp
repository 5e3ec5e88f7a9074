/// @file
/// A table in memory whose requests a test can lose, delay or refuse.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "table/memory_table.hpp"

namespace mangospread::test {

/// Requests are queued until the test calls Step, which handles the oldest one.
class FaultyTable final : public Table {
 public:
  enum class Fault : unsigned char {
    kNone,
    kLoseReply,    ///< Takes effect; the caller gets kUnknown.
    kLoseRequest,  ///< Takes no effect; the caller gets kUnknown.
    /// The caller gets kUnknown; takes effect in DeliverDelayed.
    kDelayRequest,
    kRefuse,  ///< Definitely unavailable.
  };

  void Read(ReadRequest request, ReadCallback done) override {
    pending_.emplace_back([this, request = std::move(request),
                           done = std::move(done)](Fault fault) {
      if (fault != Fault::kNone) return done(Error{Errc::kTimeout, "table"});
      done(rows.Read(request));
    });
  }

  void Transact(Transaction transaction, TransactCallback done) override {
    pending_.emplace_back([this, transaction = std::move(transaction),
                           done = std::move(done)](Fault fault) {
      Serve(transaction, done, fault);
    });
  }

  [[nodiscard]] std::size_t pending() const { return pending_.size(); }

  /// Handles the oldest request with `fault`.
  void Step(Fault fault = Fault::kNone) {
    auto serve = std::move(pending_.front());
    pending_.pop_front();
    serve(fault);
  }

  /// Applies the oldest transaction delayed by kDelayRequest.
  TransactResult DeliverDelayed() {
    const Transaction transaction = std::move(delayed_.front());
    delayed_.pop_front();
    return rows.Transact(transaction);
  }

  table::MemoryRows rows;
  /// True for transactions that the table does not accept; may be empty.
  std::function<bool(const Transaction&)> rejects;
  /// Added to the version that a commit reports, as by a table with further
  /// commits in the meantime.
  std::uint64_t reported_version_offset = 0;

 private:
  void Serve(const Transaction& transaction, const TransactCallback& done,
             Fault fault) {
    using Status = TransactResult::Status;
    if (rejects && rejects(transaction)) {
      return done({Status::kRejected, {}, {}});
    }
    switch (fault) {
      case Fault::kNone: {
        TransactResult result = rows.Transact(transaction);
        if (result.status == Status::kCommitted) {
          result.version =
              RowVersion(result.version.value() + reported_version_offset);
        }
        return done(result);
      }
      case Fault::kLoseReply:
        rows.Transact(transaction);
        break;
      case Fault::kLoseRequest:
        break;
      case Fault::kDelayRequest:
        delayed_.push_back(transaction);
        break;
      case Fault::kRefuse:
        return done({Status::kUnavailable, {}, {}});
    }
    done({Status::kUnknown, {}, {}});
  }

  std::deque<std::function<void(Fault)>> pending_;
  std::deque<Transaction> delayed_;
};

}  // namespace mangospread::test
