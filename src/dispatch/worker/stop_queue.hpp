/// @file
/// The stops that a session has to send to its worker.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "dispatch/model/messages.hpp"

namespace mangospread::dispatch {

/// Holds each stop once, in the order of arrival, and bounds how many of them
/// are in flight: a worker takes one call for each run, and its connections are
/// needed for renewals, too.
class StopQueue {
 public:
  explicit StopQueue(std::size_t max_in_flight)
      : max_in_flight_(std::max<std::size_t>(max_in_flight, 1)) {}

  /// Adds a stop unless it is queued or in flight.
  void Add(StopRun stop) {
    const Key key = KeyOf(stop);
    if (in_flight_.contains(key) || !queued_.insert(key).second) return;
    stops_.push_back(std::move(stop));
  }
  /// Drops the queued stop of a run that has ended.
  void Drop(const std::string& task, Attempt run) {
    queued_.erase({task, run});
  }
  /// Drops all queued stops.
  void Clear() {
    stops_.clear();
    queued_.clear();
  }
  /// Returns the next stop, which is then in flight; nullopt if none is queued
  /// or as many as possible are in flight.
  [[nodiscard]] std::optional<StopRun> Take() {
    while (in_flight_.size() < max_in_flight_ && !stops_.empty()) {
      StopRun stop = std::move(stops_.front());
      stops_.pop_front();
      const Key key = KeyOf(stop);
      if (queued_.erase(key) == 0) continue;
      in_flight_.insert(key);
      return stop;
    }
    return std::nullopt;
  }
  /// Ends the flight of a stop. Returns true if no other one is in flight.
  bool OnReply(const StopRun& stop) {
    in_flight_.erase(KeyOf(stop));
    return in_flight_.empty();
  }

 private:
  using Key = std::pair<std::string, Attempt>;

  [[nodiscard]] static Key KeyOf(const StopRun& stop) {
    return {stop.task, stop.run};
  }

  std::size_t max_in_flight_;
  /// Those that were dropped are missing in `queued_`.
  std::deque<StopRun> stops_;
  std::set<Key> queued_;
  std::set<Key> in_flight_;
};

}  // namespace mangospread::dispatch
