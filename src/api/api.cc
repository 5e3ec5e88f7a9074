#include "api/api.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/events.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::api {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

void ReplyJson(net::HttpExchange& exchange, int status, const json& body) {
  net::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = base::DumpJson(body) + "\n";
  exchange.Reply(response);
}

int HttpStatus(Errc code) {
  switch (code) {
    case Errc::kUnauthenticated:
      return kUnauthorized;
    case Errc::kForbidden:
      return kForbidden;
    case Errc::kNotFound:
      return kNotFound;
    case Errc::kConflict:
      return kConflict;
    case Errc::kTooLarge:
      return kTooLarge;
    case Errc::kUnavailable:
    case Errc::kNoConfiguration:
    case Errc::kShuttingDown:
      return kServiceUnavailable;
    case Errc::kUnknown:
      return kGatewayTimeout;
    default:
      return kBadRequest;
  }
}

json LogAndEncodeError(const Error& error) {
  base::Log(base::Event::kRequestInvalid,
            {{"error", ErrcName(error.code)}, {"subject", error.subject}});
  return {{"error", ErrcName(error.code)},
          {"message", error.error_code().message()},
          {"subject", error.subject}};
}

void ReplyError(net::HttpExchange& exchange, const Error& error) {
  ReplyJson(exchange, HttpStatus(error.code), LogAndEncodeError(error));
}

/// Teams and policies affect all teams, so only an administrator of all teams
/// may change them; services and jobs belong to one team.
/// @param spec a valid specification, or absent for a deletion.
bool MayChange(const Grant& grant, ResourceKind kind,
               const std::optional<std::string>& spec) {
  if (kind == ResourceKind::kTeam || kind == ResourceKind::kPolicy) {
    return grant.Allows(Role::kAdminister) && grant.AllowsTeam(TeamName());
  }
  if (!grant.Allows(Role::kOperate)) return false;
  if (!spec) return true;
  const json parsed = json::parse(*spec, nullptr, false);
  return parsed.is_object() &&
         grant.AllowsTeam(TeamName(parsed.value("team", "")));
}

json ToJson(const Resource& resource) {
  return {{"kind", ResourceKindName(resource.key.kind)},
          {"name", resource.key.name},
          {"version", resource.revision.value()},
          {"spec", json::parse(resource.spec, nullptr, false)}};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value);
  if (ec != std::errc() || end != last || text.empty()) return std::nullopt;
  return value;
}

/// Value of a query parameter, or an empty view if it is absent.
std::string_view QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

const char* StateName(rpc::NodeState state) {
  switch (state) {
    case rpc::NodeState::kStarting:
      return "starting";
    case rpc::NodeState::kReady:
      return "ready";
    case rpc::NodeState::kLeaving:
      return "leaving";
  }
  return "starting";
}

const char* LivenessName(membership::Liveness liveness) {
  switch (liveness) {
    case membership::Liveness::kAlive:
      return "alive";
    case membership::Liveness::kSuspect:
      return "suspect";
    case membership::Liveness::kDead:
      return "dead";
  }
  return "dead";
}

json ToJson(const rpc::NodeView& view, membership::Liveness liveness) {
  return {{"node", view.node.str()},
          {"incarnation", view.incarnation.value()},
          {"state", StateName(view.state)},
          {"liveness", LivenessName(liveness)},
          {"data_center", view.data_center.str()},
          {"revision", view.revision.value()},
          {"table_reachable", view.table_reachable},
          {"owned_workers", view.owned_workers},
          {"http_address", ToString(view.http_address)},
          {"rpc_address", ToString(view.rpc_address)}};
}

}  // namespace

Api::Api(ApiDependencies dependencies) : deps_(std::move(dependencies)) {}

void Api::Handle(std::shared_ptr<net::HttpExchange> exchange) {
  const net::Request& request = exchange->request();
  if (request.method == net::Method::kGet) {
    if (request.target == "/healthz" || request.target == "/readyz") {
      return GetHealth(exchange);
    }
    if (request.target == "/metrics") return GetMetrics(exchange);
  }
  const auto grant = deps_.authenticator.Authenticate(
      request.headers.Get("Authorization"), exchange->from_loopback());
  if (!grant.ok()) return ReplyError(*exchange, grant.error());
  HandleAuthenticated(exchange, grant.value());
}

