/// @file
/// Callers of a managed site: hand in, cancel and ask, and remember what they
/// were told.
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

/// What callers know of a submission.
struct Told {
  bool accepted = false;
  /// Each reply said that it was not accepted; every try got a reply.
  bool refused = false;
  bool cancel_sent = false;
  bool cancelled = false;  ///< The cancellation was confirmed.
  bool shown_complete = false;
};

/// Threads that call random nodes and keep their connections open until the
/// node closes them.
class Callers {
 public:
  Callers(std::uint64_t seed, int threads);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Where a node takes calls now; a node that is down keeps its address.
  void SetNode(std::size_t node, const Address& address);
  void Start();
  void Stop();

  /// Submissions by number. Only after Stop.
  [[nodiscard]] const std::map<int, Told>& told() const { return told_; }
  /// Promises that were seen broken.
  [[nodiscard]] std::vector<std::string> violations() const;

 private:
  struct Connection {
    Address address;
    std::unique_ptr<HttpConnection> http;
  };
  class Caller;

  [[nodiscard]] std::vector<Address> Nodes();
  /// A random accepted submission; 0 if there is none.
  [[nodiscard]] int PickAccepted(std::mt19937_64& random);
  void Report(int submission, const std::string& what);

  std::uint64_t seed_;
  int threads_wanted_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> next_{1};
  mutable std::mutex mutex_;
  std::vector<Address> nodes_;
  std::map<int, Told> told_;
  std::vector<std::string> violations_;
  std::vector<std::thread> threads_;
};

}  // namespace mangospread::testing
