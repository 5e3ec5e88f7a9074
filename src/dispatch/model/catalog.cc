#include "dispatch/model/catalog.hpp"

namespace mangospread::dispatch {

const QueueRoute* Catalog::Find(std::string_view host,
                                std::string_view path) const {
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

}  // namespace mangospread::dispatch
