#include "dispatch/leader/heartbeat_row.hpp"

#include <algorithm>
#include <charconv>

namespace mangospread::dispatch {
namespace {

constexpr char kSeparator = ' ';

/// Removes a number and the separator after it, if there is one.
std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc()) return std::nullopt;
  if (next != end && *next != kSeparator) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(next - text.data()));
  if (!text.empty()) text.remove_prefix(1);
  return value;
}

}  // namespace

std::string EncodeHeartbeatRow(const HeartbeatRow& row) {
  return std::to_string(row.epoch.value()) + kSeparator +
         std::to_string(row.renewals) + kSeparator +
         std::to_string(row.longest_lease.count());
}

std::optional<HeartbeatRow> DecodeHeartbeatRow(std::string_view text) {
  const auto epoch = TakeNumber(text);
  const auto renewals = TakeNumber(text);
  const auto lease = TakeNumber(text);
  if (!epoch || !renewals || !lease) return std::nullopt;
  const auto longest = static_cast<std::uint64_t>(kMaxWorkerLease.count());
  return HeartbeatRow{
      Epoch(*epoch), *renewals,
      Milliseconds(static_cast<std::int64_t>(std::min(*lease, longest)))};
}

}  // namespace mangospread::dispatch
