#include "gateway/keys/key_sweep.hpp"

#include <utility>

#include "base/events.hpp"
#include "gateway/keys/key_row.hpp"

namespace mangospread::gateway {

KeySweep::KeySweep(base::EventLoop& loop, KeySweepOptions options, Table& table,
                   table::Writer& writer, std::function<bool()> chosen,
                   std::function<std::uint64_t()> wall_ms)
    : loop_(loop),
      options_(options),
      table_(table),
      writer_(writer),
      chosen_(std::move(chosen)),
      wall_ms_(std::move(wall_ms)) {}

KeySweep::~KeySweep() { *alive_ = false; }

void KeySweep::Start() { StepAfter(options_.page_pause); }

void KeySweep::StepAfter(Milliseconds pause) {
  timer_ = loop_.After(pause, [this] { Step(); });
}

void KeySweep::Step() {
  if (!chosen_()) {
    after_.clear();
    return StepAfter(options_.pass_pause);
  }
  if (!writer_.idle()) return StepAfter(options_.page_pause);
  ReadRequest request;
  request.ranges.push_back({kKeyPrefix, after_, options_.page_rows});
  table_.Read(std::move(request),
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive) return;
                if (!rows.ok()) return StepAfter(options_.page_pause);
                OnPage(rows.value());
              });
}

void KeySweep::OnPage(const std::vector<Row>& rows) {
  std::uint64_t old = 0;
  for (const Row& row : rows) {
    if (!IsOld(row)) continue;
    ++old;
    Transaction change;
    change.conditions.push_back({row.key, row.version});
    change.writes.push_back({row.key, std::nullopt});
    writer_.Submit(std::move(change), [this, alive = alive_](
                                          const table::WriteResult& result) {
      if (!*alive) return;
      swept_ += result.status == table::WriteStatus::kCommitted ? 1 : 0;
    });
  }
  if (old > 0) base::Log(base::Event::kKeysSwept, {{"keys", old}});
  const bool last = rows.size() < options_.page_rows;
  after_ = last ? std::string() : rows.back().key;
  StepAfter(last ? options_.pass_pause : options_.page_pause);
}

bool KeySweep::IsOld(const Row& row) const {
  const auto decoded = DecodeKeyRow(row);
  // A newer version of this program may have written the row.
  if (!decoded.ok()) return false;
  const auto keep = static_cast<std::uint64_t>(options_.keep.count());
  return decoded.value().claimed_ms + keep < wall_ms_();
}

}  // namespace mangospread::gateway
