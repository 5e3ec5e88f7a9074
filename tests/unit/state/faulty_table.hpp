/// @file
/// A table in memory whose answers a test can lose, delay or refuse.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "table/memory_table.hpp"

namespace mangospread::test {

/// Requests wait until the test calls Step, which serves the oldest one.
class FaultyTable final : public Table {
 public:
  enum class Fault : unsigned char {
    kNone,
    kLoseReply,    ///< Takes effect; the caller gets kUnknown.
    kLoseRequest,  ///< Takes no effect; the caller gets kUnknown.
    kLate,         ///< The caller gets kUnknown; takes effect at DeliverLate.
    kRefuse,       ///< Definitely unavailable.
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

  /// Serves the oldest request under `fault`.
  void Step(Fault fault = Fault::kNone) {
    auto serve = std::move(pending_.front());
    pending_.pop_front();
    serve(fault);
  }

  /// Applies the oldest transaction held back by kLate.
  TransactResult DeliverLate() {
    const Transaction transaction = std::move(late_.front());
    late_.pop_front();
    return rows.Transact(transaction);
  }

  table::MemoryRows rows;
  /// Commits are answered with a version that is so much newer, as by a table
  /// that has gone on meanwhile.
  std::uint64_t report_ahead = 0;

 private:
  void Serve(const Transaction& transaction, const TransactCallback& done,
             Fault fault) {
    using Status = TransactResult::Status;
    switch (fault) {
      case Fault::kNone: {
        TransactResult result = rows.Transact(transaction);
        if (result.status == Status::kCommitted) {
          result.version = RowVersion(result.version.value() + report_ahead);
        }
        return done(result);
      }
      case Fault::kLoseReply:
        rows.Transact(transaction);
        break;
      case Fault::kLoseRequest:
        break;
      case Fault::kLate:
        late_.push_back(transaction);
        break;
      case Fault::kRefuse:
        return done({Status::kUnavailable, {}, {}});
    }
    done({Status::kUnknown, {}, {}});
  }

  std::deque<std::function<void(Fault)>> pending_;
  std::deque<Transaction> late_;
};

}  // namespace mangospread::test
