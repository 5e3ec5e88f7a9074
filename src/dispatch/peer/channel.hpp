/// @file
/// A connection between two nodes that carries frames.
#pragma once

#include <functional>
#include <memory>

#include "base/loop/event_loop.hpp"
#include "dispatch/peer/frames.hpp"
#include "mangospread/address.hpp"

struct bufferevent;
struct evconnlistener;

namespace mangospread::dispatch {

struct ChannelHooks {
  std::function<void(Frame)> on_frame;
  /// The connection is over. Called at most once, never from within Send.
  std::function<void(Errc why)> on_closed;
};

struct ChannelTimeouts {
  Milliseconds ping_period{300};
  /// A peer that sends nothing for this long is taken for lost, since a
  /// connection can go silent without an error.
  Milliseconds silence{1'100};
};

/// Pings its peer and closes when the peer is silent. Keeps itself alive until
/// it is closed.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  [[nodiscard]] static std::shared_ptr<Channel> Connect(
      base::EventLoop& loop, const Address& address, ChannelTimeouts timeouts,
      ChannelHooks hooks);
  /// Takes over a connected socket.
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

 private:
  Channel(base::EventLoop& loop, ChannelTimeouts timeouts);
  void Attach(bufferevent* buffer);
  void OnReadable();
  void OnTick();
  void Fail(Errc why);

  base::EventLoop& loop_;
  ChannelTimeouts timeouts_;
  ChannelHooks hooks_;
  bufferevent* buffer_ = nullptr;
  MonotonicTime heard_at_{0};
  MonotonicTime ticked_at_{0};
  MonotonicTime sent_at_{0};
  base::Timer tick_;
  std::shared_ptr<Channel> self_;
};

/// Accepts channels.
class ChannelListener {
 public:
  using Handler = std::function<void(std::shared_ptr<Channel>)>;

  ChannelListener(base::EventLoop& loop, ChannelTimeouts timeouts,
                  Handler handler);
  ~ChannelListener();
  ChannelListener(const ChannelListener&) = delete;
  ChannelListener& operator=(const ChannelListener&) = delete;

  /// Port 0 picks a free one.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Listen(const Address& address);

 private:
  base::EventLoop& loop_;
  ChannelTimeouts timeouts_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
};

}  // namespace mangospread::dispatch
