#include "integration/soak/callers.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "integration/harness/managed.hpp"

namespace mangospread::testing {
namespace {

constexpr int kMaxAttempts = 6;
constexpr Milliseconds kRequestTimeout{4'000};
constexpr Milliseconds kRetryInterval{150};
/// Longest time for which a caller that leaves waits for its submission.
constexpr int kMaxPatienceMs = 40;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

bool IsSuccess(const Response& response) {
  return response.ok() && response.status >= 200 && response.status < 300;
}

std::string RandomSubmissionBody(std::mt19937_64& random, int lasting_percent) {
  std::uniform_int_distribution<int> count(1, 4);
  const bool lasts =
      std::uniform_int_distribution<int>(0, 99)(random) < lasting_percent;
  std::uniform_int_distribution<int> task_ms(lasts ? 5'000 : 50,
                                             lasts ? 20'000 : 400);
  const auto make_step = [&] {
    return nlohmann::json{
        {"count", count(random)}, {"cpu", 1'000}, {"mem-mb", 10}};
  };
  nlohmann::json steps = {make_step()};
  if (count(random) == 1) {
    steps.push_back(make_step());
    steps.back()["after"] = {0};
  }
  return nlohmann::json{{"spec", std::to_string(task_ms(random))},
                        {"steps", steps}}
      .dump();
}

}  // namespace

/// The requests of one thread.
class Callers::CallerThread {
 public:
  CallerThread(Callers& callers, std::uint64_t seed)
      : callers_(callers), random_(seed) {}

  void Run() {
    std::uniform_int_distribution<int> percent(0, 99);
    while (!callers_.stopping_) {
      const int choice = percent(random_);
      if (choice < 50) {
        Submit();
      } else if (choice < 55) {
        Cancel();
      } else if (choice < 60) {
        Withdraw();
      } else {
        Query();
      }
      std::this_thread::sleep_for(callers_.load_.request_interval);
    }
  }

 private:
  Response SendToRandomNode(net::Method method, int submission,
                            const std::string& body = "",
                            Milliseconds timeout = kRequestTimeout) {
    const std::vector<Address> nodes = callers_.NodeAddresses();
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
    return connection.http->Send(request, timeout);
  }

  void Submit() {
    const int submission = callers_.next_submission_++;
    const std::string body =
        RandomSubmissionBody(random_, callers_.load_.lasting_percent);
    bool surely_not_accepted = true;
    bool refusal_received = false;
    for (int i = 0; i < kMaxAttempts && !callers_.stopping_; ++i) {
      const Response response =
          SendToRandomNode(net::Method::kPost, submission, body);
      if (IsSuccess(response)) {
        const std::lock_guard<std::mutex> lock(callers_.mutex_);
        callers_.submissions_[submission].accepted = true;
        return;
      }
      const bool refused =
          response.ok() && (response.status == kServiceUnavailable ||
                            response.status == kTooManyRequests);
      refusal_received = refusal_received || refused;
      surely_not_accepted =
          surely_not_accepted &&
          (refused || response.failure == RequestFailure::kConnect);
      std::this_thread::sleep_for(kRetryInterval);
    }
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    callers_.submissions_[submission].refused =
        surely_not_accepted && refusal_received;
  }

  /// Submits, leaves before the response, and cancels what may have been
  /// submitted; then a copy of the submission arrives late.
  void Withdraw() {
    const int submission = callers_.next_submission_++;
    const std::string body = RandomSubmissionBody(random_, 0);
    {
      const std::lock_guard<std::mutex> lock(callers_.mutex_);
      callers_.submissions_[submission].cancel_sent = true;
    }
    const Milliseconds patience(
        std::uniform_int_distribution<int>(1, kMaxPatienceMs)(random_));
    SendToRandomNode(net::Method::kPost, submission, body, patience);
    const Response response =
        SendToRandomNode(net::Method::kDelete, submission);
    SendToRandomNode(net::Method::kPost, submission, body);
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    ObservedSubmission& observed = callers_.submissions_[submission];
    observed.cancelled = IsSuccess(response);
    observed.withdrawn = response.ok() && response.status == kGone;
  }

  void Cancel() {
    const int submission = callers_.PickAcceptedSubmission(random_);
    if (submission == 0) return;
    {
      const std::lock_guard<std::mutex> lock(callers_.mutex_);
      callers_.submissions_[submission].cancel_sent = true;
    }
    const Response response =
        SendToRandomNode(net::Method::kDelete, submission);
    if (response.ok() && response.status == kGone) {
      callers_.AddViolation(submission,
                            "accepted, but a cancellation returned 410 Gone");
    }
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    if (IsSuccess(response)) callers_.submissions_[submission].cancelled = true;
  }

  void Query() {
    const int submission = callers_.PickAcceptedSubmission(random_);
    if (submission == 0) return;
    bool was_complete = false;
    {
      const std::lock_guard<std::mutex> lock(callers_.mutex_);
      was_complete = callers_.submissions_[submission].complete_reported;
    }
    const Response response = SendToRandomNode(net::Method::kGet, submission);
    if (!response.ok()) return;
    if (response.status == kGone) {
      return callers_.AddViolation(submission,
                                   "accepted, but a query returned 410 Gone");
    }
    if (!IsSuccess(response)) return;
    const std::string state =
        nlohmann::json::parse(response.body).value("state", "");
    if (was_complete && state != "complete") {
      callers_.AddViolation(submission,
                            "reported as complete, then as " + state);
    }
    // None of the submitted tasks fails, so no submission may fail.
    if (state == "failed") callers_.AddViolation(submission, "reported failed");
    const std::lock_guard<std::mutex> lock(callers_.mutex_);
    ObservedSubmission& observed = callers_.submissions_[submission];
    if (state == "complete") observed.complete_reported = true;
    if (state == "cancelled" && !observed.cancel_sent) {
      callers_.violations_.push_back(
          "cancelled although no caller requested it");
    }
  }

  Callers& callers_;
  std::mt19937_64 random_;
  std::vector<Connection> connections_;
};

Callers::Callers(std::uint64_t seed, int threads, CallerLoad load)
    : seed_(seed), thread_count_(threads), load_(load) {}

Callers::~Callers() { Stop(); }

void Callers::SetNodeAddress(std::size_t node, const Address& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (node_addresses_.size() <= node) node_addresses_.resize(node + 1);
  node_addresses_[node] = address;
}

void Callers::Start() {
  for (int i = 0; i < thread_count_; ++i) {
    threads_.emplace_back([this, seed = seed_ * 1'000 + i] {
      CallerThread(*this, static_cast<std::uint64_t>(seed)).Run();
    });
  }
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

std::vector<Address> Callers::NodeAddresses() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return node_addresses_;
}

int Callers::PickAcceptedSubmission(std::mt19937_64& random) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (submissions_.empty()) return 0;
  const int highest_number = submissions_.rbegin()->first;
  const int number =
      std::uniform_int_distribution<int>(1, highest_number)(random);
  const auto it = submissions_.find(number);
  return it != submissions_.end() && it->second.accepted ? number : 0;
}

void Callers::AddViolation(int submission, const std::string& description) {
  const std::lock_guard<std::mutex> lock(mutex_);
  violations_.push_back(SubmissionIdOf(submission) + ": " + description);
}

std::vector<std::string> Callers::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

}  // namespace mangospread::testing
