/// @file
/// Removal of old idempotency keys.
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
  Milliseconds keep{24 * 3'600 * 1'000};
  /// Pause between pages, and between passes over all keys. A page of 100
  /// rows a second removes 8.6 million keys a day with one read a second.
  Milliseconds page_pause{1'000};
  Milliseconds pass_pause{60'000};
  std::size_t page_rows = 100;
};

/// Deletes keys older than KeySweepOptions::keep, page by page. Callers' writes
/// go first: nothing is deleted while the writer has work.
class KeySweep {
 public:
  /// @param chosen true on the one node that sweeps. Two that sweep at once
  ///   only waste reads, since every deletion names the row's version.
  /// @param wall_ms wall clock in milliseconds.
  KeySweep(base::EventLoop& loop, KeySweepOptions options, Table& table,
           table::Writer& writer, std::function<bool()> chosen,
           std::function<std::uint64_t()> wall_ms);
  ~KeySweep();
  KeySweep(const KeySweep&) = delete;
  KeySweep& operator=(const KeySweep&) = delete;

  void Start();

  [[nodiscard]] std::uint64_t swept() const noexcept { return swept_; }

 private:
  void Step();
  void OnPage(const std::vector<Row>& rows);
  void StepAfter(Milliseconds pause);
  [[nodiscard]] bool IsOld(const Row& row) const;

  base::EventLoop& loop_;
  KeySweepOptions options_;
  Table& table_;
  table::Writer& writer_;
  std::function<bool()> chosen_;
  std::function<std::uint64_t()> wall_ms_;
  std::string after_;
  std::uint64_t swept_ = 0;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
