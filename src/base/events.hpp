/// @file
/// Numbered log events. They are described in docs/events.md.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace mangospread::base {

/// Log events by number. Numbers are stable: the number of a removed event is
/// not used again.
enum class Event : int {
  // Process.
  kNodeStarting = 1001,
  kNodeReady = 1002,
  kEmbeddedTable = 1003,
  kShutdownBegun = 1004,
  kShutdownDone = 1005,
  kChildFailed = 1006,
  kSettingsInvalid = 1007,
  kLogDropped = 1008,
  kCallsClosed = 1009,
  // Table.
  kTableUnreachable = 1101,
  kTableReachable = 1102,
  kTableResultUnknown = 1103,
  kTableResultResolved = 1104,
  kBudgetExhausted = 1105,
  kTableChangeRejected = 1106,
  // Configuration.
  kChangeAccepted = 1201,
  kChangeRejected = 1202,
  kRevisionInstalled = 1203,
  kRevisionStale = 1204,
  kConfigurationLoaded = 1205,
  // Membership.
  kPeerAlive = 1301,
  kPeerSuspect = 1302,
  kPeerDead = 1303,
  kPeerLeaving = 1304,
  kPeerConnectionReset = 1305,
  // Ownership.
  kWorkerClaimed = 1401,
  kWorkerClaimRefused = 1402,
  kWorkerLost = 1403,
  kWorkerReleased = 1404,
  kWorkerLeaving = 1405,
  kWorkerUnreachable = 1406,
  kOwnershipProposed = 1407,
  kVmListFailed = 1408,
  // Requests.
  kRequestRouted = 1501,
  kRequestForwarded = 1502,
  kRequestRefused = 1503,
  kRequestUnknown = 1504,
  kRequestRetried = 1505,
  kConnectionDiscarded = 1506,
  kSlotHeld = 1507,
  kKeyReleaseDelayed = 1510,
  kKeysSwept = 1511,
  kWorkerBackedOff = 1520,
  kWorkerBackInUse = 1521,
  // Scheduler.
  kSchedulerActive = 1601,
  kSchedulerInactive = 1602,
  kTaskPlaced = 1603,
  kTaskNotPlaced = 1604,
  kTaskStateChanged = 1605,
  kTaskEvicted = 1606,
  kGuardThrottled = 1607,
  kGuardReleased = 1608,
  kWorkerQuarantined = 1609,
  kTaskLost = 1610,
  kJobFinished = 1611,
  kSchedulerRebuilt = 1612,
  // Submissions.
  kSubmissionAccepted = 1801,
  kSubmissionRefused = 1802,
  kSubmissionEnded = 1803,
  kRunDecided = 1804,
  kCommandUnanswered = 1805,
  kWorkerAttached = 1807,
  kWorkerRemoved = 1808,
  kLeaderActive = 1809,
  kLeaderInactive = 1810,
  kLeaderFollowed = 1811,
  kLeaderLost = 1812,
  kCatalogInstalled = 1813,
  kStoreUnreachable = 1814,
  kStoreReachable = 1815,
  kEntryMalformed = 1816,
  kSettingsReloaded = 1817,
  kWorkerListed = 1819,
  kLeaderYielding = 1818,
  kRenewalFailed = 1820,
  kRunLost = 1821,
  kTakeoverWaits = 1822,
  kExceptionDropped = 1823,
  kPermissionChanged = 1824,
  kLeadershipClaimed = 1825,
  kTaskWaits = 1826,
  kEvacuationChanged = 1827,
  kStartWithheld = 1828,
  kCallDeferred = 1829,
  // API.
  kRequestInvalid = 1701,
  kClientClosed = 1704,
  kWatchOpened = 1702,
  kWatchClosed = 1703,
};

enum class Severity : unsigned char { kDebug, kInfo, kWarning, kError };

/// Stable snake_case name of an event, and its severity.
struct EventInfo {
  std::string_view name;
  Severity severity;
};
[[nodiscard]] EventInfo DescribeEvent(Event event) noexcept;

/// A key and value of a log line.
struct Field {
  using Value =
      std::variant<std::string_view, std::int64_t, std::uint64_t, double>;

  template <typename T>
  Field(std::string_view key, const T& value)
      : key(key), value(ToValue(value)) {}

  std::string_view key;
  Value value;

 private:
  template <typename T>
  static Value ToValue(const T& value) {
    if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::is_integral_v<T> && std::is_unsigned_v<T>) {
      return static_cast<std::uint64_t>(value);
    } else if constexpr (std::is_integral_v<T>) {
      return static_cast<std::int64_t>(value);
    } else {
      return std::string_view(value);
    }
  }
};

/// Writes one line: time, severity, number, name and the fields as key=value.
/// Lines are buffered; warnings and errors are flushed at once. Never blocks: a
/// line is dropped and counted when the budget of its event is exhausted or the
/// buffer is full.
void Log(Event event, std::initializer_list<Field> fields = {});

/// Destination of log lines.
enum class LogTarget : unsigned char { kStandardError, kStandardOutput };

/// Sets the lowest severity that is written, the node name in each line and the
/// destination of the lines.
void ConfigureLog(Severity min_severity, std::string_view node,
                  LogTarget target = LogTarget::kStandardError);

/// True if the severity of the event is high enough for it to be written. Its
/// budget is not checked.
[[nodiscard]] bool LogEnabled(Event event) noexcept;

/// Number of lines that were dropped since the process started.
[[nodiscard]] std::uint64_t DroppedLogLines();

/// Writes the buffered lines and logs the number of lines dropped since the
/// last call, if any.
void FlushLog();

}  // namespace mangospread::base
