/// @file
/// Claims idempotency keys and stores their results.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "gateway/keys/key_row.hpp"
#include "table/writer.hpp"

namespace mangospread::gateway {

enum class ClaimStatus : unsigned char {
  kGranted,   ///< The request may be sent, by this caller only.
  kStored,    ///< The stored response of an earlier request.
  kUnknown,   ///< An earlier request may have run.
  kMismatch,  ///< The key was used for another request.
  /// Not claimed, as the table was unavailable or did not respond in time.
  kUnavailable,
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  net::Response response;  ///< Set if the status is kStored.
};

struct KeyStoreOptions {
  NodeId node;
  Incarnation incarnation;
  /// Initial and maximum delay between reads of a key that another request
  /// holds; the delay doubles after each read.
  Milliseconds initial_poll_delay{10};
  Milliseconds max_poll_delay{200};
  /// Delay before a result is written again after the table was unavailable.
  Milliseconds retry_delay{500};
  /// Maximum time a caller waits for the release of its claim.
  Milliseconds release_wait{1'000};
};

struct KeyCounters {
  std::uint64_t claimed = 0;
  std::uint64_t replayed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t mismatched = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t released = 0;
  std::uint64_t release_delayed = 0;
};

/// Claims keys for requests of this node. A claim inserts a row on condition
/// that it does not exist, so of all requests with the same key, on any node,
/// at most one is granted the claim. The others wait for the holder's result
/// until their deadline.
///
/// A claim records the node and incarnation of its holder. After that process
/// has terminated it cannot be determined whether the request was sent, so the
/// outcome of the key is unknown, and the key is not granted again, until the
/// row is swept.
class KeyStore {
 public:
  /// True if the process that holds a claim has certainly or probably
  /// terminated. A false positive gives a caller the outcome `unknown`; it
  /// never causes a second run.
  using HolderTerminated = std::function<bool(const NodeId&, Incarnation)>;

  KeyStore(base::EventLoop& loop, KeyStoreOptions options, Table& table,
           table::Writer& writer, HolderTerminated holder_terminated);
  ~KeyStore();
  KeyStore(const KeyStore&) = delete;
  KeyStore& operator=(const KeyStore&) = delete;

  /// Claims a key before the request is sent for the first time.
  /// @param done called once, no later than at the deadline. With kUnavailable
  ///   no claim made by this call was used or will be used.
  void Claim(const KeyedRequest& request, MonotonicTime deadline,
             std::function<void(ClaimResult)> done);

  /// Completes all calls of Claim that wait, as at their deadlines.
  void ExpireClaims();

  /// Records the response to the request of a granted claim, or an unknown
  /// outcome if the response is too large to be stored. The row is written in
  /// the background; the write is retried while the table is unavailable.
  void Complete(const std::string& row_key, const net::Response& response);
  /// Records an unknown outcome for a granted claim, in the same way.
  void MarkUnknown(const std::string& row_key);

  /// Deletes a granted claim whose request definitely did not run.
  /// @param done called when the row is deleted, when the table is unavailable,
  ///   or after KeyStoreOptions::release_wait, whichever comes first. Called at
  ///   once if the claim is not held.
  ///
  /// A release that fails or times out continues in the background. The caller
  /// may still get the outcome `not-run`, which is correct: a repeated request
  /// cannot run twice. The repeated request waits until the row is deleted and
  /// is then granted the claim; if this process ends before that, the repeated
  /// request gets `unknown`.
  void Release(const std::string& row_key, std::function<void()> done);

  /// True if no claim is held and no result is left to be written.
  [[nodiscard]] bool idle() const noexcept { return entries_.empty(); }
  [[nodiscard]] const KeyCounters& counters() const noexcept {
    return counters_;
  }

 private:
  struct Waiter;
  struct Entry;
  using WaiterPtr = std::shared_ptr<Waiter>;
  using EntryPtr = std::shared_ptr<Entry>;

  /// Continues a call of Claim: waits for a claim of this process, reads the
  /// row or submits a new claim.
  void Proceed(const WaiterPtr& waiter);
  /// Finishes or delays a request whose key is claimed by this process.
  void JoinEntry(const WaiterPtr& waiter, const EntryPtr& local_claim);
  /// Inserts the row on condition that it does not exist.
  void SubmitClaim(const WaiterPtr& waiter);
  void OnClaim(const WaiterPtr& waiter, const EntryPtr& claim,
               const table::WriteResult& result);
  void ReadRow(const WaiterPtr& waiter);
  void OnRow(const WaiterPtr& waiter, const Row& row);
  void Poll(const WaiterPtr& waiter);
  /// Finishes a call of Claim at its deadline.
  void Expire(const WaiterPtr& waiter);
  /// Status of a request that could not claim its key: kUnknown if another
  /// request with the key may have run, else kUnavailable.
  [[nodiscard]] static ClaimStatus UnclaimedStatus(const Waiter& waiter);
  void Finish(const WaiterPtr& waiter, ClaimResult result);
  /// Writes the result of a claim, or deletes the row of a released one.
  void WriteClaim(const EntryPtr& claim);
  void OnClaimWritten(const EntryPtr& claim, const table::WriteResult& result);
  /// Logs a delayed release and calls back the caller that waits for it.
  void ReportDelay(Entry& claim);

  base::EventLoop& loop_;
  KeyStoreOptions options_;
  Table& table_;
  table::Writer& writer_;
  HolderTerminated holder_terminated_;
  KeyCounters counters_;
  std::map<std::string, EntryPtr> entries_;
  std::set<WaiterPtr> waiters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
