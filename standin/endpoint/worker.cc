// Stand-in for a worker with its endpoint. It rejects stale epochs, refuses
// requests beyond its capacity and records the requests and tasks that it ran,
// so that tests can check them from outside. Options: --slots, the maximum
// number of requests that run at once; --connections, the maximum number of
// open connections; --fence 0 to serve every caller; those of WorkerTasks.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/loop/clock.hpp"
#include "endpoint/raw_server.hpp"
#include "endpoint/response.hpp"
#include "endpoint/worker_tasks.hpp"
#include "host.hpp"
#include "worker/codec.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

using Connection = std::shared_ptr<RawConnection>;

void ReplyJson(RawConnection& connection, int status, const std::string& body) {
  net::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body;
  connection.Reply(response);
}

/// Zero for an empty or invalid text.
int ParseNumber(std::string_view text) {
  return text.empty() ? 0 : std::atoi(std::string(text).c_str());
}

class WorkerStandin {
 public:
  WorkerStandin(base::EventLoop& loop, const Options& options)
      : loop_(loop),
        server_(loop,
                static_cast<std::size_t>(options.Number("connections", 64)),
                [this](const Connection& connection) { Handle(connection); }),
        slots_(options.Number("slots", 8)),
        check_fence_(options.Number("fence", 1) != 0),
        boot_id_(std::to_string(base::WallNanoseconds())),
        tasks_(loop, options) {}

  Result<Address> Listen(const Address& address) {
    return server_.Listen(address);
  }

 private:
  void Handle(const Connection& connection) {
    const std::string& target = connection->request().target;
    if (target == "/v1/worker/claim") return Claim(connection);
    if (target == "/v1/worker/renew") return Renew(connection);
    if (target == "/v1/worker/release") return Release(connection);
    if (target == "/v1/worker/task") return HandleTask(connection);
    if (target == "/standin/record") return SendRecord(connection);
    if (target == "/standin/leave") {
      leaving_ = true;
      return ReplyJson(*connection, kOk, "{}");
    }
    Serve(connection);
  }

  [[nodiscard]] Milliseconds LeaseRemaining() const {
    return std::chrono::duration_cast<Milliseconds>(lease_until_ -
                                                    base::MonotonicNow());
  }

  void Refuse(const Connection& connection, const char* reason) const {
    net::Response response;
    response.status = kConflict;
    response.headers.Add(worker::kRefusedHeader, reason);
    response.headers.Add(worker::kEpochHeader, std::to_string(epoch_.value()));
    connection->Reply(response);
  }

  /// True if the fence has the epoch and the name of the current owner.
  [[nodiscard]] bool MatchesOwner(const Fence& fence) const {
    return fence.epoch == epoch_ && fence.owner == owner_ && !owner_.empty();
  }

  void Claim(const Connection& connection) {
    const auto decoded = worker::DecodeLease(connection->request().body);
    if (!decoded.ok()) return ReplyJson(*connection, kBadRequest, "{}");
    const auto& request = decoded.value();
    const bool same_owner = request.fence.owner == owner_;
    Epoch epoch = request.fence.epoch;
    if (request.basis == ClaimBasis::kLeaseExpired) {
      if (!same_owner && LeaseRemaining().count() > 0) {
        return Refuse(connection, "lease-held");
      }
      epoch = std::max(epoch, epoch_.next());
    }
    if (epoch < epoch_ || (epoch == epoch_ && !same_owner)) {
      ++stale_refused_;
      return Refuse(connection, "stale-epoch");
    }
    if (!MatchesOwner({request.fence.owner, epoch})) {
      claims_.push_back({{"epoch", epoch.value()},
                         {"owner", request.fence.owner.str()},
                         {"at_ns", base::MonotonicNow().count()}});
    }
    epoch_ = epoch;
    owner_ = request.fence.owner;
    lease_until_ = base::MonotonicNow() + request.lease;
    tasks_.OnLeaseRenewed();
    ReplyJson(*connection, kOk, worker::EncodeReport(MakeReport()));
  }

  void Renew(const Connection& connection) {
    const auto decoded = worker::DecodeLease(connection->request().body);
    if (!decoded.ok()) return ReplyJson(*connection, kBadRequest, "{}");
    if (!MatchesOwner(decoded.value().fence)) {
      ++stale_refused_;
      return Refuse(connection, "stale-epoch");
    }
    lease_until_ = base::MonotonicNow() + decoded.value().lease;
    tasks_.OnLeaseRenewed();
    ReplyJson(*connection, kOk, worker::EncodeReport(MakeReport()));
  }

