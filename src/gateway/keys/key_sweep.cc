#include "gateway/keys/key_sweep.hpp"

#include <utility>

#include "base/events.hpp"
#include "gateway/keys/key_row.hpp"

namespace mangospread::gateway {

KeySweep::KeySweep(base::EventLoop& loop, KeySweepOptions options, Table& table,
                   table::Writer& writer, std::function<bool()> is_sweeper,
                   std::function<std::uint64_t()> wall_ms)
    : loop_(loop),
      options_(options),
      table_(table),
      writer_(writer),
      is_sweeper_(std::move(is_sweeper)),
      wall_ms_(std::move(wall_ms)) {}

KeySweep::~KeySweep() { *alive_ = false; }

void KeySweep::Start() { ScheduleSweep(options_.page_interval); }

void KeySweep::ScheduleSweep(Milliseconds delay) {
  timer_ = loop_.After(delay, [this] { SweepPage(); });
}

void KeySweep::SweepPage() {
  if (!is_sweeper_()) {
    cursor_.clear();
    return ScheduleSweep(options_.pass_interval);
  }
  if (!writer_.idle()) return ScheduleSweep(options_.page_interval);
  ReadRequest request;
  request.ranges.push_back({kKeyPrefix, cursor_, options_.page_rows});
  table_.Read(std::move(request),
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive) return;
                if (!rows.ok()) return ScheduleSweep(options_.page_interval);
                OnPage(rows.value());
              });
}

void KeySweep::OnPage(const std::vector<Row>& rows) {
  std::uint64_t expired = 0;
  for (const Row& row : rows) {
    if (!IsExpired(row)) continue;
    ++expired;
    Transaction transaction;
    transaction.conditions.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, std::nullopt});
    writer_.Submit(
        std::move(transaction),
        [this, alive = alive_](const table::WriteResult& result) {
          if (!*alive) return;
          swept_ += result.status == table::WriteStatus::kCommitted ? 1 : 0;
        });
  }
  if (expired > 0) base::Log(base::Event::kKeysSwept, {{"keys", expired}});
  const bool last_page = rows.size() < options_.page_rows;
  cursor_ = last_page ? std::string() : rows.back().key;
  ScheduleSweep(last_page ? options_.pass_interval : options_.page_interval);
}

bool KeySweep::IsExpired(const Row& row) const {
  const auto decoded = DecodeKeyRow(row);
  // A row that cannot be decoded is kept: a newer version of this program may
  // have written it.
  if (!decoded.ok()) return false;
  const auto retention = static_cast<std::uint64_t>(options_.retention.count());
  return decoded.value().claimed_ms + retention < wall_ms_();
}

}  // namespace mangospread::gateway
