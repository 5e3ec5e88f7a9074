#include "proxy/proxy.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "sockets.hpp"

namespace mangospread::standin {
namespace detail {

/// The connection of a client and the matching one to the target. Owned by the
/// proxy and by the timers of delayed chunks.
class ProxyLink : public std::enable_shared_from_this<ProxyLink> {
 public:
  enum Side { kClient = 0, kTarget = 1 };

  explicit ProxyLink(Proxy& proxy) : proxy_(proxy) {}
  ~ProxyLink() { Free(); }
  ProxyLink(const ProxyLink&) = delete;
  ProxyLink& operator=(const ProxyLink&) = delete;

  bool Start(int fd, const Address& target) {
    SetNoDelay(fd);
    const auto add_end = [this](int socket, Side side) {
      ends_[side] = {this, side,
                     bufferevent_socket_new(proxy_.loop_.raw(), socket,
                                            BEV_OPT_CLOSE_ON_FREE)};
      bufferevent_setcb(ends_[side].bev, OnRead, OnWritten, OnEvent,
                        &ends_[side]);
      bufferevent_enable(ends_[side].bev, EV_READ | EV_WRITE);
    };
    add_end(fd, kClient);
    add_end(-1, kTarget);
    sockaddr_in address = ToSocketAddress(target);
    return bufferevent_socket_connect(ends_[kTarget].bev,
                                      reinterpret_cast<sockaddr*>(&address),
                                      sizeof(address)) == 0;
  }

  [[nodiscard]] bool IsFrom(int pid) const {
    bufferevent* client = ends_[kClient].bev;
    return client != nullptr && IsFromProcess(bufferevent_getfd(client), pid);
  }

  void StopForwarding() {
    forwarding_stopped_ = true;
    for (const LinkEnd& end : ends_) {
      if (end.bev != nullptr) bufferevent_disable(end.bev, EV_READ | EV_WRITE);
    }
  }

  void Close() {
    const auto self = shared_from_this();
    Free();
    proxy_.Remove(self);
  }

 private:
  struct LinkEnd {
    ProxyLink* link = nullptr;
    Side side = kClient;
    bufferevent* bev = nullptr;
  };

  static void OnRead(bufferevent* /*bev*/, void* arg) {
    const auto* end = static_cast<LinkEnd*>(arg);
    end->link->shared_from_this()->ProcessInput(end->side);
  }

  static void OnWritten(bufferevent* /*bev*/, void* arg) {
    const auto* end = static_cast<LinkEnd*>(arg);
    if (end->link->close_when_written_) end->link->Close();
  }

  static void OnEvent(bufferevent* /*bev*/, short mask, void* arg) {  // NOLINT
    const auto* end = static_cast<LinkEnd*>(arg);
    if ((mask & BEV_EVENT_CONNECTED) != 0) {
      SetNoDelay(bufferevent_getfd(end->bev));
      return;
    }
    end->link->shared_from_this()->OnClosed(end->side);
  }

  void Free() {
    for (LinkEnd& end : ends_) {
      if (end.bev != nullptr) bufferevent_free(std::exchange(end.bev, nullptr));
    }
  }

  void ProcessInput(Side from) {
    evbuffer* input = bufferevent_get_input(ends_[from].bev);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    Faults& faults = proxy_.faults_;
    const bool up = from == kClient;
    if (!up && (discard_replies_ || BeginReplyLoss(faults))) {
      proxy_.counters_.dropped_bytes += bytes.size();
      if (close_on_reply_) CloseForFault();
      return;
    }
    if (up ? faults.drop_up : faults.drop_down) {
      proxy_.counters_.dropped_bytes += bytes.size();
      return;
    }
    std::uint64_t& forwarded = forwarded_bytes_[from];
    const std::int64_t limit = up ? faults.cut_after_up : faults.cut_after_down;
    const auto rest = static_cast<std::int64_t>(limit - forwarded);
    const bool at_limit =
        limit >= 0 && static_cast<std::int64_t>(bytes.size()) >= rest;
    if (at_limit) bytes.resize(rest < 0 ? 0 : static_cast<std::size_t>(rest));
    forwarded += bytes.size();
    (up ? proxy_.counters_.bytes_up : proxy_.counters_.bytes_down) +=
        bytes.size();
    Forward(up ? kTarget : kClient, std::move(bytes), at_limit);
    if (up && faults.cut_requests > 0) CloseClient(faults);
  }

