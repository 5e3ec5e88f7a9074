/// @file
/// The last decisions, for operators' questions.
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
  std::string subject;  ///< A task, or a job.
  VmName vm;
  std::string why;
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::uint64_t time_ns = 0;  ///< Set by Record.
};

/// Ring buffer of decisions; each is logged as a numbered event as well.
class DecisionLog {
 public:
  /// 10,000 entries cover the last 20 s of starts at the peak rate and take a
  /// few MB.
  explicit DecisionLog(std::size_t capacity = 10'000) : capacity_(capacity) {}

  void Record(DecisionEntry entry);
  /// Entries about `subject`, oldest first.
  [[nodiscard]] std::vector<DecisionEntry> Find(
      const std::string& subject) const;

 private:
  std::size_t capacity_;
  std::deque<DecisionEntry> entries_;
};

}  // namespace mangospread::scheduler