void Api::HandleAuthenticated(const Exchange& exchange, const Grant& grant) {
  constexpr std::string_view kResources = "/v1/resources/";
  const std::string target = exchange->request().target;
  const auto question_mark = target.find('?');
  const std::string_view path =
      std::string_view(target).substr(0, question_mark);
  const std::string_view query =
      question_mark == std::string::npos
          ? std::string_view()
          : std::string_view(target).substr(question_mark + 1);
  if (path.starts_with(kResources)) {
    return HandleResource(exchange, grant, path.substr(kResources.size()));
  }
  if (exchange->request().method != net::Method::kGet) {
    return ReplyJson(*exchange, kMethodNotAllowed,
                     {{"error", "method_not_allowed"}});
  }
  if (path == "/v1/watch") return OpenWatch(exchange, query);
  if (path == "/v1/status/config") return GetConfigStatus(exchange);
  if (path == "/v1/status/nodes") return GetNodes(exchange);
  if (path == "/v1/status/workers") return GetWorkers(exchange);
  if (path.starts_with("/v1/jobs/") || path.starts_with("/v1/explain/")) {
    return QueryScheduler(exchange, path);
  }
  ReplyError(*exchange, {Errc::kNotFound, std::string(path)});
}

void Api::HandleResource(const Exchange& exchange, const Grant& grant,
                         std::string_view rest) {
  const auto slash = rest.find('/');
  const auto kind = ParseResourceKind(rest.substr(0, slash));
  if (!kind.ok()) return ReplyError(*exchange, kind.error());
  const net::Method method = exchange->request().method;
  if (slash == std::string_view::npos) {
    if (method != net::Method::kGet) {
      return ReplyError(*exchange, {Errc::kMissingField, "name"});
    }
    return ListResources(exchange, kind.value());
  }
  ResourceKey key{kind.value(), std::string(rest.substr(slash + 1))};
  switch (method) {
    case net::Method::kGet:
      return GetResource(exchange, key);
    case net::Method::kPut:
    case net::Method::kDelete:
      return ChangeResource(exchange, grant, std::move(key));
    default:
      return ReplyJson(*exchange, kMethodNotAllowed,
                       {{"error", "method_not_allowed"}});
  }
}

void Api::GetResource(const Exchange& exchange, const ResourceKey& key) {
  const Resource* resource = deps_.store.Find(key);
  if (resource == nullptr) {
    return ReplyError(*exchange, {Errc::kNotFound, key.name});
  }
  ReplyJson(*exchange, kOk, ToJson(*resource));
}

void Api::ListResources(const Exchange& exchange, ResourceKind kind) {
  json items = json::array();
  for (const Resource& resource : deps_.store.List(kind)) {
    items.push_back(ToJson(resource));
  }
  ReplyJson(*exchange, kOk,
            {{"revision", deps_.store.revision().value()},
             {"items", std::move(items)}});
}

void Api::ChangeResource(const Exchange& exchange, const Grant& grant,
                         ResourceKey key) {
  const net::Request& request = exchange->request();
  config::Edit edit;
  if (request.method == net::Method::kPut) {
    auto spec = ValidateResource(key, request.body);
    if (!spec.ok()) return ReplyError(*exchange, spec.error());
    edit.spec = std::move(spec.value());
  }
  const Resource* current = deps_.store.Find(key);
  if (!MayChange(grant, key.kind, edit.spec) ||
      (current != nullptr && !MayChange(grant, key.kind, current->spec))) {
    return ReplyError(*exchange, {Errc::kForbidden, key.name});
  }
  if (const auto match = request.headers.Get("If-Match"); !match.empty()) {
    const auto version = ParseNumber(match);
    if (!version) {
      return ReplyError(*exchange, {Errc::kInvalidArgument, "If-Match"});
    }
    edit.expected = Revision(*version);
  }
  const bool existed = current != nullptr;
  if (!edit.expected && !grant.team.str().empty()) {
    // The grant was checked against this version, so the edit must not apply to
    // a later one.
    edit.expected = existed ? current->revision : Revision();
  }
  edit.key = key;
  deps_.editor.Apply(std::move(edit), [this, exchange, existed,
                                       key](const Result<Change>& change) {
    if (!change.ok()) return ReplyChangeError(*exchange, key, change.error());
    const Change& accepted = change.value();
    ReplyJson(*exchange, existed || accepted.deleted ? kOk : kCreated,
              {{"kind", ResourceKindName(accepted.key.kind)},
               {"name", accepted.key.name},
               {"version", accepted.revision.value()}});
  });
}

