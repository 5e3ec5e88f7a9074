/// @file
/// What the leader permits a follower, and until when.
#pragma once

#include <algorithm>
#include <optional>

#include "dispatch/model/permission.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Keeps the permissions of the connected leader. Each counts from the time at
/// which this node sent the message that the leader confirmed, so frames that
/// were delayed, or not read while this process was paused, prolong nothing.
class LeaderContact {
 public:
  /// @param timeout time for which a permission is valid.
  explicit LeaderContact(Milliseconds timeout) : timeout_(timeout) {}

  /// @param hello_sent_at time at which this node introduced itself.
  /// @param permission in the leader's reply; nullopt from a version that
  ///   confirms no pings, which permits everything while it is connected.
  void OnConnected(MonotonicTime hello_sent_at,
                   std::optional<Permission> permission) {
    OnLost();
    connected_ = true;
    confirms_pings_ = permission.has_value();
    if (permission) OnConfirmed(hello_sent_at, *permission);
  }

  /// @param sent_at time at which the confirmed ping was sent.
  void OnConfirmed(MonotonicTime sent_at, Permission permission) {
    confirmed_at_ = std::max(confirmed_at_, sent_at);
    if (permission >= Permission::kLeases) {
      leases_since_ = std::max(leases_since_, sent_at);
    }
    if (permission >= Permission::kStarts) {
      starts_since_ = std::max(starts_since_, sent_at);
    }
  }

  void OnLost() noexcept {
    connected_ = false;
    leases_since_ = starts_since_ = confirmed_at_ = MonotonicTime(0);
  }

  [[nodiscard]] Permission At(MonotonicTime now) const noexcept {
    if (!connected_) return Permission::kNone;
    if (!confirms_pings_ || IsValid(starts_since_, now)) {
      return Permission::kStarts;
    }
    return IsValid(leases_since_, now) ? Permission::kLeases
                                       : Permission::kNone;
  }

  /// True if the leader has handled all that was sent to it up to this time,
  /// since it handles the messages of a channel in order. A ping of the same
  /// time may have been sent before. Not known of a version that confirms no
  /// pings, and then taken for granted.
  [[nodiscard]] bool HasHandled(MonotonicTime sent_at) const noexcept {
    return connected_ && (!confirms_pings_ || confirmed_at_ > sent_at);
  }

 private:
  [[nodiscard]] bool IsValid(MonotonicTime since,
                             MonotonicTime now) const noexcept {
    return since.count() > 0 && now - since <= timeout_;
  }

  Milliseconds timeout_;
  bool connected_ = false;
  bool confirms_pings_ = false;
  MonotonicTime leases_since_{0};  ///< 0 if there is no permission.
  MonotonicTime starts_since_{0};
  MonotonicTime confirmed_at_{0};  ///< Newest message that was confirmed.
};

}  // namespace mangospread::dispatch
