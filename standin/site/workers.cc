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
constexpr std::size_t kMaxRuns = 8;
constexpr int kDefaultTaskMs = 200;
constexpr std::uint64_t kNanosecondsPerMillisecond = 1'000'000;

}  // namespace

SiteWorker::SiteWorker(base::EventLoop& loop, std::string id,
                       SiteRecord& record)
    : loop_(loop),
      id_(std::move(id)),
      record_(record),
      born_(base::WallNanoseconds() / kNanosecondsPerMillisecond),
      lease_timer_(loop.Every(std::chrono::milliseconds(50), 0, [this] {
        if (lease_until_ == 0 || Clock() <= lease_until_) return;
        while (!running_.empty()) {
          ++record_.lapses;
          End(std::string(running_.begin()->first), "lapsed");
        }
      })) {}

std::string SiteWorker::Listen() {
  server_ = std::make_unique<net::HttpServer>(
      loop_, net::HttpServerLimits(),
      [this](const Exchange& exchange) { Handle(exchange); });
  const auto bound = server_->Listen({"127.0.0.1", 0});
  return bound.ok() ? ToString(bound.value()) : std::string();
}

std::uint64_t SiteWorker::Clock() const {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(base::MonotonicNow()).count());
}

void SiteWorker::Handle(const Exchange& exchange) {
  const net::Request& request = exchange->request();
  if (request.headers.Get("Expect-Instance") != id_) {
    return ReplyText(*exchange, kMisdirected, "{}");
  }
  const auto body = base::ParseJson(request.body, "order");
  if (!body.ok()) return ReplyText(*exchange, kBadRequest, "{}");
  const auto fence = body.value().value("fence", std::uint64_t{0});
  if (fence < fence_) {
    return ReplyText(
        *exchange, kConflict,
        base::DumpJson({{"clock-ms", Clock()}, {"reason", "fence"}}));
  }
  fence_ = fence;
  if (request.target == "/mangospread/run-start") {
    return Start(exchange, body.value());
  }
  if (request.target == "/mangospread/run-stop") {
    return Stop(exchange, body.value());
  }
  if (request.target == "/mangospread/hold") {
    return Hold(exchange, body.value());
  }
  ReplyText(*exchange, kOk, base::DumpJson({{"clock-ms", Clock()}}));
}

void SiteWorker::ExtendLease(const json& body) {
  lease_until_ =
      std::max(lease_until_, body.value("deadline-ms", std::uint64_t{0}));
}

void SiteWorker::Start(const Exchange& exchange, const json& body) {
  const auto refuse = [&](const char* reason) {
    ReplyText(*exchange, kConflict,
              base::DumpJson({{"clock-ms", Clock()}, {"reason", reason}}));
  };
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  ExtendLease(body);
  if (body.at("deadline-ms").get<std::uint64_t>() < Clock()) {
    return refuse("late");
  }
  if (highest_.contains(task) && run <= highest_[task]) return refuse("old");
  if (running_.size() >= kMaxRuns) {
    ++record_.overloads;
    return refuse("room");
  }
  ++record_.starts;
  if (record_.running[task] > 0) ++record_.overlaps;
  if (record_.noted.contains(task)) ++record_.repeats;
  ++record_.running[task];
  record_.started.insert(task.substr(0, task.find('.')));
  highest_[task] = run;
  const std::string spec = body.at("spec");
  const int asked = std::atoi(spec.c_str());
  const Milliseconds length(asked > 0 ? asked : kDefaultTaskMs);
  Run& entry = running_[task];
  entry.number = run;
  entry.begun = base::MonotonicNow();
  entry.length = length;
  const bool fails = spec == "fail";
  entry.end = loop_.After(length, [this, task, fails] {
    if (!fails) ++record_.done;
    End(task, fails ? "failed" : "done");
  });
  ReplyText(*exchange, kOk, base::DumpJson({{"clock-ms", Clock()}}));
}

void SiteWorker::Stop(const Exchange& exchange, const json& body) {
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  highest_[task] = std::max(highest_[task], run);
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.number == run) End(task, "stopped");
  ReplyText(*exchange, kOk, base::DumpJson({{"clock-ms", Clock()}}));
}

void SiteWorker::End(const std::string& task, const char* how) {
  const auto it = running_.find(task);
  ended_.emplace_back(++ends_, task, it->second.number, how);
  --record_.running[task];
  running_.erase(it);
  AnswerHolds();
}

json SiteWorker::Describe() const {
  return {{"id", id_},
          {"born", born_},
          {"fence", fence_},
          {"acknowledged", acknowledged_},
          {"ends", ends_},
          {"listed", ended_.size()},
          {"holds", holds_.size()},
          {"running", running_.size()}};
}

std::string SiteWorker::Crash() {
  for (const auto& [task, run] : running_) --record_.running[task];
  running_.clear();
  highest_.clear();
  ended_.clear();
  holds_.clear();
  fence_ = lease_until_ = ends_ = acknowledged_ = 0;
  born_ =
      std::max(born_ + 1, base::WallNanoseconds() / kNanosecondsPerMillisecond);
  return Listen();
}

void SiteWorker::Hold(const Exchange& exchange, const json& body) {
  ExtendLease(body);
  acknowledged_ =
      std::max(acknowledged_, body.value("acked-upto", std::uint64_t{0}));
  std::erase_if(ended_, [this](const auto& end) {
    const bool noted = std::get<0>(end) <= acknowledged_;
    if (noted && std::get<3>(end) == "done") {
      record_.noted.insert(std::get<1>(end));
    }
    return noted;
  });
  const Milliseconds wait(body.value("wait-ms", 0));
  if (!ended_.empty() || wait.count() == 0) return AnswerHold(exchange);
  holds_.push_back({exchange, {}});
  const auto waiter = std::prev(holds_.end());
  waiter->timeout = loop_.After(wait, [this, waiter] {
    const Exchange waiting = waiter->exchange;
    holds_.erase(waiter);
    AnswerHold(waiting);
  });
}

void SiteWorker::AnswerHolds() {
  while (!holds_.empty()) {
    const Exchange exchange = holds_.front().exchange;
    holds_.pop_front();
    AnswerHold(exchange);
  }
}

void SiteWorker::AnswerHold(const Exchange& exchange) {
  constexpr int kAll = 100;
  json running = json::array();
  for (const auto& [task, run] : running_) {
    const auto elapsed = base::MonotonicNow() - run.begun;
    const auto percent = std::min<std::int64_t>(
        kAll - 1, elapsed * kAll / std::max(run.length, MonotonicTime(1)));
    running.push_back(json::array({task, run.number, "", percent, 0}));
  }
  json ended = json::array();
  for (const auto& [number, task, run, how] : ended_) {
    ended.push_back(json::array({number, task, run, how, ""}));
  }
  ReplyText(*exchange, kOk,
            base::DumpJson({{"clock-ms", Clock()},
                            {"born", born_},
                            {"running", running},
                            {"ended", ended}}));
}

}  // namespace mangospread::standin
