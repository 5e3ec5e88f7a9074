/// @file
/// Concurrent callers that submit, cancel and query submissions of a managed
/// cluster and record the responses.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "integration/harness/http.hpp"

namespace mangospread::testing {

/// State of a submission according to the responses that callers received.
struct ObservedSubmission {
  bool accepted = false;
  /// Every attempt was refused with status 429 or 503 or failed to connect, and
  /// at least one was refused: the submission has certainly not been accepted.
  bool refused = false;
  bool cancel_sent = false;  ///< A caller has requested the cancellation.
  bool cancelled = false;    ///< The cancellation was confirmed.
  /// The cancellation was answered with 410, after an attempt to submit that
  /// the caller did not wait for: nothing may run.
  bool withdrawn = false;
  bool complete_reported = false;  ///< A response had the state "complete".
};

/// What the callers submit, and how often they send a request.
struct CallerLoad {
  /// Share of the submissions whose tasks last for seconds, in percent.
  int lasting_percent = 0;
  Milliseconds request_interval{15};
};

/// Tasks that last for longer than a lease, among others.
inline constexpr CallerLoad kLastingTasks{10, Milliseconds(60)};

/// Threads that send requests to random nodes and keep their connections open
/// until the node closes them.
class Callers {
 public:
  Callers(std::uint64_t seed, int threads, CallerLoad load = CallerLoad());
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Sets the address at which a node accepts requests. A node that is down
  /// keeps its last address.
  void SetNodeAddress(std::size_t node, const Address& address);
  /// Starts the threads.
  void Start();
  /// Stops the threads and waits for them to end.
  void Stop();

  /// Submissions by number. To be called only after Stop.
  [[nodiscard]] const std::map<int, ObservedSubmission>& submissions() const {
    return submissions_;
  }
  /// Responses that broke a guarantee, one line each.
  [[nodiscard]] std::vector<std::string> violations() const;

 private:
  struct Connection {
    Address address;
    std::unique_ptr<HttpConnection> http;
  };
  class CallerThread;

  [[nodiscard]] std::vector<Address> NodeAddresses();
  /// Picks a random submission number; 0 if that submission was not accepted.
  [[nodiscard]] int PickAcceptedSubmission(std::mt19937_64& random);
  void AddViolation(int submission, const std::string& description);

  std::uint64_t seed_;
  int thread_count_;
  CallerLoad load_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> next_submission_{1};
  mutable std::mutex mutex_;
  std::vector<Address> node_addresses_;
  std::map<int, ObservedSubmission> submissions_;
  std::vector<std::string> violations_;
  std::vector<std::thread> threads_;
};

}  // namespace mangospread::testing
