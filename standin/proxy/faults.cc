#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/json/json_reader.hpp"
#include "proxy/proxy.hpp"

namespace mangospread::standin {
namespace {

constexpr int kMaxDelayMs = 60'000;
constexpr int kMaxCount = 1'000'000;
constexpr std::int64_t kMaxBytes = 1'000'000'000;

}  // namespace

bool ParseFaults(std::string_view text, Faults& faults) {
  const auto parsed = base::ParseJson(text, "faults");
  if (!parsed.ok()) return false;
  base::ObjectReader reader(parsed.value(), "faults");
  reader.Integer("delay_ms", 0, kMaxDelayMs, faults.delay_ms);
  reader.Boolean("drop_up", faults.drop_up);
  reader.Boolean("drop_down", faults.drop_down);
  reader.Boolean("refuse", faults.refuse);
  reader.Integer("refuse_process", 0, INT32_MAX, faults.refuse_process);
  reader.Integer("cut_after_up", -1, kMaxBytes, faults.cut_after_up);
  reader.Integer("cut_after_down", -1, kMaxBytes, faults.cut_after_down);
  reader.Integer("lose_replies", 0, kMaxCount, faults.lose_replies);
  reader.Integer("cut_replies", 0, kMaxCount, faults.cut_replies);
  reader.Integer("cut_requests", 0, kMaxCount, faults.cut_requests);
  return !reader.Finish();
}

}  // namespace mangospread::standin