  /// Starts to discard the data from the target if `lose_replies` or
  /// `cut_replies` is left. Returns false if neither is.
  bool BeginReplyLoss(Faults& faults) {
    if (faults.lose_replies > 0) {
      --faults.lose_replies;
    } else if (faults.cut_replies > 0) {
      --faults.cut_replies;
      close_on_reply_ = true;
    } else {
      return false;
    }
    ++proxy_.counters_.lost_replies;
    discard_replies_ = true;
    return true;
  }

  /// Closes the connection of the client; from then on, data from the target is
  /// discarded.
  void CloseClient(Faults& faults) {
    --faults.cut_requests;
    ++proxy_.counters_.cut;
    discard_replies_ = true;
    if (ends_[kClient].bev != nullptr) {
      bufferevent_free(std::exchange(ends_[kClient].bev, nullptr));
    }
  }

  void CloseForFault() {
    ++proxy_.counters_.cut;
    Close();
  }

  void Forward(Side to, std::string bytes, bool close_after) {
    RunDelayed([this, to, bytes = std::move(bytes), close_after] {
      if (ends_[to].bev == nullptr) return;
      evbuffer_add(bufferevent_get_output(ends_[to].bev), bytes.data(),
                   bytes.size());
      if (!close_after) return;
      ++proxy_.counters_.cut;
      CloseWhenWritten(to);
    });
  }

  void OnClosed(Side side) {
    if (forwarding_stopped_) return;
    const Side other = side == kClient ? kTarget : kClient;
    RunDelayed([this, other] { CloseWhenWritten(other); });
  }

  void CloseWhenWritten(Side side) {
    bufferevent* bev = ends_[side].bev;
    if (bev == nullptr ||
        evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
      Close();
    } else {
      close_when_written_ = true;
    }
  }

  /// Runs `fn` after the configured delay, in the order of the calls. Timers
  /// that are due at the same time fire in any order, so each runs the function
  /// that has waited longest.
  void RunDelayed(std::function<void()> fn) {
    const int delay = proxy_.faults_.delay_ms;
    if (delay == 0 && delayed_.empty()) {
      fn();
      return;
    }
    delayed_.push_back(std::move(fn));
    auto timer = std::make_shared<base::Timer>();
    *timer = proxy_.loop_.After(
        Milliseconds(delay),
        [self = shared_from_this(), timer] { self->RunLongestDelayed(); });
  }

  void RunLongestDelayed() {
    const auto fn = std::move(delayed_.front());
    delayed_.pop_front();
    if (!forwarding_stopped_) fn();
  }

  Proxy& proxy_;
  LinkEnd ends_[2];
  std::uint64_t forwarded_bytes_[2] = {0, 0};
  std::deque<std::function<void()>> delayed_;
  bool forwarding_stopped_ = false;
  bool discard_replies_ = false;
  bool close_on_reply_ = false;
  bool close_when_written_ = false;
};

}  // namespace detail

Proxy::Proxy(base::EventLoop& loop) : loop_(loop) {}

Proxy::~Proxy() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<Address> Proxy::Listen(const Address& address) {
  listener_ = ListenOn(
      loop_, address,
      [](evconnlistener* /*listener*/, int fd, sockaddr* /*from*/, int /*size*/,
         void* arg) { static_cast<Proxy*>(arg)->Accept(fd); },
      this);
  if (listener_ == nullptr) return Error{Errc::kUnavailable, ToString(address)};
  address_ = BoundAddress(listener_, address);
  return address_;
}

void Proxy::SetFaults(const Faults& faults) {
  faults_ = faults;
  if (faults.refuse && listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  } else if (!faults.refuse && listener_ == nullptr) {
    (void)Listen(address_);
  }
  if (faults.refuse_process == 0) return;
  const auto snapshot = links_;
  for (const auto& link : snapshot) {
    if (!link->IsFrom(faults.refuse_process)) continue;
    ++counters_.cut;
    link->Close();
  }
}

void Proxy::Accept(int fd) {
  ++counters_.accepted;
  if (faults_.refuse_process != 0 &&
      IsFromProcess(fd, faults_.refuse_process)) {
    ++counters_.cut;
    evutil_closesocket(fd);
    return;
  }
  auto link = std::make_shared<detail::ProxyLink>(*this);
  links_.insert(link);
  if (!link->Start(fd, target_)) link->Close();
}

void Proxy::CloseAll() {
  const auto snapshot = links_;
  for (const auto& link : snapshot) {
    ++counters_.cut;
    link->Close();
  }
}

void Proxy::StopForwardingAll() {
  for (const auto& link : links_) {
    ++counters_.silenced;
    link->StopForwarding();
  }
}

void Proxy::Remove(const std::shared_ptr<detail::ProxyLink>& link) {
  links_.erase(link);
}

}  // namespace mangospread::standin
