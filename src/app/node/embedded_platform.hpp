/// @file
/// VM list of the embedded platform, which is for evaluation on one VM.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/platform/vm.hpp"

namespace mangospread::app {

/// A VM list with fixed entries from the settings.
class FixedVmList final : public VmList {
 public:
  FixedVmList(base::EventLoop& loop, std::vector<VmInfo> vms)
      : loop_(loop), vms_(std::move(vms)) {}

  void Fetch(std::function<void(Result<std::vector<VmInfo>>)> done) override {
    loop_.Post([done = std::move(done), vms = vms_] { done(vms); });
  }

 private:
  base::EventLoop& loop_;
  std::vector<VmInfo> vms_;
};

}  // namespace mangospread::app
