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

constexpr Milliseconds kTimeout{10'000};
constexpr MonotonicTime kWaitLimit = std::chrono::minutes(1);
constexpr Milliseconds kPollPeriod{200};
constexpr int kMaxTries = 5;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kFirstError = 400;

Error ErrorOf(const net::Response& response, const std::string& subject) {
  const json body = json::parse(response.body.str(), nullptr, false);
  const std::string name = body.is_object() ? body.value("error", "") : "";
  for (const Errc code : {Errc::kNotFound, Errc::kConflict, Errc::kForbidden,
                          Errc::kUnauthenticated, Errc::kUnavailable,
                          Errc::kOutOfRange, Errc::kMalformed}) {
    if (name == ErrcName(code)) return {code, subject};
  }
  return {Errc::kUnknown, subject};
}

struct Read {
  json spec;
  std::uint64_t version = 0;
};

/// Reads a resource; an absent one has version 0 and an empty specification.
Result<Read> ReadResource(const Server& server, const std::string& path) {
  net::Request request;
  request.target = path;
  const auto response = Call(server, request, kTimeout);
  if (!response.ok()) return response.error();
  if (response.value().status == kNotFound) return Read{json::object(), 0};
  if (response.value().status >= kFirstError) {
    return ErrorOf(response.value(), path);
  }
  const json body = json::parse(response.value().body.str(), nullptr, false);
  if (!body.is_object() || !body.contains("spec") ||
      !body.contains("version")) {
    return Error{Errc::kMalformed, path};
  }
  return Read{body.at("spec"), body.at("version").get<std::uint64_t>()};
}

/// Reads, edits and writes with the version that was read.
/// @param edit returns false if there is no resource to edit.
Result<Revision> Edit(const Server& server, const std::string& resource,
                      const std::function<bool(Read&)>& edit) {
  const std::string path = "/v1/resources/" + resource;
  for (int i = 0; i < kMaxTries; ++i) {
    auto read = ReadResource(server, path);
    if (!read.ok()) return read.error();
    if (!edit(read.value())) return Error{Errc::kNotFound, resource};
    net::Request request;
    request.method = net::Method::kPut;
    request.target = path;
    request.headers.Add("If-Match", std::to_string(read.value().version));
    request.body = base::DumpJson(read.value().spec);
    const auto response = Call(server, request, kTimeout);
    if (!response.ok()) return response.error();
    if (response.value().status == kConflict) continue;
    if (response.value().status >= kFirstError) {
      return ErrorOf(response.value(), resource);
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

Result<Done> WaitInForce(const Server& server, Revision revision) {
  const MonotonicTime limit = base::MonotonicNow() + kWaitLimit;
  std::string last;
  while (base::MonotonicNow() < limit) {
    net::Request request;
    request.target = "/v1/status/config";
    const auto response = Call(server, request, kTimeout);
    const json body =
        response.ok() ? json::parse(response.value().body.str(), nullptr, false)
                      : json();
    if (body.is_object()) {
      if (body.value("in_force", std::uint64_t{0}) >= revision.value()) {
        return Done{};
      }
      const std::string nodes =
          base::DumpJson(body.value("nodes", json::object()));
      if (nodes != last) {
        std::fprintf(
            stderr, "waiting for revision %llu, nodes have %s\n",
            static_cast<unsigned long long>(revision.value()),  // NOLINT
            nodes.c_str());
        last = nodes;
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return Error{Errc::kTimeout, "in force on all nodes"};
}

Result<Revision> CancelJob(const Server& server, const std::string& job) {
  return Edit(server, "job/" + job, [](Read& read) {
    read.spec["cancelled"] = true;
    return read.version != 0;
  });
}

Result<Revision> SetDrained(const Server& server, const std::string& policy,
                            const std::string& vm, bool drained) {
  return Edit(server, "policy/" + policy, [&](Read& read) {
    json kept = json::array();
    for (const json& name : read.spec.value("drain", json::array())) {
      if (name != vm) kept.push_back(name);
    }
    if (drained) kept.push_back(vm);
    read.spec["drain"] = std::move(kept);
    return drained || read.version != 0;
  });
}

}  // namespace mangospread::cli
