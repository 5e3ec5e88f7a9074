#include "base/events.hpp"

#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "base/log_budget.hpp"
#include "base/log_buffer.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::base {
namespace {

/// Collects lines in a buffer before they are written to the descriptor.
/// spdlog's own sink flushes every line, which costs a system call per routed
/// request.
class BufferedSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit BufferedSink(int descriptor)
      : buffer_(descriptor, kMaxBufferedBytes) {}

  [[nodiscard]] std::uint64_t dropped() {
    const std::lock_guard lock(mutex_);
    return buffer_.dropped();
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (!buffer_.Append({line.data(), line.size()})) flush_();
    if (buffer_.size() >= kFlushThresholdBytes) flush_();
  }

  void flush_() override { buffer_.Flush(); }

 private:
  static constexpr std::size_t kFlushThresholdBytes = 16 * 1024;
  /// About one second of lines at the highest rate.
  static constexpr std::size_t kMaxBufferedBytes = 512 * 1024;
  LogBuffer buffer_;
};

spdlog::level::level_enum ToSpdlog(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return spdlog::level::debug;
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

/// The process's logger, its line budgets and its drop counters.
struct LogState {
  explicit LogState(int descriptor) { SetDescriptor(descriptor); }

  void SetDescriptor(int descriptor) {
    sink = std::make_shared<BufferedSink>(descriptor);
    logger = std::make_shared<spdlog::logger>("mangospread", sink);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f%z level=%l %v");
    logger->flush_on(spdlog::level::warn);
  }

  std::shared_ptr<BufferedSink> sink;
  std::shared_ptr<spdlog::logger> logger;
  std::mutex mutex;  ///< Guards the members below.
  std::map<Event, EventBudget> budgets;
  std::uint64_t suppressed_lines = 0;
  /// Dropped and suppressed lines that were already logged.
  std::uint64_t reported_lines = 0;
};

LogState& State() {
  static LogState state(STDERR_FILENO);
  return state;
}

spdlog::logger& Logger() { return *State().logger; }

/// Takes one line from the event's budget. Returns false and counts the line as
/// suppressed if the budget is exhausted.
bool TryTakeFromBudget(Event event) {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  if (state.budgets[event].TryTake(MonotonicNow())) return true;
  ++state.suppressed_lines;
  return false;
}

/// @param state its mutex must be locked.
std::uint64_t CountDropped(const LogState& state) {
  return state.suppressed_lines + state.sink->dropped();
}

/// Returns the number of lines that were dropped since the last call.
std::uint64_t TakeUnreportedLines() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  const std::uint64_t dropped = CountDropped(state);
  return dropped - std::exchange(state.reported_lines, dropped);
}

std::string& NodePrefix() {
  static std::string prefix;
  return prefix;
}

void AppendValue(fmt::memory_buffer& line, const Field::Value& value) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    const bool needs_no_quotes =
        !text->empty() && text->find_first_of(" =\"\n\r\t") == text->npos;
    if (needs_no_quotes) {
      line.append(*text);
      return;
    }
    line.push_back('"');
    for (const char c : *text) {
      if (c == '\n' || c == '\r') {
        line.push_back(' ');
        continue;
      }
      if (c == '"' || c == '\\') line.push_back('\\');
      line.push_back(c);
    }
    line.push_back('"');
    return;
  }
  if (const auto* number = std::get_if<double>(&value)) {
    fmt::format_to(std::back_inserter(line), "{:.3f}", *number);
  } else if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    fmt::format_to(std::back_inserter(line), "{}", *integer);
  } else if (const auto* count = std::get_if<std::uint64_t>(&value)) {
    fmt::format_to(std::back_inserter(line), "{}", *count);
  }
}

}  // namespace

