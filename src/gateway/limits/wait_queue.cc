#include "gateway/limits/wait_queue.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"

namespace mangospread::gateway {

WaitQueue::WaitQueue(base::EventLoop& loop, WaitQueueOptions options)
    : loop_(loop), options_(options) {}

bool WaitQueue::Enqueue(WaitEntry entry) {
  std::size_t& size = sizes_[entry.service];
  if (size >= options_.max_per_service) {
    ++counters_.full;
    return false;
  }
  ++size;
  ++counters_.enqueued;
  entries_.push_back(std::make_shared<WaitEntry>(std::move(entry)));
  ScheduleCheck();
  return true;
}

std::size_t WaitQueue::waiting(const ServiceName& service) const {
  const auto it = sizes_.find(service);
  return it == sizes_.end() ? 0 : it->second;
}

void WaitQueue::Wake() {
  if (entries_.empty() || std::exchange(wake_posted_, true)) return;
  // Posted, since the slot may have become free inside a connection's callback.
  loop_.Post([this, weak = std::weak_ptr(alive_)] {
    if (weak.lock() == nullptr) return;
    wake_posted_ = false;
    SendQueued();
  });
}

void WaitQueue::SendQueued() {
  RemoveEnded();
  std::set<ServiceName> blocked;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto entry = *it;
    if (blocked.contains(entry->service)) {
      ++it;
    } else if (entry->send()) {
      ++counters_.sent;
      it = Erase(it);
    } else {
      blocked.insert(entry->service);
      ++it;
    }
  }
}

void WaitQueue::RemoveEnded() {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<std::function<void()>> ended;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto entry = *it;
    if (entry->is_disconnected()) {
      ++counters_.abandoned;
      ended.push_back(std::move(entry->abandoned));
    } else if (entry->expires_at <= now) {
      ++counters_.expired;
      ended.push_back(std::move(entry->expired));
    } else {
      ++it;
      continue;
    }
    it = Erase(it);
  }
  for (const auto& callback : ended) callback();
  ScheduleCheck();
}

void WaitQueue::ScheduleCheck() {
  timer_.reset();
  if (entries_.empty()) return;
  MonotonicTime delay = options_.check_interval;
  const MonotonicTime now = base::MonotonicNow();
  for (const auto& entry : entries_) {
    delay = std::min(delay, entry->expires_at - now);
  }
  timer_ = loop_.After(delay, [this] { RemoveEnded(); });
}

WaitQueue::Entries::iterator WaitQueue::Erase(Entries::iterator it) {
  const auto size = sizes_.find((*it)->service);
  if (--size->second == 0) sizes_.erase(size);
  return entries_.erase(it);
}

}  // namespace mangospread::gateway
