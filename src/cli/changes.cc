#include "cli/changes.hpp"

#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/json/json_writer.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::cli {
namespace {

using nlohmann::json;

constexpr Milliseconds kRequestTimeout{10'000};
constexpr MonotonicTime kInForceTimeout = std::chrono::minutes(1);
constexpr Milliseconds kPollPeriod{200};
constexpr int kMaxAttempts = 5;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kFirstErrorStatus = 400;

/// Error named in the body of a response; kUnknown if it names none of those
/// that the commands distinguish.
Error ErrorFromResponse(const net::Response& response,
                        const std::string& subject) {
  const json body = json::parse(response.body.str(), nullptr, false);
  const std::string name = body.is_object() ? body.value("error", "") : "";
  for (const Errc code : {Errc::kNotFound, Errc::kConflict, Errc::kForbidden,
                          Errc::kUnauthenticated, Errc::kUnavailable,
                          Errc::kOutOfRange, Errc::kMalformed}) {
    if (name == ErrcName(code)) return {code, subject};
  }
  return {Errc::kUnknown, subject};
}

/// Specification and version of a resource at the time of a read.
struct Snapshot {
  json spec;
  std::uint64_t version = 0;
};

/// Reads a resource; an absent one has version 0 and an empty specification.
Result<Snapshot> ReadResource(const Server& server, const std::string& path) {
  net::Request request;
  request.target = path;
  const auto response = SendRequest(server, request, kRequestTimeout);
  if (!response.ok()) return response.error();
  if (response.value().status == kNotFound) return Snapshot{json::object(), 0};
  if (response.value().status >= kFirstErrorStatus) {
    return ErrorFromResponse(response.value(), path);
  }
  const json body = json::parse(response.value().body.str(), nullptr, false);
  if (!body.is_object() || !body.contains("spec") ||
      !body.contains("version")) {
    return Error{Errc::kMalformed, path};
  }
  return Snapshot{body.at("spec"), body.at("version").get<std::uint64_t>()};
}

/// Reads a resource, edits its specification and writes it back on condition
/// that it still has the version that was read; repeats this on a conflict.
/// @param edit returns false if the resource to edit does not exist.
Result<Revision> EditResource(const Server& server, const std::string& resource,
                              const std::function<bool(Snapshot&)>& edit) {
  const std::string path = "/v1/resources/" + resource;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto current = ReadResource(server, path);
    if (!current.ok()) return current.error();
    if (!edit(current.value())) return Error{Errc::kNotFound, resource};
    net::Request request;
    request.method = net::Method::kPut;
    request.target = path;
    request.headers.Add("If-Match", std::to_string(current.value().version));
    request.body = base::DumpJson(current.value().spec);
    const auto response = SendRequest(server, request, kRequestTimeout);
    if (!response.ok()) return response.error();
    if (response.value().status == kConflict) continue;
    if (response.value().status >= kFirstErrorStatus) {
      return ErrorFromResponse(response.value(), resource);
    }
    return AcceptedRevision(response.value().body.str());
  }
  return Error{Errc::kConflict, resource};
}

}  // namespace

Result<Revision> AcceptedRevision(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("version") ||
      !parsed.at("version").is_number_unsigned()) {
    return Error{Errc::kMalformed, "version"};
  }
  return Revision(parsed.at("version").get<std::uint64_t>());
}

Result<Done> WaitUntilInForce(const Server& server, Revision revision) {
  const MonotonicTime deadline = base::MonotonicNow() + kInForceTimeout;
  std::string printed_nodes;
  while (base::MonotonicNow() < deadline) {
    net::Request request;
    request.target = "/v1/status/config";
    const auto response = SendRequest(server, request, kRequestTimeout);
    const json body =
        response.ok() ? json::parse(response.value().body.str(), nullptr, false)
                      : json();
    if (body.is_object()) {
      if (body.value("in_force", std::uint64_t{0}) >= revision.value()) {
        return Done{};
      }
      const std::string nodes =
          base::DumpJson(body.value("nodes", json::object()));
      if (nodes != printed_nodes) {
        std::fprintf(
            stderr, "waiting for revision %llu, the nodes have %s\n",
            static_cast<unsigned long long>(revision.value()),  // NOLINT
            nodes.c_str());
        printed_nodes = nodes;
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return Error{Errc::kTimeout, "waiting for the revision on all nodes"};
}

Result<Revision> CancelJob(const Server& server, const std::string& job) {
  return EditResource(server, "job/" + job, [](Snapshot& current) {
    current.spec["cancelled"] = true;
    return current.version != 0;
  });
}

Result<Revision> SetDrained(const Server& server, const std::string& policy,
                            const std::string& vm, bool drained) {
  return EditResource(server, "policy/" + policy, [&](Snapshot& current) {
    json drain_list = json::array();
    for (const json& name : current.spec.value("drain", json::array())) {
      if (name != vm) drain_list.push_back(name);
    }
    if (drained) drain_list.push_back(vm);
    current.spec["drain"] = std::move(drain_list);
    return drained || current.version != 0;
  });
}

}  // namespace mangospread::cli
