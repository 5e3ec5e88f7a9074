#include "cli/check_waits.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

#include "cli/commands.hpp"
#include "cli/log_records.hpp"

namespace mangospread::cli {
namespace {

constexpr double kMaxIdleMs = 3'000;
/// Longest time between two lines of a span.
constexpr double kMaxGapMs = 2'000;
constexpr int kMinFits = 2;
constexpr double kMaxReserved = 0.5;
constexpr double kMillisecondsPerSecond = 1'000;

/// The fields of one line of event 1826.
struct WaitLine {
  double time_ms = 0;
  std::string time;
  std::string node;
  std::string submission;
  std::string reason;
  int running = 0;
  int paused = 0;
  std::optional<double> idle_ms;  ///< Empty if no step is ready.
  double reserved = 0;
  int fits = 0;
  bool confirmed = true;
  bool idle_line = false;    ///< One of those about idle submissions.
  std::size_t left_out = 0;  ///< Of those.
};

int ToInt(const std::string& text) {
  return static_cast<int>(std::strtol(text.c_str(), nullptr, 10));
}

double ToDouble(const std::string& text) {
  return std::strtod(text.c_str(), nullptr);
}

WaitLine ParseWaitLine(const std::string& record, double time_ms) {
  WaitLine line;
  line.time_ms = time_ms;
  line.time = FieldValue(record, "time");
  line.node = FieldValue(record, "node");
  line.submission = FieldValue(record, "request");
  line.reason = FieldValue(record, "reason");
  line.running = ToInt(FieldValue(record, "running"));
  line.paused = ToInt(FieldValue(record, "paused"));
  const std::string idle = FieldValue(record, "idle_ms");
  if (!idle.empty()) line.idle_ms = ToDouble(idle);
  line.reserved = ToDouble(FieldValue(record, "reserved"));
  line.fits = ToInt(FieldValue(record, "fits"));
  line.confirmed = FieldValue(record, "confirmed") != "0";
  line.idle_line = FieldValue(record, "cause") == "idle";
  if (line.idle_line) {
    line.left_out =
        static_cast<std::size_t>(ToInt(FieldValue(record, "left_out")));
  }
  return line;
}

/// True if the line says nothing of whether the submission is idle: its task
/// may have a process, has not come to its turn, or the leader does not know
/// yet what runs.
bool SaysNothing(const WaitLine& line) {
  static const std::set<std::string> kReasons = {
      "run_unconfirmed", "worker_silent", "stopping",
      "earlier_step",    "due_later",     "takeover"};
  return kReasons.contains(line.reason);
}

/// Follows the lines of one submission, in order of time.
class SpanFinder {
 public:
  explicit SpanFinder(std::vector<IdleSpan>& found) : found_(found) {}

  void Add(const WaitLine& line) {
    const bool none_runs = line.running == 0 && line.idle_ms;
    const bool judged = !SaysNothing(line);
    const bool fits = line.fits >= kMinFits;
    // An idle line shows the tasks of the submission that could run, if any.
    const bool full =
        line.reserved >= kMaxReserved || (line.idle_line && !fits);
    if (line.running > 0 || (judged && (!none_runs || full))) {
      End();
    } else if (judged && fits) {
      Continue(line);
    }
    last_line_ms_ = line.time_ms;
  }

  void End() {
    if (span_ && span_->duration_ms() >= kMaxIdleMs) {
      found_.push_back(std::move(*span_));
    }
    span_.reset();
  }

 private:
  void Continue(const WaitLine& line) {
    // The next leader's first line may come late, but tells since when it has
    // known the submission as idle.
    const bool next_leader = span_ && last_node_ != line.node;
    const double since =
        next_leader ? line.time_ms - *line.idle_ms : line.time_ms;
    if (span_ && since - span_->end_ms > kMaxGapMs) End();
    // It ran between two lines of the same leader.
    const double begin_ms = line.time_ms - *line.idle_ms;
    if (span_ && !next_leader && begin_ms > span_->end_ms) End();
    if (!span_) Begin(line);
    last_node_ = line.node;
    span_->end_ms = line.time_ms;
    span_->last_time = line.time;
    ++span_->reasons[line.reason];
    span_->nodes.insert(line.node);
    if (!line.confirmed) ++span_->unconfirmed;
    span_->fits = std::min(span_->fits, line.fits);
    span_->reserved = std::max(span_->reserved, line.reserved);
    span_->paused = std::max(span_->paused, line.paused);
  }

