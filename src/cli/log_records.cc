#include "cli/log_records.hpp"

#include <cstddef>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace mangospread::cli {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;

}  // namespace

bool ReadLogRecord(std::istream& lines, std::string& record) {
  while (std::getline(lines, record)) {
    const std::size_t begin = record.find("time=");
    if (begin == std::string::npos) continue;
    record = " " + record.substr(begin);
    return true;
  }
  return false;
}

std::string FieldValue(const std::string& record, const std::string& key) {
  std::size_t begin = record.find(" " + key + "=");
  if (begin == std::string::npos) return {};
  begin += key.size() + 2;
  return record.substr(begin, record.find(' ', begin) - begin);
}

std::optional<double> ParseLogTime(const std::string& text) {
  std::tm calendar{};
  std::istringstream stream(text);
  stream >> std::get_time(&calendar, "%Y-%m-%dT%H:%M:%S");
  if (stream.fail()) return std::nullopt;
  double fraction = 0;
  stream >> fraction;
  return (static_cast<double>(timegm(&calendar)) + fraction) *
         kMillisecondsPerSecond;
}

}  // namespace mangospread::cli
