/// @file
/// Log of recent scheduling decisions, for operators' queries.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/events.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler {

struct DecisionEntry {
  base::Event event = base::Event::kTaskStateChanged;
  std::string subject;  ///< Name of a task, job or VM.
  VmName vm;
  std::string reason;
  /// Cost of a placement, or percentage of a throttling.
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::uint64_t time_ns = 0;  ///< Wall-clock time, set by Record.
};

/// Ring buffer of decisions; each one is also logged as a numbered event.
class DecisionLog {
 public:
  /// @param capacity number of entries; 10,000 cover the last 20 s of starts at
  ///   the peak rate and occupy a few MB.
  explicit DecisionLog(std::size_t capacity = 10'000) : capacity_(capacity) {}

  void Record(DecisionEntry entry);
  /// Returns the entries about `subject`, oldest first.
  [[nodiscard]] std::vector<DecisionEntry> Find(
      const std::string& subject) const;

 private:
  std::size_t capacity_;
  std::deque<DecisionEntry> entries_;
};

}  // namespace mangospread::scheduler
