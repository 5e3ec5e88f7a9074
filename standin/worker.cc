// Worker and endpoint stand-in. It fences by epoch, refuses what exceeds its
// capacity and records what it ran, for tests to check from outside.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.hpp"
#include "host.hpp"
#include "worker/codec.hpp"
#include "worker_tasks.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

/// Headers by which a test controls one request.
constexpr char kWorkHeader[] = "X-Work-Ms";
constexpr char kReplyBytesHeader[] = "X-Reply-Bytes";

int ToNumber(std::string_view text) {
  return text.empty() ? 0 : std::atoi(std::string(text).c_str());
}

class WorkerStandin {
 public:
  WorkerStandin(base::EventLoop& loop, const Options& options)
      : loop_(loop),
        slots_(options.Number("slots", 8)),
        boot_id_(std::to_string(base::WallNanoseconds())),
        tasks_(loop, options) {}

  void Handle(const Exchange& exchange) {
    const std::string& target = exchange->request().target;
    if (target == "/v1/worker/claim") return Claim(exchange);
    if (target == "/v1/worker/renew") return Renew(exchange);
    if (target == "/v1/worker/release") return Release(exchange);
    if (target == "/v1/worker/task") return Task(exchange);
    if (target == "/standin/record") return Record(exchange);
    if (target == "/standin/leave") {
      leaving_ = true;
      return ReplyText(*exchange, kOk, "{}");
    }
    Serve(exchange);
  }

 private:
  [[nodiscard]] Milliseconds LeaseRemaining() const {
    return std::chrono::duration_cast<Milliseconds>(lease_until_ -
                                                    base::MonotonicNow());
  }

  static void Refuse(const Exchange& exchange, const char* reason) {
    net::Response response;
    response.status = kConflict;
    response.headers.Add(worker::kRefusedHeader, reason);
    exchange->Reply(response);
  }

  /// True if the fence names the present owner.
  [[nodiscard]] bool Fenced(const Fence& fence) const {
    return fence.epoch == epoch_ && fence.owner == owner_ && !owner_.empty();
  }

