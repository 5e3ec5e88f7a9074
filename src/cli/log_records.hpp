/// @file
/// Reads the log lines of nodes.
#pragma once

#include <istream>
#include <optional>
#include <string>

namespace mangospread::cli {

/// Reads the next log line into `record`, without what a log collector put
/// before it. Skips lines that are none. Returns false at the end.
[[nodiscard]] bool ReadLogRecord(std::istream& lines, std::string& record);

/// Value of `key` in a record; empty if the key is absent.
[[nodiscard]] std::string FieldValue(const std::string& record,
                                     const std::string& key);

/// Unix time in milliseconds of a UTC time like
/// 2026-12-04T08:30:00.123456+00:00.
[[nodiscard]] std::optional<double> ParseLogTime(const std::string& text);

}  // namespace mangospread::cli
