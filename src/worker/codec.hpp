/// @file
/// JSON encoding of the worker protocol, shared by the client and the stand-in.
/// All Decode functions fail with kMalformed and the message or its field as
/// subject.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangospread/platform/vm.hpp"
#include "mangospread/platform/worker.hpp"

namespace mangospread::worker {

/// Headers of requests to endpoints: fence, request ID and service.
inline constexpr char kOwnerHeader[] = "Mangospread-Owner";
inline constexpr char kEpochHeader[] = "Mangospread-Epoch";
inline constexpr char kRequestIdHeader[] = "Mangospread-Request-Id";
inline constexpr char kServiceHeader[] = "Mangospread-Service";
/// Header of a response to a request that definitely was not run; holds the
/// reason.
inline constexpr char kRefusedHeader[] = "Mangospread-Refused";

/// Body of a claim, renew or release request.
struct LeaseRequest {
  Fence fence;
  ClaimBasis basis = ClaimBasis::kTable;
  Milliseconds lease{0};
};

/// Body of a request with a task command.
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