  void Claim(const Exchange& exchange) {
    const auto decoded = worker::DecodeLease(exchange->request().body);
    if (!decoded.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    const auto& request = decoded.value();
    const bool same_owner = request.fence.owner == owner_;
    if (request.fence.epoch < epoch_ ||
        (request.fence.epoch == epoch_ && !same_owner)) {
      ++stale_refused_;
      return Refuse(exchange, "stale-epoch");
    }
    if (request.basis == ClaimBasis::kLeaseExpired && !same_owner &&
        LeaseRemaining().count() > 0) {
      return Refuse(exchange, "lease-held");
    }
    if (!Fenced(request.fence)) {
      claims_.push_back({{"epoch", request.fence.epoch.value()},
                         {"owner", request.fence.owner.str()}});
    }
    epoch_ = request.fence.epoch;
    owner_ = request.fence.owner;
    lease_until_ = base::MonotonicNow() + request.lease;
    tasks_.OnLease();
    ReplyText(*exchange, kOk, worker::EncodeReport(Report()));
  }

  void Renew(const Exchange& exchange) {
    const auto decoded = worker::DecodeLease(exchange->request().body);
    if (!decoded.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    if (!Fenced(decoded.value().fence)) {
      ++stale_refused_;
      return Refuse(exchange, "stale-epoch");
    }
    lease_until_ = base::MonotonicNow() + decoded.value().lease;
    tasks_.OnLease();
    ReplyText(*exchange, kOk, worker::EncodeReport(Report()));
  }

  void Release(const Exchange& exchange) {
    const auto decoded = worker::DecodeLease(exchange->request().body);
    if (!decoded.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    if (!Fenced(decoded.value().fence)) return Refuse(exchange, "stale-epoch");
    owner_ = NodeId();
    lease_until_ = MonotonicTime(0);
    ReplyText(*exchange, kOk, worker::EncodeReport(Report()));
  }

  [[nodiscard]] WorkerReport Report() const {
    WorkerReport report;
    report.epoch = epoch_;
    report.owner = owner_;
    report.boot_id = boot_id_;
    report.leaving = leaving_;
    report.lease_remaining = LeaseRemaining();
    for (const auto& id : in_flight_) report.in_flight.emplace_back(id);
    report.tasks = tasks_.Reports();
    return report;
  }

  void Serve(const Exchange& exchange) {
    const net::Headers& headers = exchange->request().headers;
    const Fence fence{
        NodeId(std::string(headers.Get(worker::kOwnerHeader))),
        Epoch(static_cast<std::uint64_t>(std::atoll(
            std::string(headers.Get(worker::kEpochHeader)).c_str())))};
    if (!Fenced(fence)) {
      ++stale_refused_;
      return Refuse(exchange, owner_.empty() ? "no-owner" : "stale-epoch");
    }
    if (leaving_) return Refuse(exchange, "leaving");
    ++arrived_concurrency_[static_cast<int>(in_flight_.size()) + 1];
    if (static_cast<int>(in_flight_.size()) >= slots_) {
      ++full_refused_;
      return Refuse(exchange, "full");
    }
    const std::string id(headers.Get(worker::kRequestIdHeader));
    in_flight_.insert(id);
    ++served_;
    max_in_flight_ =
        std::max(max_in_flight_, static_cast<int>(in_flight_.size()));
    if (const auto key = headers.Get("Idempotency-Key"); !key.empty()) {
      ++runs_by_key_[std::string(key)];
    }
    const Milliseconds work(ToNumber(headers.Get(kWorkHeader)));
    if (work.count() == 0) return Answer(exchange, id);
    auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(work,
                         [this, exchange, id, timer] { Answer(exchange, id); });
  }

  void Answer(const Exchange& exchange, const std::string& id) {
    in_flight_.erase(id);
    const net::Request& request = exchange->request();
    net::Response response;
    response.status = kOk;
    response.headers.Add(worker::kRequestIdHeader, id);
    const auto bytes = request.headers.Get(kReplyBytesHeader);
    response.body =
        bytes.empty() ? request.body : std::string(ToNumber(bytes), 'x');
    exchange->Reply(response);
  }

  void Task(const Exchange& exchange) {
    const auto decoded = worker::DecodeTask(exchange->request().body);
    if (!decoded.ok()) return ReplyText(*exchange, kBadRequest, "{}");
    const auto& [fence, command] = decoded.value();
    if (!Fenced(fence)) {
      ++stale_refused_;
      return Refuse(exchange, "stale-epoch");
    }
    const auto report = tasks_.Command(command);
    if (!report) return Refuse(exchange, "unknown-task");
    ReplyText(*exchange, kOk, worker::EncodeTaskReport(*report));
  }

  void Record(const Exchange& exchange) {
    const json body{{"max_in_flight", max_in_flight_},
                    {"in_flight", in_flight_.size()},
                    {"served", served_},
                    {"full_refused", full_refused_},
                    {"stale_refused", stale_refused_},
                    {"runs_by_key", runs_by_key_},
                    {"claims", claims_},
                    {"task_runs", tasks_.Runs()},
                    {"running_tasks", tasks_.size()}};
    ReplyText(*exchange, kOk, body.dump());
  }

  base::EventLoop& loop_;
  int slots_;
  std::string boot_id_;
  Epoch epoch_;
  NodeId owner_;
  MonotonicTime lease_until_{0};
  bool leaving_ = false;
  std::set<std::string> in_flight_;
  WorkerTasks tasks_;
  std::map<int, int> arrived_concurrency_;
  std::map<std::string, int> runs_by_key_;
  json claims_ = json::array();
  int max_in_flight_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t full_refused_ = 0;
  std::uint64_t stale_refused_ = 0;
};

}  // namespace

int RunWorker(const Options& options) {
  base::EventLoop loop;
  WorkerStandin standin(loop, options);
  return RunHost(loop, options, [&standin](const Exchange& exchange) {
    standin.Handle(exchange);
  });
}

}  // namespace mangospread::standin