EventInfo DescribeEvent(Event event) noexcept {
  switch (event) {
    case Event::kNodeStarting:
      return {"node_starting", Severity::kInfo};
    case Event::kNodeReady:
      return {"node_ready", Severity::kInfo};
    case Event::kEmbeddedTable:
      return {"embedded_table", Severity::kWarning};
    case Event::kShutdownBegun:
      return {"shutdown_begun", Severity::kInfo};
    case Event::kShutdownDone:
      return {"shutdown_done", Severity::kInfo};
    case Event::kChildFailed:
      return {"child_failed", Severity::kError};
    case Event::kLogDropped:
      return {"log_dropped", Severity::kWarning};
    case Event::kCallsClosed:
      return {"calls_closed", Severity::kInfo};
    case Event::kSettingsInvalid:
      return {"settings_invalid", Severity::kError};
    case Event::kTableUnreachable:
      return {"table_unreachable", Severity::kWarning};
    case Event::kTableReachable:
      return {"table_reachable", Severity::kInfo};
    case Event::kTableResultUnknown:
      return {"table_result_unknown", Severity::kWarning};
    case Event::kTableResultResolved:
      return {"table_result_resolved", Severity::kInfo};
    case Event::kTableChangeRejected:
      return {"table_change_rejected", Severity::kError};
    case Event::kBudgetExhausted:
      return {"budget_exhausted", Severity::kWarning};
    case Event::kChangeAccepted:
      return {"change_accepted", Severity::kInfo};
    case Event::kChangeRejected:
      return {"change_rejected", Severity::kInfo};
    case Event::kRevisionInstalled:
      return {"revision_installed", Severity::kInfo};
    case Event::kRevisionStale:
      return {"revision_stale", Severity::kDebug};
    case Event::kConfigurationLoaded:
      return {"configuration_loaded", Severity::kInfo};
    case Event::kPeerAlive:
      return {"peer_alive", Severity::kInfo};
    case Event::kPeerSuspect:
      return {"peer_suspect", Severity::kWarning};
    case Event::kPeerDead:
      return {"peer_dead", Severity::kWarning};
    case Event::kPeerLeaving:
      return {"peer_leaving", Severity::kInfo};
    case Event::kPeerConnectionReset:
      return {"peer_connection_reset", Severity::kInfo};
    case Event::kWorkerClaimed:
      return {"worker_claimed", Severity::kInfo};
    case Event::kWorkerClaimRefused:
      return {"worker_claim_refused", Severity::kInfo};
    case Event::kWorkerLost:
      return {"worker_lost", Severity::kWarning};
    case Event::kWorkerReleased:
      return {"worker_released", Severity::kInfo};
    case Event::kWorkerLeaving:
      return {"worker_leaving", Severity::kInfo};
    case Event::kWorkerUnreachable:
      return {"worker_unreachable", Severity::kWarning};
    case Event::kOwnershipProposed:
      return {"ownership_proposed", Severity::kInfo};
    case Event::kVmListFailed:
      return {"vm_list_failed", Severity::kWarning};
    case Event::kRequestRouted:
      return {"request_routed", Severity::kInfo};
    case Event::kRequestForwarded:
      return {"request_forwarded", Severity::kInfo};
    case Event::kRequestRefused:
      return {"request_refused", Severity::kInfo};
    case Event::kRequestUnknown:
      return {"request_unknown", Severity::kInfo};
    case Event::kRequestRetried:
      return {"request_retried", Severity::kInfo};
    case Event::kConnectionDiscarded:
      return {"connection_discarded", Severity::kInfo};
    case Event::kSlotHeld:
      return {"slot_held", Severity::kInfo};
    case Event::kKeyReleaseDelayed:
      return {"key_release_delayed", Severity::kWarning};
    case Event::kKeysSwept:
      return {"keys_swept", Severity::kInfo};
    case Event::kWorkerBackedOff:
      return {"worker_backed_off", Severity::kWarning};
    case Event::kWorkerBackInUse:
      return {"worker_back_in_use", Severity::kInfo};
    case Event::kSchedulerActive:
      return {"scheduler_active", Severity::kInfo};
    case Event::kSchedulerInactive:
      return {"scheduler_inactive", Severity::kInfo};
    case Event::kTaskPlaced:
      return {"task_placed", Severity::kInfo};
    case Event::kTaskNotPlaced:
      return {"task_not_placed", Severity::kInfo};
    case Event::kTaskStateChanged:
      return {"task_state_changed", Severity::kInfo};
    case Event::kTaskEvicted:
      return {"task_evicted", Severity::kInfo};
    case Event::kGuardThrottled:
      return {"guard_throttled", Severity::kInfo};
    case Event::kGuardReleased:
      return {"guard_released", Severity::kInfo};
    case Event::kWorkerQuarantined:
      return {"worker_quarantined", Severity::kWarning};
    case Event::kTaskLost:
      return {"task_lost", Severity::kWarning};
    case Event::kJobFinished:
      return {"job_finished", Severity::kInfo};
    case Event::kSchedulerRebuilt:
      return {"scheduler_rebuilt", Severity::kInfo};
    case Event::kSubmissionAccepted:
      return {"submission_accepted", Severity::kInfo};
    case Event::kSubmissionRefused:
      return {"submission_refused", Severity::kInfo};
    case Event::kSubmissionEnded:
      return {"submission_ended", Severity::kInfo};
    case Event::kRunDecided:
      return {"run_decided", Severity::kInfo};
    case Event::kCommandUnanswered:
      return {"order_unanswered", Severity::kInfo};
    case Event::kWorkerAttached:
      return {"worker_attached", Severity::kInfo};
    case Event::kWorkerRemoved:
      return {"worker_over", Severity::kInfo};
    case Event::kLeaderActive:
      return {"leader_active", Severity::kInfo};
    case Event::kLeaderInactive:
      return {"leader_inactive", Severity::kInfo};
    case Event::kLeaderFollowed:
      return {"leader_followed", Severity::kInfo};
    case Event::kLeaderLost:
      return {"leader_lost", Severity::kInfo};
    case Event::kCatalogInstalled:
      return {"catalog_installed", Severity::kInfo};
    case Event::kStoreUnreachable:
      return {"store_lost", Severity::kInfo};
    case Event::kStoreReachable:
      return {"store_regained", Severity::kInfo};
    case Event::kEntryMalformed:
      return {"entry_malformed", Severity::kInfo};
    case Event::kSettingsReloaded:
      return {"settings_reloaded", Severity::kInfo};
    case Event::kRenewalFailed:
      return {"hold_failed", Severity::kInfo};
    case Event::kExceptionDropped:
      return {"exception_dropped", Severity::kWarning};
    case Event::kPermissionChanged:
      return {"permission_changed", Severity::kInfo};
    case Event::kLeadershipClaimed:
      return {"leadership_claimed", Severity::kInfo};
    case Event::kTaskWaits:
      return {"task_waits", Severity::kInfo};
    case Event::kEvacuationChanged:
      return {"evacuation_changed", Severity::kInfo};
    case Event::kStartWithheld:
      return {"start_withheld", Severity::kInfo};
    case Event::kCallDeferred:
      return {"call_deferred", Severity::kInfo};
    case Event::kTakeoverWaits:
      return {"takeover_waits", Severity::kInfo};
    case Event::kRunLost:
      return {"run_lost", Severity::kInfo};
    case Event::kLeaderYielding:
      return {"leader_yielding", Severity::kInfo};
    case Event::kWorkerListed:
      return {"worker_listed", Severity::kInfo};
    case Event::kRequestInvalid:
      return {"request_invalid", Severity::kInfo};
    case Event::kClientClosed:
      return {"client_closed", Severity::kInfo};
    case Event::kWatchOpened:
      return {"watch_opened", Severity::kInfo};
    case Event::kWatchClosed:
      return {"watch_closed", Severity::kInfo};
  }
  return {"unnamed", Severity::kError};
}

