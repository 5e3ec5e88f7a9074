#include "dispatch/leader/deferred_calls.hpp"

#include <utility>

namespace mangospread::dispatch {

void DeferredCalls::Begin(const SubmissionId& id, std::size_t bytes) {
  writes_[id].bytes = bytes;
  bytes_ += bytes;
}

void DeferredCalls::Add(ServiceCall call, ServiceCallback done) {
  auto& calls = writes_.at(call.submission).calls;
  calls.push_back({std::move(call), std::move(done)});
}

std::vector<DeferredCalls::Entry> DeferredCalls::End(const SubmissionId& id) {
  auto node = writes_.extract(id);
  if (node.empty()) return {};
  bytes_ -= node.mapped().bytes;
  return std::move(node.mapped().calls);
}

}  // namespace mangospread::dispatch
