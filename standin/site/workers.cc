#include "site/workers.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
/// Time after which the nodes must observe a change of the capacity: that for
/// which they have to be in touch, and one heartbeat.
constexpr MonotonicTime kCapacityGrace = Milliseconds(3'000 + 1'500);
constexpr int kDefaultTaskMs = 200;

}  // namespace

SiteWorker::SiteWorker(base::EventLoop& loop, std::string id,
                       std::size_t max_runs, SiteRecord& record,
                       OnCrash on_crash)
    : loop_(loop),
      id_(std::move(id)),
      record_(record),
      on_crash_(std::move(on_crash)),
      incarnation_(base::WallMilliseconds()),
      max_runs_(max_runs),
      capacity_(max_runs),
      lease_timer_(loop.Every(std::chrono::milliseconds(50), 0, [this] {
        if (lease_end_ms_ == 0 || ClockMs() <= lease_end_ms_) return;
        while (!running_.empty()) {
          ++record_.expired_runs;
          EndRun(std::string(running_.begin()->first), "lapsed");
        }
      })) {}

std::string SiteWorker::Listen() {
  server_ = std::make_unique<net::HttpServer>(
      loop_, net::HttpServerLimits(),
      [this](const Exchange& exchange) { Handle(exchange); });
  const auto bound = server_->Listen({"127.0.0.1", 0});
  return bound.ok() ? ToString(bound.value()) : std::string();
}

std::uint64_t SiteWorker::ClockMs() const {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(base::MonotonicNow()).count());
}

void SiteWorker::Handle(const Exchange& exchange) {
  const net::Request& request = exchange->request();
  if (request.headers.Get("Expect-Instance") != id_) {
    return ReplyJson(*exchange, kMisdirected, "{}");
  }
  const auto body = base::ParseJson(request.body, "order");
  if (!body.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
  const auto fence = body.value().value("fence", std::uint64_t{0});
  if (fence < fence_) {
    return ReplyJson(
        *exchange, kConflict,
        base::DumpJson({{"clock-ms", ClockMs()}, {"reason", "fence"}}));
  }
  fence_ = fence;
  if (request.target == "/mangospread/run-start") {
    return HandleStart(exchange, body.value());
  }
  if (request.target == "/mangospread/run-stop") {
    return HandleStop(exchange, body.value());
  }
  if (request.target == "/mangospread/hold") {
    return HandleRenewal(exchange, body.value());
  }
  ReplyJson(*exchange, kOk, base::DumpJson({{"clock-ms", ClockMs()}}));
}

void SiteWorker::ListAlso(const json& rows) {
  for (const json& row : rows) odd_rows_.push_back(base::DumpJson(row));
}

void SiteWorker::SetCapacity(std::size_t runs) {
  capacity_ = runs;
  capacity_known_at_ = base::MonotonicNow() + kCapacityGrace;
}

bool SiteWorker::CapacityKnown() const {
  return base::MonotonicNow() >= capacity_known_at_;
}

void SiteWorker::UpdateLease(const json& body) {
  lease_end_ms_ =
      std::max(lease_end_ms_, body.value("deadline-ms", std::uint64_t{0}));
}

void SiteWorker::HandleStart(const Exchange& exchange, const json& body) {
  const auto refuse = [&](const char* reason) {
    ReplyJson(*exchange, kConflict,
              base::DumpJson({{"clock-ms", ClockMs()}, {"reason", reason}}));
  };
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  UpdateLease(body);
  if (body.at("deadline-ms").get<std::uint64_t>() < ClockMs()) {
    return refuse("late");
  }
  if (max_run_.contains(task) && run <= max_run_[task]) return refuse("old");
  if (running_.size() >= max_runs_) {
    ++record_.overloads;
    return refuse("room");
  }
  if (running_.size() >= capacity_ && CapacityKnown()) ++record_.overloads;
  ++record_.starts;
  ++record_.starts_by_worker[id_];
  if (record_.running[task] > 0) ++record_.overlaps;
  if (record_.acknowledged_done.contains(task)) ++record_.repeats;
  ++record_.running[task];
  record_.started.insert(task.substr(0, task.find('.')));
  max_run_[task] = run;
  const std::string spec = body.at("spec");
  if (CrashBy(task, spec)) return;
  const int requested_ms = std::atoi(spec.c_str());
  const Milliseconds duration(requested_ms > 0 ? requested_ms : kDefaultTaskMs);
  Run& entry = running_[task];
  entry.number = run;
  entry.start_time = base::MonotonicNow();
  const bool fails = spec == "fail";
  if (spec != "serve") {
    entry.duration = duration;
    entry.end_timer = loop_.After(duration, [this, task, fails] {
      if (!fails) ++record_.done;
      EndRun(task, fails ? "failed" : "done");
    });
  }
  ReplyJson(*exchange, kOk, base::DumpJson({{"clock-ms", ClockMs()}}));
}

bool SiteWorker::CrashBy(const std::string& task, const std::string& spec) {
  if (spec != "crash" && spec != "crash-new-id") return false;
  ++record_.crashes[task];
  --record_.running[task];
  const auto after = spec == "crash" ? AfterCrash::kSameId : AfterCrash::kNewId;
  // The server cannot be replaced while it handles a request.
  crash_timer_ =
      loop_.After(Milliseconds(0), [this, after] { on_crash_(after); });
  return true;
}

void SiteWorker::HandleStop(const Exchange& exchange, const json& body) {
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  max_run_[task] = std::max(max_run_[task], run);
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.number == run) EndRun(task, "stopped");
  ReplyJson(*exchange, kOk, base::DumpJson({{"clock-ms", ClockMs()}}));
}

