/// @file
/// HTTP clients of the workers and of the VM list.
#pragma once

#include <memory>

#include "mangospread/platform/vm.hpp"
#include "mangospread/platform/worker.hpp"
#include "net/http_client.hpp"

namespace mangospread::worker {

/// Client of one worker that fences by epoch.
class HttpWorker final : public Worker {
 public:
  /// @param timeout of each call.
  HttpWorker(std::shared_ptr<net::HttpClientPool> pool, Milliseconds timeout);

  void Claim(Fence fence, ClaimBasis basis, Milliseconds lease,
             ReportCallback done) override;
  void Renew(Fence fence, Milliseconds lease, ReportCallback done) override;
  void Release(Fence fence, ReportCallback done) override;
  void Command(Fence fence, TaskCommand command,
               std::function<void(Result<TaskReport>)> done) override;

 private:
  void Post(const char* target, std::string body,
            std::function<void(Result<net::Response>)> done);
  void PostLease(const char* target, std::string body, ReportCallback done);

  std::shared_ptr<net::HttpClientPool> pool_;
  Milliseconds timeout_;
};

/// The platform's VM list over HTTP (GET /v1/vms).
class HttpVmList final : public VmList {
 public:
  /// @param timeout of each fetch.
  HttpVmList(std::shared_ptr<net::HttpClientPool> pool, Milliseconds timeout);

  void Fetch(std::function<void(Result<std::vector<VmInfo>>)> done) override;

 private:
  std::shared_ptr<net::HttpClientPool> pool_;
  Milliseconds timeout_;
};

}  // namespace mangospread::worker
