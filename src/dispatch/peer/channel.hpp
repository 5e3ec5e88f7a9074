/// @file
/// A TCP connection between two nodes that carries frames.
#pragma once

#include <functional>
#include <memory>

#include "base/loop/event_loop.hpp"
#include "dispatch/model/permission.hpp"
#include "dispatch/peer/frames.hpp"
#include "mangospread/address.hpp"

struct bufferevent;
struct evconnlistener;

namespace mangospread::dispatch {

struct ChannelHooks {
  std::function<void(Frame)> on_frame;
  /// Called when the connection has closed, at most once and never from within
  /// Send.
  std::function<void(Errc reason)> on_closed;
  /// What this side permits its peer at present. Null or kNone if nothing; then
  /// the peer's pings are not confirmed.
  std::function<Permission()> permission;
  /// True if a reply to the peer's ping is to be confirmed in turn. May be
  /// null.
  std::function<bool()> wants_confirmation;
  /// Called when the peer has confirmed a ping that was sent at this time.
  std::function<void(MonotonicTime sent_at, Permission permission)>
      on_confirmed;
};

struct ChannelTimeouts {
  /// Period at which the channel checks the receive timeout. The side that
  /// connected sends a ping to be confirmed, the other one a ping if it sent
  /// nothing for half a period.
  Milliseconds ping_period{300};
  /// The channel fails when it receives nothing for this long, since a
  /// connection can stop delivering data without an error.
  Milliseconds receive_timeout{1'100};
};

/// Pings its peer and fails when it receives nothing for the receive timeout.
/// Keeps itself alive until it is closed.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  /// Connects to a peer. Frames sent before the connection is established are
  /// queued. A failure is reported through on_closed.
  [[nodiscard]] static std::shared_ptr<Channel> Connect(
      base::EventLoop& loop, const Address& address, ChannelTimeouts timeouts,
      ChannelHooks hooks);
  /// Creates a channel on a connected socket and takes ownership of the socket.
  [[nodiscard]] static std::shared_ptr<Channel> Accept(
      base::EventLoop& loop, int socket, ChannelTimeouts timeouts);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void SetHooks(ChannelHooks hooks) { hooks_ = std::move(hooks); }
  void Send(const Frame& frame);
  /// Closes without calling on_closed.
  void Close();
  [[nodiscard]] bool open() const noexcept { return buffer_ != nullptr; }
  /// Accepts frames of any size from the other end, which has introduced
  /// itself. Before that an accepted channel takes only small ones.
  void SetIntroduced() noexcept { introduced_ = true; }

 private:
  Channel(base::EventLoop& loop, ChannelTimeouts timeouts, bool connects);
  void Attach(bufferevent* buffer);
  void OnReadable();
  void OnPing(const Ping& ping);
  /// Confirms a ping if this side permits anything.
  void SendReply(const Ping& ping);
  void OnTick();
  void Fail(Errc reason);

  base::EventLoop& loop_;
  ChannelTimeouts timeouts_;
  bool connects_;  ///< This side connected.
  bool introduced_;
  ChannelHooks hooks_;
  bufferevent* buffer_ = nullptr;
  MonotonicTime read_at_{0};
  MonotonicTime ticked_at_{0};
  MonotonicTime sent_at_{0};
  base::Timer tick_timer_;
  std::shared_ptr<Channel> self_;  ///< Reset by Close.
};

/// Accepts connections and creates a channel for each.
class ChannelListener {
 public:
  using Handler = std::function<void(std::shared_ptr<Channel>)>;

  ChannelListener(base::EventLoop& loop, ChannelTimeouts timeouts,
                  Handler handler);
  ~ChannelListener();
  ChannelListener(const ChannelListener&) = delete;
  ChannelListener& operator=(const ChannelListener&) = delete;

  /// Port 0 selects a free port. Returns the address that was bound.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Listen(const Address& address);

 private:
  base::EventLoop& loop_;
  ChannelTimeouts timeouts_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace mangospread::dispatch
