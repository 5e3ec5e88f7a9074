/// @file
/// Claims, responses and removal of idempotency keys.
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
  kGranted,      ///< The caller's request may be sent; nobody else will.
  kStored,       ///< An earlier request was answered; the response is given.
  kUnknown,      ///< An earlier request may have run.
  kMismatch,     ///< The key was used for another request.
  kUnavailable,  ///< Not claimed: the table cannot be asked.
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  net::Response response;  ///< With kStored.
};

struct KeyStoreOptions {
  NodeId node;
  Incarnation incarnation;
  /// First and longest pause between reads of a key that another request
  /// holds.
  Milliseconds poll_first{10};
  Milliseconds poll_longest{200};
  /// Pause before a write is repeated that the table did not take.
  Milliseconds retry{500};
  /// Longest time a caller waits for the release of its claim.
  Milliseconds release_wait{1'000};
};

struct KeyCounters {
  std::uint64_t claimed = 0;
  std::uint64_t replayed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t mismatched = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t released = 0;
  std::uint64_t release_failed = 0;
};

/// Keys claimed by this node. A claim is a row that only its absence admits,
/// so of all requests with one key, through any node, at most one is granted.
/// Others wait for the holder's result until their deadline.
///
/// A claim names the holder's node and incarnation. When that process is gone
/// nobody can tell whether it had sent the request, so the key's outcome is
/// unknown from then on, until the row is swept; it is never granted again.
class KeyStore {
 public:
  /// True if the process that holds a claim is certainly or probably gone.
  /// A wrong guess costs a caller an `unknown`, never a second run.
  using HolderGone = std::function<bool(const NodeId&, Incarnation)>;

  KeyStore(base::EventLoop& loop, KeyStoreOptions options, Table& table,
           table::Writer& writer, HolderGone holder_gone);
  ~KeyStore();
  KeyStore(const KeyStore&) = delete;
  KeyStore& operator=(const KeyStore&) = delete;

  /// Claims a key before the first send. `done` is called once, at the
  /// deadline at the latest; kUnavailable then means that no claim of this
  /// call was or will be used.
  void Claim(const KeyUse& use, MonotonicTime deadline,
             std::function<void(ClaimResult)> done);

  /// Records the result of a granted claim. The row is written in the
  /// background and retried while the table is down.
  void Complete(const std::string& row_key, const net::Response& response);
  void MarkUnknown(const std::string& row_key);

  /// Deletes a granted claim whose request definitely did not run. `done` is
  /// called when the row is gone, or after KeyStoreOptions::release_wait.
  ///
  /// A release that fails or takes too long goes on in the background, and
  /// the caller may still be told `not-run`: that is true, and a repeated
  /// request cannot run twice. It is granted once the row is gone; until then
  /// it waits, and if this process ends before the release it gets `unknown`.
  void Release(const std::string& row_key, std::function<void()> done);

  /// True if no claim is held and no result waits to be written.
  [[nodiscard]] bool idle() const noexcept { return held_.empty(); }
  [[nodiscard]] const KeyCounters& counters() const noexcept {
    return counters_;
  }

 private:
  struct Waiter;
  struct Held;
  using WaiterPtr = std::shared_ptr<Waiter>;
  using HeldPtr = std::shared_ptr<Held>;

  void Proceed(const WaiterPtr& waiter);
  /// Answers or delays a request whose key this process holds.
  void JoinHeld(const WaiterPtr& waiter, const HeldPtr& claim);
  void SubmitClaim(const WaiterPtr& waiter);
  void OnClaim(const WaiterPtr& waiter, const HeldPtr& held,
               const table::WriteResult& result);
  void ReadRow(const WaiterPtr& waiter);
  void OnRow(const WaiterPtr& waiter, const Row& row);
  void Poll(const WaiterPtr& waiter);
  void Expire(const WaiterPtr& waiter);
  /// What a request is told that could not claim its key in time.
  [[nodiscard]] static ClaimStatus Unclaimed(const Waiter& waiter);
  void Finish(const WaiterPtr& waiter, ClaimResult result);
  void Settle(const HeldPtr& held);
  void OnSettled(const HeldPtr& held, const table::WriteResult& result);
  /// Lets the caller go whose claim is not released in time.
  void ReportUnreleased(Held& held);

  base::EventLoop& loop_;
  KeyStoreOptions options_;
  Table& table_;
  table::Writer& writer_;
  HolderGone holder_gone_;
  KeyCounters counters_;
  std::map<std::string, HeldPtr> held_;
  std::set<WaiterPtr> waiters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