bool LogEnabled(Event event) noexcept {
  return Logger().should_log(ToSpdlog(DescribeEvent(event).severity));
}

void Log(Event event, std::initializer_list<Field> fields) {
  const EventInfo info = DescribeEvent(event);
  const auto level = ToSpdlog(info.severity);
  if (!Logger().should_log(level) || !TryTakeFromBudget(event)) return;
  fmt::memory_buffer line;
  line.append(NodePrefix());
  fmt::format_to(std::back_inserter(line), "event={} name={}",
                 static_cast<int>(event), info.name);
  for (const Field& field : fields) {
    line.push_back(' ');
    line.append(field.key);
    line.push_back('=');
    AppendValue(line, field.value);
  }
  Logger().log(level, spdlog::string_view_t(line.data(), line.size()));
}

void ConfigureLog(Severity min_severity, std::string_view node,
                  LogTarget target) {
  if (target == LogTarget::kStandardOutput) {
    State().SetDescriptor(STDOUT_FILENO);
  }
  Logger().set_level(ToSpdlog(min_severity));
  NodePrefix() = "node=" + std::string(node) + " ";
}

std::uint64_t DroppedLogLines() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  return CountDropped(state);
}

void FlushLog() {
  const std::uint64_t lines = TakeUnreportedLines();
  if (lines > 0) Log(Event::kLogDropped, {{"lines", lines}});
  Logger().flush();
}

}  // namespace mangospread::base
