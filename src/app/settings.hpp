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
  /// What peers connect to; port 0 means the address listened on.
  Address rpc_advertise{"", 0};
  std::vector<Address> seeds;
  Platform platform = Platform::kHttp;
  Address table;
  Address vm_list;
  std::vector<VmInfo> embedded_vms;
  Milliseconds table_timeout{1'000};
  Milliseconds drain_notice{2'000};
  Milliseconds stop_limit{30'000};
  Milliseconds worker_lease{3'000};
  /// After this time without an owner's renewal a worker stops its tasks.
  Milliseconds task_lease{60'000};
  /// Scope of one scheduler.
  std::string cell = "default";
  bool claim_without_table = true;
  /// Tokens for administration; without any, only loopback clients may.
  std::vector<api::AccessToken> tokens;
  base::Severity log_level = base::Severity::kInfo;
};

/// Parses flags, then MANGOSPREAD_* environment variables for what the flags
/// leave open.
/// @param problems receives every invalid setting: kUnknownField,
///   kMissingField, kOutOfRange or kInvalidArgument with the setting's name as
///   subject. The settings may be used only if there is none.
[[nodiscard]] Settings ParseSettings(const std::vector<std::string>& arguments,
                                     std::vector<Error>& problems);

/// Help text of the serve command.
[[nodiscard]] std::string SettingsHelp();

}  // namespace mangospread::app
