/// @file
/// Calls that wait until it is certain whether their submission exists.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "dispatch/front/submission_service.hpp"

namespace mangospread::dispatch {

/// Submissions for which a write is in flight that decides whether they exist,
/// and the calls on them that have arrived since. An answer to such a call from
/// what the leader knows would become false when the write commits.
class DeferredCalls {
 public:
  struct Entry {
    ServiceCall call;
    ServiceCallback done;
  };

  /// Notes that a write for a submission is in flight; none is yet.
  /// @param bytes memory that the submission will take.
  void Begin(const SubmissionId& id, std::size_t bytes);
  /// True while a write for the submission is in flight.
  [[nodiscard]] bool Contains(const SubmissionId& id) const {
    return writes_.contains(id);
  }
  /// Adds a call on a submission with a write in flight.
  void Add(ServiceCall call, ServiceCallback done);
  /// Notes that the outcome of the write is known.
  /// @returns the calls that arrived since its begin, in this order.
  [[nodiscard]] std::vector<Entry> End(const SubmissionId& id);

  /// Memory that all submissions with a write in flight will take, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

 private:
  struct Write {
    std::size_t bytes = 0;
    std::vector<Entry> calls;
  };

  std::map<SubmissionId, Write> writes_;
  std::size_t bytes_ = 0;
};

}  // namespace mangospread::dispatch
