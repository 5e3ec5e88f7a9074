#include "cli/explain_log.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <vector>

#include "cli/commands.hpp"
#include "cli/log_records.hpp"

namespace mangospread::cli {
namespace {

struct TimelineEntry {
  double time_ms = 0;
  std::string text;
};

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
  while (ReadLogRecord(lines, line)) {
    if (!RefersTo(line, id)) continue;
    const auto timestamp_ms = ParseLogTime(FieldValue(line, "time"));
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