void SiteWorker::EndRun(const std::string& task, const char* end_kind) {
  const auto it = running_.find(task);
  ended_.emplace_back(++end_count_, task, it->second.number, end_kind);
  --record_.running[task];
  running_.erase(it);
  RespondToRenewals();
}

json SiteWorker::Describe() const {
  return {{"id", id_},
          {"born", incarnation_},
          {"fence", fence_},
          {"acknowledged", acknowledged_},
          {"ends", end_count_},
          {"listed", ended_.size()},
          {"holds", pending_renewals_.size()},
          {"running", running_.size()}};
}

void SiteWorker::End() {
  for (const auto& [task, run] : running_) --record_.running[task];
  running_.clear();
  server_.reset();
}

std::string SiteWorker::Crash(std::string id) {
  id_ = std::move(id);
  End();
  max_run_.clear();
  ended_.clear();
  pending_renewals_.clear();
  fence_ = lease_end_ms_ = end_count_ = acknowledged_ = 0;
  incarnation_ = std::max(incarnation_ + 1, base::WallMilliseconds());
  return Listen();
}

void SiteWorker::HandleRenewal(const Exchange& exchange, const json& body) {
  UpdateLease(body);
  acknowledged_ =
      std::max(acknowledged_, body.value("acked-upto", std::uint64_t{0}));
  std::erase_if(ended_, [this](const auto& end) {
    const bool acknowledged = std::get<0>(end) <= acknowledged_;
    if (acknowledged && std::get<3>(end) == "done") {
      record_.acknowledged_done.insert(std::get<1>(end));
    }
    return acknowledged;
  });
  const Milliseconds wait(body.value("wait-ms", 0));
  if (!ended_.empty() || wait.count() == 0) return RespondToRenewal(exchange);
  pending_renewals_.push_back({exchange, {}});
  const auto pending = std::prev(pending_renewals_.end());
  pending->timeout = loop_.After(wait, [this, pending] {
    const Exchange expired = pending->exchange;
    pending_renewals_.erase(pending);
    RespondToRenewal(expired);
  });
}

void SiteWorker::RespondToRenewals() {
  while (!pending_renewals_.empty()) {
    const Exchange exchange = pending_renewals_.front().exchange;
    pending_renewals_.pop_front();
    RespondToRenewal(exchange);
  }
}

void SiteWorker::RespondToRenewal(const Exchange& exchange) {
  constexpr int kFullPercent = 100;
  json running = json::array();
  for (const auto& [task, run] : running_) {
    const auto elapsed = base::MonotonicNow() - run.start_time;
    const std::int64_t percent =
        run.duration.count() == 0
            ? kFullPercent
            : std::min<std::int64_t>(kFullPercent - 1,
                                     elapsed * kFullPercent / run.duration);
    running.push_back(json::array({task, run.number, "", percent, 0}));
  }
  for (const std::string& row : odd_rows_) running.push_back(json::parse(row));
  json ended = json::array();
  for (const auto& [number, task, run, end_kind] : ended_) {
    if (ended.size() == kEndsPerReply) break;
    ended.push_back(json::array({number, task, run, end_kind, ""}));
  }
  ReplyJson(*exchange, kOk,
            base::DumpJson({{"clock-ms", ClockMs()},
                            {"born", incarnation_},
                            {"running", running},
                            {"ended", ended}}));
}

}  // namespace mangospread::standin
