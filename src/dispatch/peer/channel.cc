#include "dispatch/peer/channel.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/loop/clock.hpp"
#include "base/loop/protected_call.hpp"

namespace mangospread::dispatch {
namespace {

constexpr std::uint32_t kMaxFrameBytes = 16 * 1024 * 1024;
/// Limit before the other end has introduced itself.
constexpr std::uint32_t kMaxFirstFrameBytes = 16 * 1024;
constexpr int kBacklog = 128;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

Channel::Channel(base::EventLoop& loop, ChannelTimeouts timeouts, bool connects)
    : loop_(loop),
      timeouts_(timeouts),
      connects_(connects),
      introduced_(connects) {}

Channel::~Channel() {
  if (buffer_ != nullptr) bufferevent_free(buffer_);
}

std::shared_ptr<Channel> Channel::Connect(base::EventLoop& loop,
                                          const Address& address,
                                          ChannelTimeouts timeouts,
                                          ChannelHooks hooks) {
  std::shared_ptr<Channel> channel(new Channel(loop, timeouts, true));
  channel->hooks_ = std::move(hooks);
  bufferevent* buffer =
      bufferevent_socket_new(loop.raw(), -1, BEV_OPT_CLOSE_ON_FREE);
  channel->Attach(buffer);
  const sockaddr_in target = ToSocketAddress(address);
  if (bufferevent_socket_connect(buffer,
                                 reinterpret_cast<const sockaddr*>(&target),
                                 sizeof(target)) != 0) {
    loop.Post([channel] { channel->Fail(Errc::kConnectFailed); });
  }
  return channel;
}

std::shared_ptr<Channel> Channel::Accept(base::EventLoop& loop, int socket,
                                         ChannelTimeouts timeouts) {
  std::shared_ptr<Channel> channel(new Channel(loop, timeouts, false));
  channel->Attach(
      bufferevent_socket_new(loop.raw(), socket, BEV_OPT_CLOSE_ON_FREE));
  return channel;
}

void Channel::Attach(bufferevent* buffer) {
  buffer_ = buffer;
  self_ = shared_from_this();
  bufferevent_setcb(
      buffer,
      [](bufferevent* /*buffer*/, void* arg) {
        const auto channel = static_cast<Channel*>(arg)->shared_from_this();
        base::CallProtected("channel", [&] { channel->OnReadable(); });
      },
      nullptr,
      [](bufferevent* raw, short events, void* arg) {  // NOLINT
        const auto channel = static_cast<Channel*>(arg)->shared_from_this();
        if ((events & BEV_EVENT_CONNECTED) != 0) {
          const int on = 1;
          setsockopt(bufferevent_getfd(raw), IPPROTO_TCP, TCP_NODELAY, &on,
                     sizeof(on));
        } else if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          const bool refused = (events & BEV_EVENT_ERROR) != 0 &&
                               EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
          base::CallProtected("channel", [&] {
            channel->Fail(refused ? Errc::kConnectFailed
                                  : Errc::kConnectionLost);
          });
        }
      },
      this);
  bufferevent_enable(buffer, EV_READ | EV_WRITE);
  if (bufferevent_getfd(buffer) >= 0) {
    const int on = 1;
    setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
  }
  read_at_ = ticked_at_ = base::MonotonicNow();
  tick_timer_ = loop_.Every(timeouts_.ping_period, 0, [this] { OnTick(); });
}

void Channel::Send(const Frame& frame) {
  if (buffer_ == nullptr) return;
  const std::string bytes = EncodeFrame(frame);
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
  evbuffer* output = bufferevent_get_output(buffer_);
  evbuffer_add(output, &size, sizeof(size));
  evbuffer_add(output, bytes.data(), bytes.size());
  sent_at_ = base::MonotonicNow();
}

void Channel::OnReadable() {
  read_at_ = base::MonotonicNow();
  while (buffer_ != nullptr) {
    evbuffer* input = bufferevent_get_input(buffer_);
    std::uint32_t size = 0;
    if (evbuffer_copyout(input, &size, sizeof(size)) <
        static_cast<ev_ssize_t>(sizeof(size))) {
      return;
    }
    size = ntohl(size);
    if (size > (introduced_ ? kMaxFrameBytes : kMaxFirstFrameBytes)) {
      return Fail(Errc::kMalformed);
    }
    if (evbuffer_get_length(input) < sizeof(size) + size) return;
    evbuffer_drain(input, sizeof(size));
    std::string bytes(size, '\0');
    evbuffer_remove(input, bytes.data(), size);
    auto frame = DecodeFrame(bytes);
    if (!frame.ok()) return Fail(Errc::kMalformed);
    if (const auto* ping = std::get_if<Ping>(&frame.value())) {
      base::CallProtected("ping", [&] { OnPing(*ping); });
      continue;
    }
    if (!hooks_.on_frame) continue;
    // The frames that follow are processed even if this one cannot be.
    base::CallProtected("frame",
                        [&] { hooks_.on_frame(std::move(frame.value())); });
  }
}

void Channel::OnPing(const Ping& ping) {
  if (ping.sent_at.count() > 0) SendReply(ping);
  const bool confirms =
      ping.confirms.count() > 0 && ping.confirms <= base::MonotonicNow();
  if (confirms && hooks_.on_confirmed) {
    hooks_.on_confirmed(ping.confirms, ping.permission);
  }
}

void Channel::SendReply(const Ping& ping) {
  Ping reply;
  if (hooks_.permission) reply.permission = hooks_.permission();
  if (reply.permission != Permission::kNone) reply.confirms = ping.sent_at;
  // Only the side that accepted asks in a reply, so no ping is answered for
  // ever.
  if (!connects_ && hooks_.wants_confirmation && hooks_.wants_confirmation()) {
    reply.sent_at = base::MonotonicNow();
  }
  if (reply.confirms.count() > 0 || reply.sent_at.count() > 0) Send(reply);
}

void Channel::OnTick() {
  const auto keep_alive = shared_from_this();
  const MonotonicTime now = base::MonotonicNow();
  // After this process was paused, frames of the peer may not have been read
  // yet.
  const bool paused = now - ticked_at_ > 2 * timeouts_.ping_period;
  ticked_at_ = now;
  if (paused) read_at_ = std::max(read_at_, now - timeouts_.ping_period);
  if (now - read_at_ > timeouts_.receive_timeout) return Fail(Errc::kTimeout);
  if (connects_) {
    Send(Ping{now, {}, Permission::kNone});
  } else if (now - sent_at_ >= timeouts_.ping_period / 2) {
    Send(Ping());
  }
}

void Channel::Fail(Errc reason) {
  if (buffer_ == nullptr) return;
  const auto keep_alive = shared_from_this();
  Close();
  if (hooks_.on_closed) std::exchange(hooks_, {}).on_closed(reason);
}

void Channel::Close() {
  if (buffer_ == nullptr) return;
  tick_timer_.reset();
  bufferevent_free(std::exchange(buffer_, nullptr));
  // Deferred, since self_ may be the last reference while a member function
  // runs.
  loop_.Post([self = std::exchange(self_, nullptr)] {});
}

ChannelListener::ChannelListener(base::EventLoop& loop,
                                 ChannelTimeouts timeouts, Handler handler)
    : loop_(loop), timeouts_(timeouts), handler_(std::move(handler)) {}

ChannelListener::~ChannelListener() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<Address> ChannelListener::Listen(const Address& address) {
  const sockaddr_in local = ToSocketAddress(address);
  listener_ = evconnlistener_new_bind(
      loop_.raw(),
      [](evconnlistener* /*listener*/, evutil_socket_t socket,
         sockaddr* /*peer*/, int /*size*/, void* arg) {
        auto* self = static_cast<ChannelListener*>(arg);
        base::CallProtected("listener", [&] {
          self->handler_(Channel::Accept(self->loop_, socket, self->timeouts_));
        });
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<const sockaddr*>(&local), sizeof(local));
  if (listener_ == nullptr) {
    return Error{Errc::kUnavailable, ToString(address)};
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return Address{address.ip, ntohs(bound.sin_port)};
}

}  // namespace mangospread::dispatch
