#include "api/watch_hub.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/events.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::api {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr double kHeartbeatJitter = 0.1;  // Fraction of the interval.

std::string ChangeLine(const Change& change) {
  json line{{"type", change.deleted ? "deleted" : "changed"},
            {"revision", change.revision.value()},
            {"kind", ResourceKindName(change.key.kind)},
            {"name", change.key.name}};
  if (!change.deleted) {
    line["spec"] = json::parse(change.spec, nullptr, false);
  }
  return base::DumpJson(line) + "\n";
}

std::string MarkerLine(const char* type, Revision revision) {
  return base::DumpJson(json{{"type", type}, {"revision", revision.value()}}) +
         "\n";
}

}  // namespace

WatchHub::WatchHub(base::EventLoop& loop, config::Store& store,
                   WatchOptions options)
    : store_(store), options_(options) {
  store_.changed().connect([this](const Change& change) { OnChange(change); });
  store_.replaced().connect([this] { OnReplaced(); });
  timer_ = loop.Every(options_.heartbeat_interval, kHeartbeatJitter,
                      [this] { SendHeartbeats(); });
}

void WatchHub::Open(std::shared_ptr<net::HttpExchange> exchange,
                    Revision since) {
  if (watches_.size() >= options_.max_watches) {
    return exchange->Reply({kServiceUnavailable, {}, {}});
  }
  net::Response head;
  head.status = kOk;
  head.headers.Add("Content-Type", "application/jsonl");
  exchange->StartStream(head);
  if (const auto changes = store_.Since(since)) {
    for (const Change& change : *changes) {
      exchange->SendChunk(ChangeLine(change));
    }
    exchange->SendChunk(MarkerLine("synced", store_.revision()));
  } else {
    SendSnapshot(*exchange);
  }
  watches_.push_back(std::move(exchange));
  base::Log(base::Event::kWatchOpened,
            {{"since", since.value()}, {"watches", watches_.size()}});
}

void WatchHub::SendSnapshot(net::HttpExchange& exchange) const {
  // A client that resumes from this line has none of the resources.
  exchange.SendChunk(MarkerLine("reset", Revision()));
  std::vector<Resource> resources = store_.All();
  std::sort(resources.begin(), resources.end(),
            [](const Resource& a, const Resource& b) {
              return a.revision < b.revision;
            });
  for (const Resource& resource : resources) {
    exchange.SendChunk(
        ChangeLine({resource.revision, resource.key, false, resource.spec}));
  }
  exchange.SendChunk(MarkerLine("synced", store_.revision()));
}

void WatchHub::OnChange(const Change& change) {
  if (!watches_.empty()) Broadcast(ChangeLine(change));
}

void WatchHub::OnReplaced() {
  for (const auto& watch : watches_) SendSnapshot(*watch);
}

void WatchHub::SendHeartbeats() {
  std::erase_if(watches_, [](const auto& watch) {
    if (watch->connected()) return false;
    watch->EndStream();
    base::Log(base::Event::kWatchClosed, {{"reason", "disconnected"}});
    return true;
  });
  Broadcast(MarkerLine("heartbeat", store_.revision()));
}

void WatchHub::Broadcast(const std::string& line) {
  for (const auto& watch : watches_) watch->SendChunk(line);
}

void WatchHub::CloseAll() {
  Broadcast(MarkerLine("closing", store_.revision()));
  for (const auto& watch : watches_) watch->EndStream();
  watches_.clear();
}

}  // namespace mangospread::api