  void Release(const Connection& connection) {
    const auto decoded = worker::DecodeLease(connection->request().body);
    if (!decoded.ok()) return ReplyJson(*connection, kBadRequest, "{}");
    if (!MatchesOwner(decoded.value().fence)) {
      return Refuse(connection, "stale-epoch");
    }
    owner_ = NodeId();
    lease_until_ = MonotonicTime(0);
    ReplyJson(*connection, kOk, worker::EncodeReport(MakeReport()));
  }

  [[nodiscard]] WorkerReport MakeReport() const {
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

  void Serve(const Connection& connection) {
    const net::Headers& headers = connection->request().headers;
    const Fence fence{
        NodeId(std::string(headers.Get(worker::kOwnerHeader))),
        Epoch(static_cast<std::uint64_t>(std::atoll(
            std::string(headers.Get(worker::kEpochHeader)).c_str())))};
    if (check_fence_ && !MatchesOwner(fence)) {
      ++stale_refused_;
      return Refuse(connection, owner_.empty() ? "no-owner" : "stale-epoch");
    }
    if (leaving_) {
      ++leaving_refused_;
      return Refuse(connection, "leaving");
    }
    ++arrivals_by_concurrency_[static_cast<int>(in_flight_.size()) + 1];
    if (static_cast<int>(in_flight_.size()) >= slots_) {
      ++full_refused_;
      return Refuse(connection, "full");
    }
    const std::string id(headers.Get(worker::kRequestIdHeader));
    in_flight_.insert(id);
    ++served_;
    ++served_by_[std::to_string(epoch_.value()) + " " + owner_.str()];
    max_in_flight_ =
        std::max(max_in_flight_, static_cast<int>(in_flight_.size()));
    auto key = headers.Get(kRunKeyHeader);
    if (key.empty()) key = headers.Get("Idempotency-Key");
    if (!key.empty()) ++runs_by_key_[std::string(key)];
    const Milliseconds work(ParseNumber(headers.Get(kWorkHeader)));
    if (work.count() == 0) return Respond(connection, id);
    auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(
        work, [this, connection, id, timer] { Respond(connection, id); });
  }

  void Respond(const Connection& connection, const std::string& id) {
    in_flight_.erase(id);
    SendResponse(*connection, id);
  }

  void HandleTask(const Connection& connection) {
    const auto decoded = worker::DecodeTask(connection->request().body);
    if (!decoded.ok()) return ReplyJson(*connection, kBadRequest, "{}");
    const auto& [fence, command] = decoded.value();
    if (!MatchesOwner(fence)) {
      ++stale_refused_;
      return Refuse(connection, "stale-epoch");
    }
    const auto report = tasks_.Execute(command);
    if (!report) return Refuse(connection, "unknown-task");
    ReplyJson(*connection, kOk, worker::EncodeTaskReport(*report));
  }

  void SendRecord(const Connection& connection) {
    const json body{{"max_in_flight", max_in_flight_},
                    {"in_flight", in_flight_.size()},
                    {"max_connections", server_.max_open_connections()},
                    {"connections_refused", server_.refused_connections()},
                    {"served", served_},
                    {"full_refused", full_refused_},
                    {"stale_refused", stale_refused_},
                    {"leaving_refused", leaving_refused_},
                    {"runs_by_key", runs_by_key_},
                    {"claims", claims_},
                    {"served_by", served_by_},
                    {"task_runs", tasks_.Runs()},
                    {"running_tasks", tasks_.size()}};
    ReplyJson(*connection, kOk, body.dump());
  }

  base::EventLoop& loop_;
  RawServer server_;
  int slots_;
  /// False for a plain endpoint, which serves every caller.
  bool check_fence_;
  std::string boot_id_;
  Epoch epoch_;
  NodeId owner_;
  MonotonicTime lease_until_{0};
  bool leaving_ = false;
  std::set<std::string> in_flight_;
  WorkerTasks tasks_;
  std::map<int, int> arrivals_by_concurrency_;
  std::map<std::string, int> runs_by_key_;
  json claims_ = json::array();
  /// Number of requests served for each "<epoch> <owner>".
  std::map<std::string, std::uint64_t> served_by_;
  int max_in_flight_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t full_refused_ = 0;
  std::uint64_t stale_refused_ = 0;
  std::uint64_t leaving_refused_ = 0;
};

}  // namespace

int RunWorker(const Options& options) {
  base::EventLoop loop;
  WorkerStandin standin(loop, options);
  const auto address = ParseAddress(options.Text("listen", "127.0.0.1:0"));
  if (!address.ok()) return 2;
  const auto bound = standin.Listen(address.value());
  if (!bound.ok()) return 1;
  AnnounceAddresses("http=" + ToString(bound.value()));
  RunUntilTerminated(loop);
  return 0;
}

}  // namespace mangospread::standin
