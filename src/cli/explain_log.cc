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

struct Line {
  double at_ms = 0;
  std::string text;
};

/// Value of `key` in a line of key=value fields; empty without the key.
std::string FieldOf(const std::string& line, const std::string& key) {
  std::size_t at = line.find(" " + key + "=");
  if (at == std::string::npos) return {};
  at += key.size() + 2;
  return line.substr(at, line.find(' ', at) - at);
}

/// Milliseconds of a time like 2026-12-04T08:30:00.123456+00:00.
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

bool Names(const std::string& line, std::string_view id) {
  const std::string task = FieldOf(line, "task");
  return FieldOf(line, "request") == id ||
         (task.size() > id.size() && task.starts_with(id) &&
          task[id.size()] == '.');
}

}  // namespace

std::string ExplainLog(std::istream& lines, std::string_view id) {
  std::vector<Line> found;
  std::string line;
  while (std::getline(lines, line)) {
    // What collects the logs may put its own fields before ours.
    const std::size_t start = line.find("time=");
    if (start == std::string::npos || !Names(line, id)) continue;
    line = " " + line.substr(start);
    const auto at = ParseTime(FieldOf(line, "time"));
    const std::size_t name = line.find(" name=");
    if (!at || name == std::string::npos) continue;
    found.push_back({*at, FieldOf(line, "node") + line.substr(name)});
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const Line& a, const Line& b) { return a.at_ms < b.at_ms; });
  std::ostringstream story;
  for (const Line& entry : found) {
    story << "+" << static_cast<std::int64_t>(entry.at_ms - found.front().at_ms)
          << " ms " << entry.text << "\n";
  }
  return story.str();
}

int RunExplainLog(const std::string& id) {
  const std::string story = ExplainLog(std::cin, id);
  if (story.empty()) {
    std::fprintf(stderr, "no line names %s\n", id.c_str());
    return kExitFailure;
  }
  std::fputs(story.c_str(), stdout);
  return kExitOk;
}

}  // namespace mangospread::cli