  void Begin(const WaitLine& line) {
    span_.emplace();
    span_->submission = line.submission;
    span_->fits = line.fits;
    // A submission gets its first line when it has been idle for 1 s. A longer
    // time, or an earlier line, says that it could not run all the while.
    const double begin_ms = line.time_ms - *line.idle_ms;
    const bool first = *line.idle_ms <= kMaxGapMs && last_line_ms_ < begin_ms;
    span_->begin_ms = first ? begin_ms : line.time_ms;
  }

  std::vector<IdleSpan>& found_;
  std::optional<IdleSpan> span_;
  std::string last_node_;  ///< Of the span.
  double last_line_ms_ = 0;
};

std::vector<WaitLine> ReadWaitLines(std::istream& lines, WaitCheck& check) {
  std::vector<WaitLine> found;
  std::string record;
  while (ReadLogRecord(lines, record)) {
    if (FieldValue(record, "event") != "1826") continue;
    const auto time_ms = ParseLogTime(FieldValue(record, "time"));
    if (!time_ms || FieldValue(record, "running").empty() ||
        FieldValue(record, "reserved").empty() ||
        FieldValue(record, "fits").empty()) {
      ++check.unknown;
      continue;
    }
    found.push_back(ParseWaitLine(record, *time_ms));
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const WaitLine& a, const WaitLine& b) {
                     return a.time_ms < b.time_ms;
                   });
  return found;
}

/// Sum over the checks of the leaders; all lines of one check have the same.
std::size_t CountLeftOut(const std::vector<WaitLine>& lines) {
  std::size_t sum = 0;
  std::map<std::string, double> counted;  ///< Time of the check, by node.
  for (const WaitLine& line : lines) {
    if (line.left_out == 0) continue;
    constexpr double kSameCheckMs = 300;
    const auto it = counted.find(line.node);
    if (it != counted.end() && line.time_ms - it->second < kSameCheckMs) {
      continue;
    }
    counted[line.node] = line.time_ms;
    sum += line.left_out;
  }
  return sum;
}

std::string Join(const std::set<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty()) joined += ',';
    joined += name;
  }
  return joined;
}

std::string Join(const std::map<std::string, int>& counts) {
  std::string joined;
  for (const auto& [name, count] : counts) {
    if (!joined.empty()) joined += ',';
    joined += name + ":" + std::to_string(count);
  }
  return joined;
}

}  // namespace

WaitCheck CheckWaits(std::istream& lines) {
  WaitCheck check;
  const std::vector<WaitLine> waits = ReadWaitLines(lines, check);
  check.lines = waits.size();
  check.left_out = CountLeftOut(waits);
  std::map<std::string, SpanFinder> finders;
  for (const WaitLine& line : waits) {
    finders.try_emplace(line.submission, check.spans).first->second.Add(line);
  }
  for (auto& [submission, finder] : finders) finder.End();
  std::stable_sort(check.spans.begin(), check.spans.end(),
                   [](const IdleSpan& a, const IdleSpan& b) {
                     return a.begin_ms < b.begin_ms;
                   });
  return check;
}

std::string FormatWaitCheck(const WaitCheck& check) {
  std::ostringstream text;
  for (const IdleSpan& span : check.spans) {
    text << span.submission << " idle_s=" << std::fixed << std::setprecision(1)
         << span.duration_ms() / kMillisecondsPerSecond
         << " until=" << span.last_time << " reasons=" << Join(span.reasons)
         << " fits=" << span.fits << " reserved=" << std::setprecision(2)
         << span.reserved << " paused=" << span.paused
         << " unconfirmed=" << span.unconfirmed
         << " leaders=" << Join(span.nodes) << "\n";
  }
  text << check.spans.size() << " idle beside free workers; " << check.lines
       << " lines judged, " << check.left_out << " left out by the leaders, "
       << check.unknown << " without the fields\n";
  return text.str();
}

int RunCheckWaits(const std::vector<std::string>& files) {
  std::stringstream lines;
  for (const std::string& name : files) {
    if (name == "-") {
      lines << std::cin.rdbuf();
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::fprintf(stderr, "cannot read %s\n", name.c_str());
      return kExitUsage;
    }
    std::string line;
    while (std::getline(file, line)) lines << line << "\n";
  }
  const WaitCheck check = CheckWaits(lines);
  std::fputs(FormatWaitCheck(check).c_str(), stdout);
  const bool passed = check.spans.empty() && check.unknown == 0;
  return passed ? kExitOk : kExitFailure;
}

}  // namespace mangospread::cli
