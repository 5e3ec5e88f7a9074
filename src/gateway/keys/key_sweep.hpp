/// @file
/// Deletes expired idempotency keys.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/platform/table.hpp"
#include "table/writer.hpp"

namespace mangospread::gateway {

struct KeySweepOptions {
  /// Age at which a key is deleted: 24 hours.
  Milliseconds retention{24 * 3'600 * 1'000};
  /// Delay between pages and between passes over all keys. A page of 100 rows
  /// per second removes 8.6 million keys a day at one read per second.
  Milliseconds page_interval{1'000};
  Milliseconds pass_interval{60'000};
  std::size_t page_rows = 100;
};

/// Deletes keys older than KeySweepOptions::retention, page by page. Writes for
/// callers have priority: nothing is deleted while the writer has work.
class KeySweep {
 public:
  /// @param is_sweeper true on the one node that sweeps. Two nodes that sweep
  ///   at the same time only waste reads, since every deletion is conditional
  ///   on the version of the row.
  /// @param wall_ms returns the wall clock time in milliseconds.
  KeySweep(base::EventLoop& loop, KeySweepOptions options, Table& table,
           table::Writer& writer, std::function<bool()> is_sweeper,
           std::function<std::uint64_t()> wall_ms);
  ~KeySweep();
  KeySweep(const KeySweep&) = delete;
  KeySweep& operator=(const KeySweep&) = delete;

  void Start();

  /// Number of keys deleted so far.
  [[nodiscard]] std::uint64_t swept() const noexcept { return swept_; }

 private:
  void SweepPage();
  void OnPage(const std::vector<Row>& rows);
  void ScheduleSweep(Milliseconds delay);
  [[nodiscard]] bool IsExpired(const Row& row) const;

  base::EventLoop& loop_;
  KeySweepOptions options_;
  Table& table_;
  table::Writer& writer_;
  std::function<bool()> is_sweeper_;
  std::function<std::uint64_t()> wall_ms_;
  /// Key after which the next page starts; empty at the start of a pass.
  std::string cursor_;
  std::uint64_t swept_ = 0;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
