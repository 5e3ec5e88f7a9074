#include "cli/explain_log.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <vector>

#include "cli/commands.hpp"

namespace mangospread::cli {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;

struct TimelineEntry {
  double time_ms = 0;
  std::string text;
};

/// Value of `key` in a line of key=value fields; empty if the key is absent.
std::string FieldValue(const std::string& line, const std::string& key) {
  std::size_t begin = line.find(" " + key + "=");
  if (begin == std::string::npos) return {};
  begin += key.size() + 2;
  return line.substr(begin, line.find(' ', begin) - begin);
}

/// Unix time in milliseconds of a UTC time like
/// 2026-12-04T08:30:00.123456+00:00.
std::optional<double> ParseTime(const std::string& text) {
  std::tm calendar{};
  std::istringstream stream(text);
  stream >> std::get_time(&calendar, "%Y-%m-%dT%H:%M:%S");
  if (stream.fail()) return std::nullopt;
  double fraction = 0;
  stream >> fraction;
  return (static_cast<double>(timegm(&calendar)) + fraction) *
         kMillisecondsPerSecond;
}

/// True if a line is about the submission `id` or one of its tasks.
bool RefersTo(const std::string& line, std::string_view id) {
  const std::string task = FieldValue(line, "task");
  return FieldValue(line, "request") == id ||
         (task.size() > id.size() && task.starts_with(id) &&
          task[id.size()] == '.');
}

}  // namespace

std::string ExplainLog(std::istream& lines, std::string_view id) {
  std::vector<TimelineEntry> entries;
  std::string line;
  while (std::getline(lines, line)) {
    // Log collectors may prepend fields of their own.
    const std::size_t record_begin = line.find("time=");
    if (record_begin == std::string::npos || !RefersTo(line, id)) continue;
    line = " " + line.substr(record_begin);
    const auto timestamp_ms = ParseTime(FieldValue(line, "time"));
    const std::size_t name_field = line.find(" name=");
    if (!timestamp_ms || name_field == std::string::npos) continue;
    entries.push_back(
        {*timestamp_ms, FieldValue(line, "node") + line.substr(name_field)});
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time_ms < b.time_ms;
                   });
  std::ostringstream timeline;
  for (const TimelineEntry& entry : entries) {
    timeline << "+"
             << static_cast<std::int64_t>(entry.time_ms -
                                          entries.front().time_ms)
             << " ms " << entry.text << "\n";
  }
  return timeline.str();
}

int RunExplainLog(const std::string& id) {
  const std::string timeline = ExplainLog(std::cin, id);
  if (timeline.empty()) {
    std::fprintf(stderr, "no log line refers to %s\n", id.c_str());
    return kExitFailure;
  }
  std::fputs(timeline.c_str(), stdout);
  return kExitOk;
}

}  // namespace mangospread::cli
