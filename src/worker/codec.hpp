/// @file
/// JSON form of the worker protocol, shared by client and stand-in.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangospread/platform/vm.hpp"
#include "mangospread/platform/worker.hpp"

namespace mangospread::worker {

/// Fence headers of requests to endpoints.
inline constexpr char kOwnerHeader[] = "Mangospread-Owner";
inline constexpr char kEpochHeader[] = "Mangospread-Epoch";
inline constexpr char kRequestIdHeader[] = "Mangospread-Request-Id";
inline constexpr char kServiceHeader[] = "Mangospread-Service";
/// Present on an answer that says that the request was definitely not run.
inline constexpr char kRefusedHeader[] = "Mangospread-Refused";

/// Body of claim, renew and release.
struct LeaseRequest {
  Fence fence;
  ClaimBasis basis = ClaimBasis::kTable;
  Milliseconds lease{0};
};

/// Body of a task command.
struct TaskRequest {
  Fence fence;
  TaskCommand command;
};

[[nodiscard]] std::string EncodeLease(const LeaseRequest& request);
[[nodiscard]] Result<LeaseRequest> DecodeLease(std::string_view text);

[[nodiscard]] std::string EncodeTask(const TaskRequest& request);
[[nodiscard]] Result<TaskRequest> DecodeTask(std::string_view text);

[[nodiscard]] std::string EncodeReport(const WorkerReport& report);
[[nodiscard]] Result<WorkerReport> DecodeReport(std::string_view text);

[[nodiscard]] std::string EncodeTaskReport(const TaskReport& report);
[[nodiscard]] Result<TaskReport> DecodeTaskReport(std::string_view text);

[[nodiscard]] std::string EncodeVms(const std::vector<VmInfo>& vms);
[[nodiscard]] Result<std::vector<VmInfo>> DecodeVms(std::string_view text);

}  // namespace mangospread::worker