void Api::ReplyChangeError(net::HttpExchange& exchange, const ResourceKey& key,
                           const Error& error) const {
  if (error.code != Errc::kConflict) return ReplyError(exchange, error);
  // The current version lets the client compare its edit with it.
  const Resource* current = deps_.store.Find(key);
  json body = LogAndEncodeError(error);
  body["version"] = current == nullptr ? 0 : current->revision.value();
  ReplyJson(exchange, kConflict, body);
}

void Api::OpenWatch(const Exchange& exchange, std::string_view query) {
  const auto since_text = QueryValue(query, "since");
  const auto since = since_text.empty() ? 0 : ParseNumber(since_text);
  if (!since) return ReplyError(*exchange, {Errc::kInvalidArgument, "since"});
  deps_.watches.Open(exchange, Revision(*since));
}

void Api::GetConfigStatus(const Exchange& exchange) {
  const rpc::NodeView self = deps_.local_node();
  Revision lowest = self.revision;
  json nodes = json::object();
  nodes[self.node.str()] = self.revision.value();
  for (const auto& [node, peer] : deps_.membership.peers()) {
    if (peer.liveness == membership::Liveness::kDead) continue;
    nodes[node.str()] = peer.view.revision.value();
    lowest = std::min(lowest, peer.view.revision);
  }
  ReplyJson(*exchange, kOk,
            {{"revision", self.revision.value()},
             {"in_force", lowest.value()},
             {"nodes", std::move(nodes)}});
}

void Api::GetNodes(const Exchange& exchange) {
  json nodes = json::array();
  nodes.push_back(ToJson(deps_.local_node(), membership::Liveness::kAlive));
  for (const auto& [node, peer] : deps_.membership.peers()) {
    nodes.push_back(ToJson(peer.view, peer.liveness));
  }
  ReplyJson(*exchange, kOk, {{"nodes", std::move(nodes)}});
}

void Api::GetWorkers(const Exchange& exchange) {
  json workers = json::array();
  for (const auto& worker : deps_.ownership.owned()) {
    workers.push_back({{"vm", worker->vm().name.str()},
                       {"epoch", worker->fence().epoch.value()},
                       {"occupied", worker->occupied_slots()},
                       {"free", worker->free_slots()},
                       {"accepts_work", worker->accepts_work()},
                       {"reachable", worker->reachable()},
                       {"tasks", worker->report().tasks.size()}});
  }
  ReplyJson(*exchange, kOk, {{"workers", std::move(workers)}});
}

void Api::QueryScheduler(const Exchange& exchange, std::string_view path) {
  deps_.query_scheduler(
      std::string(path), [exchange](const rpc::QueryReply& reply) {
        net::Response response;
        response.status = reply.status;
        response.headers.Add("Content-Type", "application/json");
        response.body = reply.body;
        exchange->Reply(response);
      });
}

void Api::GetHealth(const Exchange& exchange) {
  const NotRunReason reason = deps_.health();
  if (reason == NotRunReason::kNone) {
    return ReplyJson(*exchange, kOk, {{"status", "ok"}});
  }
  ReplyJson(*exchange, kServiceUnavailable,
            {{"status", NotRunReasonName(reason)}});
}

void Api::GetMetrics(const Exchange& exchange) {
  std::vector<Sample> samples;
  deps_.sample_source(samples);
  net::Response response;
  response.status = kOk;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = FormatPrometheusText(samples);
  exchange->Reply(response);
}

}  // namespace mangospread::api
