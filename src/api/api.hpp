/// @file
/// Administration API over HTTP.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "api/access.hpp"
#include "api/metrics.hpp"
#include "api/watch_hub.hpp"
#include "config/editor.hpp"
#include "config/store.hpp"
#include "mangospread/outcome.hpp"
#include "membership/membership.hpp"
#include "net/http_server.hpp"
#include "ownership/manager.hpp"
#include "rpc/task_messages.hpp"

namespace mangospread::api {

/// Components that the API reads and changes.
struct ApiDependencies {
  const Authenticator& authenticator;
  config::Store& store;
  config::Editor& editor;
  WatchHub& watches;
  membership::Membership& membership;
  ownership::Manager& ownership;
  /// Current state of this node.
  std::function<rpc::NodeView()> local_node;
  /// kNone when the load balancer should route callers to this node, otherwise
  /// the reason why it should not.
  std::function<NotRunReason()> health;
  SampleSource sample_source;
  /// Sends a query about jobs or decisions to the scheduler.
  /// @param path path of the API request.
  /// @param done called with the scheduler's reply.
  std::function<void(const std::string& path,
                     std::function<void(rpc::QueryReply)> done)>
      query_scheduler;
};

/// Serves every path except /svc/. All requests except health checks and
/// metrics need a grant. Errors are JSON objects with "error" (the name of the
/// code), "message" and "subject" (the field or resource). The object of a
/// conflict also has "version", the current version of the resource; that of
/// status 405 has only "error".
class Api {
 public:
  explicit Api(ApiDependencies dependencies);
  Api(const Api&) = delete;
  Api& operator=(const Api&) = delete;

  /// Handles one request and replies to it.
  void Handle(std::shared_ptr<net::HttpExchange> exchange);

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleAuthenticated(const Exchange& exchange, const Grant& grant);
  void HandleResource(const Exchange& exchange, const Grant& grant,
                      std::string_view rest);
  void GetResource(const Exchange& exchange, const ResourceKey& key);
  void ListResources(const Exchange& exchange, ResourceKind kind);
  void ChangeResource(const Exchange& exchange, const Grant& grant,
                      ResourceKey key);
  void ReplyChangeError(net::HttpExchange& exchange, const ResourceKey& key,
                        const Error& error) const;
  void OpenWatch(const Exchange& exchange, std::string_view query);
  void GetConfigStatus(const Exchange& exchange);
  void GetNodes(const Exchange& exchange);
  void GetWorkers(const Exchange& exchange);
  void QueryScheduler(const Exchange& exchange, std::string_view path);
  void GetHealth(const Exchange& exchange);
  void GetMetrics(const Exchange& exchange);

  ApiDependencies deps_;
};

}  // namespace mangospread::api
