/// @file
/// Settings of the serve command, from flags and environment variables.
#pragma once

#include <string>
#include <vector>

#include "api/access.hpp"
#include "base/events.hpp"
#include "mangospread/address.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/units.hpp"

namespace mangospread::app {

enum class Platform : unsigned char { kHttp, kEmbedded };

struct Settings {
  NodeId node;
  DataCenter data_center;
  Address http_listen{"127.0.0.1", 8080};
  Address rpc_listen{"127.0.0.1", 8081};
  /// Address that peers connect to; port 0 stands for the listen address.
  Address rpc_advertise{"", 0};
  std::vector<Address> seeds;  ///< RPC addresses of other nodes.
  Platform platform = Platform::kHttp;
  Address table;
  Address vm_list;
  std::vector<VmInfo> embedded_vms;
  Milliseconds table_timeout{1'000};
  /// Time from a failing health check to the closing of the listener.
  Milliseconds drain_notice{2'000};
  /// Longest wait for requests in flight at shutdown.
  Milliseconds stop_limit{30'000};
  /// Lease that a worker grants to its owner.
  Milliseconds worker_lease{3'000};
  /// A worker stops its tasks after this time without a renewal by an owner.
  Milliseconds task_lease{60'000};
  /// Name of the cell, the scope of one scheduler.
  std::string cell = "default";
  /// Whether a worker whose owner's lease has expired may grant a claim while
  /// the table is unreachable.
  bool claim_without_table = true;
  /// Tokens for administration; if there are none, only loopback clients may
  /// administer.
  std::vector<api::AccessToken> tokens;
  base::Severity log_level = base::Severity::kInfo;
};

/// Parses flags, then MANGOSPREAD_* environment variables for settings without
/// a flag.
/// @param errors receives kMissingField, kOutOfRange or kInvalidArgument for
///   every invalid setting, with the setting's name as subject. If the flags or
///   variables cannot be parsed, it receives only the first error:
///   kUnknownField or kInvalidArgument. The settings are usable only if there
///   is no error.
[[nodiscard]] Settings ParseSettings(const std::vector<std::string>& arguments,
                                     std::vector<Error>& errors);

/// Help text of the serve command.
[[nodiscard]] std::string SettingsHelp();

}  // namespace mangospread::app
