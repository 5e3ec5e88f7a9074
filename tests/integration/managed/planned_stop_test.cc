// Guards against requests that a stopping node reads and never answers (LOST):
// it takes new ones on open connections until its process ends, and the node
// that is to process them may not reply by then.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/loop/clock.hpp"
#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"
#include "net/http_status.hpp"

namespace mangospread::testing {
namespace {

/// A connection may close this long after a request was sent without an answer
/// to it, since the process may not have read it yet.
constexpr MonotonicTime kLossSlack = std::chrono::milliseconds(200);
/// Time from SIGTERM to SIGKILL; the default of the settings.
constexpr Milliseconds kGraceTime{6'000};
/// A node without requests in flight ends 2.3 s after the signal.
constexpr MonotonicTime kRequestsFrom = std::chrono::milliseconds(2'000);
constexpr Milliseconds kRequestPeriod{40};
constexpr int kConnections = 90;
/// In each direction, so that some request is always in flight.
constexpr Milliseconds kTableDelay{100};

struct Answer {
  int submission = 0;
  Response response;
  MonotonicTime waited{0};
};

/// What keeps requests without a reply, from `after` on, counted from the
/// signal.
struct Fault {
  MonotonicTime after{0};
  std::function<void()> begin;
  std::function<void()> end;
};

net::Request MakeRequest(net::Method method, int submission) {
  net::Request request;
  request.method = method;
  request.target = "/jobs/" + SubmissionIdOf(submission);
  request.headers.Add("Host", "jobs.example");
  if (method == net::Method::kPost) {
    request.body = R"({"spec":"10","steps":[{"count":1,"cpu":1000,"mem-mb":10,)"
                   R"("estimate-ms":10}]})";
  }
  return request;
}

/// A site of which one follower gets SIGTERM, while callers keep connections to
/// it open.
class StoppingSite {
 public:
  StoppingSite() : cluster_(3, 2) {
    cluster_.WaitUntilReady();
    leader_ = cluster_.AwaitLeader();
    stopping_ = leader_ == 0 ? 1 : 0;
    const Address front = cluster_.node(stopping_).address("front");
    for (int i = 0; i < kConnections; ++i) {
      connections_.push_back(std::make_unique<HttpConnection>(front));
      // Opens the connection.
      const Response response = connections_.back()->Send(
          MakeRequest(net::Method::kGet, kConnections));
      REQUIRE(response.ok());
    }
    cluster_.DelayTable(kTableDelay);
  }

  [[nodiscard]] ManagedCluster& cluster() { return cluster_; }
  [[nodiscard]] Process& leader() { return cluster_.node(leader_); }
  [[nodiscard]] Process& stopping() { return cluster_.node(stopping_); }

  void SetLeadersTableFaults(const std::string& faults) {
    const Address control = cluster_.table_proxy(leader_);
    REQUIRE(Post(control, "/standin/faults", faults).ok());
  }

  /// Sends SIGTERM, then a submission on each open connection, one after the
  /// other, until the process has ended. Returns the answers to those that were
  /// sent.
  std::vector<Answer> SubmitWhileStopping(const Fault& fault) {
    const MonotonicTime signalled_at = base::MonotonicNow();
    stopping().Terminate();
    std::this_thread::sleep_for(kRequestsFrom);
    bool begun = false;
    std::vector<std::future<Answer>> pending;
    pending.reserve(kConnections);
    for (int i = 0; i < kConnections && stopping().running(); ++i) {
      if (!begun && base::MonotonicNow() - signalled_at >= fault.after) {
        begun = true;
        fault.begin();
      }
      HttpConnection& connection = *connections_[static_cast<std::size_t>(i)];
      if (connection.reusable()) {
        pending.push_back(std::async(std::launch::async, &StoppingSite::Submit,
                                     std::ref(connection), i));
      }
      std::this_thread::sleep_for(kRequestPeriod);
    }
    std::vector<Answer> answers;
    answers.reserve(pending.size());
    for (auto& answer : pending) answers.push_back(answer.get());
    return answers;
  }

 private:
  static Answer Submit(HttpConnection& connection, int submission) {
    const MonotonicTime sent_at = base::MonotonicNow();
    Response response =
        connection.Send(MakeRequest(net::Method::kPost, submission));
    return {submission, std::move(response), base::MonotonicNow() - sent_at};
  }

  ManagedCluster cluster_;
  std::size_t leader_ = 0;
  std::size_t stopping_ = 0;
  std::vector<std::unique_ptr<HttpConnection>> connections_;
};

/// Checks that each request that the process may have read has an answer, and
/// that a refusal says when to retry.
void CheckAnswers(const std::vector<Answer>& answers) {
  for (const Answer& answer : answers) {
    CAPTURE(answer.submission);
    CAPTURE(answer.waited.count());
    CHECK((answer.response.ok() || answer.waited < kLossSlack));
    if (answer.response.status == net::status::kServiceUnavailable) {
      CHECK(answer.response.headers.Has("Retry-After"));
    }
  }
}

/// Ids of the submissions that have this status.
std::set<std::string> IdsWithStatus(const std::vector<Answer>& answers,
                                    int status) {
  std::set<std::string> ids;
  for (const Answer& answer : answers) {
    if (answer.response.status == status) {
      ids.insert(SubmissionIdOf(answer.submission));
    }
  }
  return ids;
}

/// Checks that all accepted submissions run, and none that was refused.
void CheckRuns(ManagedCluster& cluster, const std::vector<Answer>& answers) {
  const auto accepted = IdsWithStatus(answers, net::status::kOk);
  const auto refused = IdsWithStatus(answers, net::status::kServiceUnavailable);
  MESSAGE(answers.size() << " requests, " << accepted.size() << " accepted, "
                         << refused.size() << " refused");
  std::set<std::string> started;
  WaitUntil("all accepted submissions have started", kWaitTimeout, [&] {
    started = cluster.GetCounters().started;
    return std::includes(started.begin(), started.end(), accepted.begin(),
                         accepted.end());
  });
  for (const std::string& id : refused) {
    CAPTURE(id);
    CHECK_FALSE(started.contains(id));
  }
}

TEST_CASE("a stopping node answers each request that it has read") {
  StoppingSite site;
  Fault fault;
  SUBCASE("the leader does not reply") {
    fault = {std::chrono::milliseconds(4'300), [&] { site.leader().Pause(); },
             [&] { site.leader().Resume(); }};
  }
  SUBCASE("the leader's store does not reply") {
    fault = {
        std::chrono::milliseconds(4'300),
        [&] {
          site.SetLeadersTableFaults(R"({"drop_up":true,"drop_down":true})");
        },
        [&] { site.SetLeadersTableFaults("{}"); }};
  }
  SUBCASE("there is no leader") {
    fault = {std::chrono::milliseconds(4'800), [&] { site.leader().Kill(); },
             [] {}};
  }
  const MonotonicTime signalled_at = base::MonotonicNow();
  const std::vector<Answer> answers = site.SubmitWhileStopping(fault);
  CHECK(site.stopping().Wait(kGraceTime) == 0);
  CHECK(base::MonotonicNow() - signalled_at < kGraceTime);
  fault.end();
  CheckAnswers(answers);
  CheckRuns(site.cluster(), answers);
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
