/// @file
/// The operator's configuration: the routes of requests to queues and the rules
/// for the submissions of each queue.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/model/submission.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::dispatch {

/// A queue and the requests that are routed to it.
struct QueueRoute {
  std::string host;
  std::string path_prefix;
  QueuePolicy policy;
  /// The queue's steps may only run on workers chosen by an external service.
  bool needs_placement_advice = false;
};

/// One version of the whole configuration.
struct Catalog {
  Revision revision;
  std::vector<QueueRoute> routes;
  /// Services whose workers start tasks without a check of their capacity.
  std::set<ServiceName> services_without_admission_check;
  /// Limits of callers' requests.
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  std::size_t max_header_bytes = std::size_t{32} * 1024;

  /// Returns the route with the longest matching prefix, or null.
  [[nodiscard]] const QueueRoute* Find(std::string_view host,
                                       std::string_view path) const;
};

}  // namespace mangospread::dispatch
