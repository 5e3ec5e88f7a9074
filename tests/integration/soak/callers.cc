#include "integration/soak/callers.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "integration/harness/managed.hpp"

namespace mangospread::testing {
namespace {

constexpr int kTries = 6;
constexpr Milliseconds kReplyTime{4'000};
constexpr Milliseconds kBetweenCalls{15};
constexpr Milliseconds kBetweenTries{150};
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

bool IsSuccess(const Reply& reply) {
  return reply.ok() && reply.status >= 200 && reply.status < 300;
}

std::string Body(std::mt19937_64& random) {
  std::uniform_int_distribution<int> count(1, 4);
  std::uniform_int_distribution<int> length(50, 400);
  const auto step = [&] {
    return nlohmann::json{
        {"count", count(random)}, {"cpu", 1'000}, {"mem-mb", 10}};
  };
  nlohmann::json steps = {step()};
  if (count(random) == 1) {
    steps.push_back(step());
    steps.back()["after"] = {0};
  }
  return nlohmann::json{{"spec", std::to_string(length(random))},
                        {"steps", steps}}
      .dump();
}

}  // namespace

/// One thread's calls.
class Callers::Caller {
 public:
  Caller(Callers& callers, std::uint64_t seed)
      : callers_(callers), random_(seed) {}

  void Run() {
    std::uniform_int_distribution<int> percent(0, 99);
    while (!callers_.stopping_) {
      const int draw = percent(random_);
      if (draw < 50) {
        Submit();
      } else if (draw < 55) {
        Cancel();
      } else {
        Ask();
      }
      std::this_thread::sleep_for(kBetweenCalls);
    }
  }

 private:
  Reply Call(net::Method method, int submission, const std::string& body = "") {
    const std::vector<Address> nodes = callers_.Nodes();
    connections_.resize(nodes.size());
    const std::size_t node = std::uniform_int_distribution<std::size_t>(
        0, nodes.size() - 1)(random_);
    Connection& connection = connections_[node];
    if (connection.http == nullptr || connection.address != nodes[node]) {
      connection.address = nodes[node];
      connection.http = std::make_unique<HttpConnection>(nodes[node]);
    }
    net::Request request;
    request.method = method;
    request.target = "/jobs/" + SubmissionIdOf(submission);
    request.headers.Add("Host", "jobs.example");
    request.body = body;
    return connection.http->Send(request, kReplyTime);
  }

  void Submit() {
    const int submission = callers_.next_++;
    const std::string body = Body(random_);
    bool certain = true;
    bool replied = false;
    for (int i = 0; i < kTries && !callers_.stopping_; ++i) {
      const Reply reply = Call(net::Method::kPost, submission, body);
      if (IsSuccess(reply)) {
        const std::lock_guard<std::mutex> lock(callers_.mutex_);
        callers_.told_[submission].accepted = true;
        return;
      }
      const bool refused = reply.ok() && (reply.status == kUnavailable ||
                                          reply.status == kTooMany);
      replied = replied || refused;
      certain = certain && (refused || reply.failure == Failure::kConnect);
      std::this_thread::sleep_for(kBetweenTries);
    }
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    callers_.told_[submission].refused = certain && replied;
  }

  void Cancel() {
    const int submission = callers_.PickAccepted(random_);
    if (submission == 0) return;
    {
      const std::lock_guard<std::mutex> lock(callers_.mutex_);
      callers_.told_[submission].cancel_sent = true;
    }
    const Reply reply = Call(net::Method::kDelete, submission);
    if (reply.ok() && reply.status == kGone) {
      callers_.Report(submission, "accepted, and gone when cancelled");
    }
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    if (IsSuccess(reply)) callers_.told_[submission].cancelled = true;
  }

  void Ask() {
    const int submission = callers_.PickAccepted(random_);
    if (submission == 0) return;
    bool was_complete = false;
    {
      const std::lock_guard<std::mutex> lock(callers_.mutex_);
      was_complete = callers_.told_[submission].shown_complete;
    }
    const Reply reply = Call(net::Method::kGet, submission);
    if (!reply.ok()) return;
    if (reply.status == kGone) {
      return callers_.Report(submission, "accepted, and gone when asked for");
    }
    if (!IsSuccess(reply)) return;
    const std::string state =
        nlohmann::json::parse(reply.body).value("state", "");
    if (was_complete && state != "complete") {
      callers_.Report(submission, "complete, and later " + state);
    }
    if (state == "failed") callers_.Report(submission, "failed without cause");
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    Told& told = callers_.told_[submission];
    if (state == "complete") told.shown_complete = true;
    if (state == "cancelled" && !told.cancel_sent) {
      callers_.violations_.push_back("cancelled without a caller's wish");
    }
  }

  Callers& callers_;
  std::mt19937_64 random_;
  std::vector<Connection> connections_;
};

Callers::Callers(std::uint64_t seed, int threads)
    : seed_(seed), threads_wanted_(threads) {}

Callers::~Callers() { Stop(); }

void Callers::SetNode(std::size_t node, const Address& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (nodes_.size() <= node) nodes_.resize(node + 1);
  nodes_[node] = address;
}

void Callers::Start() {
  for (int i = 0; i < threads_wanted_; ++i) {
    threads_.emplace_back([this, seed = seed_ * 1'000 + i] {
      Caller(*this, static_cast<std::uint64_t>(seed)).Run();
    });
  }
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

std::vector<Address> Callers::Nodes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return nodes_;
}

int Callers::PickAccepted(std::mt19937_64& random) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (told_.empty()) return 0;
  const int highest = told_.rbegin()->first;
  const int number = std::uniform_int_distribution<int>(1, highest)(random);
  const auto it = told_.find(number);
  return it != told_.end() && it->second.accepted ? number : 0;
}

void Callers::Report(int submission, const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  violations_.push_back(SubmissionIdOf(submission) + ": " + what);
}

std::vector<std::string> Callers::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

}  // namespace mangospread::testing
