#include "dispatch/leader/interference_row.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::dispatch {
namespace {

using nlohmann::json;

/// Values are rounded to six decimals: the row is written often and read by one
/// process only.
constexpr double kRoundingFactor = 1e6;
constexpr std::size_t kImageFields = 5;
constexpr std::size_t kEffectFields = 3;

/// Larger values are not results of learning and would make it diverge.
constexpr double kMaxMagnitude = 1e6;

/// True if `row` has the number `min` or more, at most kMaxMagnitude, at
/// `index`.
bool HasNumber(const json& row, std::size_t index, double min) {
  if (!row[index].is_number()) return false;
  const double number = row[index].get<double>();
  return number >= min && number <= kMaxMagnitude;
}

double Round(double value) {
  return std::round(value * kRoundingFactor) / kRoundingFactor;
}

std::optional<LearnedInterference::ImageEffect> DecodeEffect(const json& row) {
  if (!row.is_array() || row.size() != kEffectFields || !row[0].is_string() ||
      !HasNumber(row, 1, -kMaxMagnitude) || !HasNumber(row, 2, -1)) {
    return std::nullopt;
  }
  // Rounding errors can make a small variance negative.
  return LearnedInterference::ImageEffect{ImageName(row[0].get<std::string>()),
                                          row[1].get<double>(),
                                          std::max(0.0, row[2].get<double>())};
}

std::optional<LearnedInterference> DecodeImage(const json& row) {
  if (!row.is_array() || row.size() != kImageFields || !row[0].is_string() ||
      !HasNumber(row, 1, 0) || !HasNumber(row, 2, -kMaxMagnitude) ||
      !HasNumber(row, 3, 0) || !row[4].is_array()) {
    return std::nullopt;
  }
  LearnedInterference learned{ImageName(row[0].get<std::string>()),
                              row[1].get<double>(),
                              row[2].get<double>(),
                              row[3].get<double>(),
                              {}};
  for (const json& entry : row[4]) {
    auto image_effect = DecodeEffect(entry);
    if (!image_effect) return std::nullopt;
    learned.effects.push_back(std::move(*image_effect));
  }
  return learned;
}

}  // namespace

std::string EncodeInterference(
    const std::vector<LearnedInterference>& learned) {
  json rows = json::array();
  for (const LearnedInterference& image : learned) {
    json effects = json::array();
    for (const LearnedInterference::ImageEffect& image_effect : image.effects) {
      effects.push_back(
          json::array({image_effect.image.str(), Round(image_effect.effect),
                       Round(image_effect.variance)}));
    }
    rows.push_back(json::array({image.image.str(), Round(image.idle_tail_ms),
                                Round(image.level), Round(image.level_variance),
                                std::move(effects)}));
  }
  return base::DumpJson(rows);
}

Result<std::vector<LearnedInterference>> DecodeInterference(
    std::string_view value) {
  const Error malformed{Errc::kMalformed, "sharing"};
  const auto parsed = base::ParseJson(value, "sharing");
  if (!parsed.ok()) return parsed.error();
  if (!parsed.value().is_array()) return malformed;
  std::vector<LearnedInterference> learned;
  for (const json& row : parsed.value()) {
    auto image = DecodeImage(row);
    if (!image) return malformed;
    learned.push_back(std::move(*image));
  }
  return learned;
}

}  // namespace mangospread::dispatch
