/// @file
/// A small deployment: the store, the workers, the processes under test, the
/// balancer in front of them, and a consumer.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <random>

#include "fleet.hpp"

namespace review2 {

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;
/// Bounds of the installation that the settings follow.
inline constexpr std::int64_t kContactMs = 3'000;
inline constexpr std::int64_t kCancelMs = 3'000;
inline constexpr std::int64_t kVisibleMs = 3'000;
inline constexpr std::int64_t kStopTimeoutMs = 200;
inline constexpr std::int64_t kConfigMs = 2'000;

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// True unless the environment asks for the run without the disruption.
inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

class Deployment {
 public:
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";
  static constexpr const char* kService = "huvo11a";

  /// @param nodes number of processes under test.
  Deployment(const std::string& record_path, int nodes)
      : record_(record_path), fleet_(store_, record_, kService) {
    char pattern[] = "/tmp/review2-XXXXXX";
    folder_ = mkdtemp(pattern);
    PutConfig(1);
    const int front = FreePort("127.0.0.11");
    const int ready = FreePort("127.0.0.11");
    const int peer = FreePort("127.0.0.11");
    for (int i = 0; i < nodes; ++i) {
      Node node;
      const std::string ip = "127.0.0." + std::to_string(11 + i);
      node.front = ip + ":" + std::to_string(front);
      node.ready = ip + ":" + std::to_string(ready);
      node.settings = folder_ + "/node" + std::to_string(i) + ".toml";
      node.log = folder_ + "/node" + std::to_string(i) + ".log";
      WriteSettings(node, i, ip, peer);
      nodes_.push_back(node);
    }
    for (int i = 0; i < nodes; ++i) StartNode(i);
    balancer_ = std::thread([this] { Balance(); });
  }

  ~Deployment() {
    stopped_ = true;
    balancer_.join();
    for (Node& node : nodes_) EndProcess(node, SIGKILL);
    fleet_.Stop();
    store_.Stop();
    while (Server::threads() > 0) SleepMs(10);
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      record_.Add("logs in " + folder_);
    }
  }

  Record& record() { return record_; }
  Store& store() { return store_; }
  Fleet& fleet() { return fleet_; }
  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] pid_t pid(int i) const {
    return nodes_[static_cast<std::size_t>(i)].pid;
  }
  [[nodiscard]] const std::string& folder() const { return folder_; }

  void PutConfig(int version) {
    store_.Put("op", "config",
               json{{"version", version},
                    {"routes",
                     {{{"name", "r-1"},
                       {"host", kHost},
                       {"prefix", kPrefix},
                       {"kind", "unsafe"},
                       {"timeout-ms", 3'000},
                       {"target-latency-ms", 1'000},
                       {"priority", 0},
                       {"service", kService},
                       {"attempts", 4},
                       {"stretch", 2.0}}}},
                    {"services",
                     {{{"name", kService},
                       {"health-path", "/health"},
                       {"max-conns", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"admission-check", true},
                       {"standby", false}}}},
                    {"limits",
                     {{"max-header-bytes", 16'384},
                      {"max-body-bytes", 262'144},
                      {"header-timeout-ms", 3'000},
                      {"idle-timeout-ms", 15'000}}}}
                   .dump());
  }

  void Signal(int i, int signal, const std::string& what) {
    record_.Add("node " + std::to_string(i) + " " + what);
    kill(pid(i), signal);
  }
  void KillNode(int i) {
    record_.Add("node " + std::to_string(i) + " is killed");
    EndProcess(nodes_[static_cast<std::size_t>(i)], SIGKILL);
  }

  void StartNode(int i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    const std::string config = "MANGOSPREAD_CONFIG=" + node.settings;
    const char* environment[] = {config.c_str(), "PATH=/usr/bin:/bin",
                                 "HOME=/tmp", "LANG=C", nullptr};
    node.pid = fork();
    if (node.pid == 0) {
      const int out =
          open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 4'096; ++fd) close(fd);
      execle("target/mangospread", "target/mangospread", "serve", "--managed",
             nullptr, environment);
      _exit(127);
    }
  }

  /// Index of the node that leads, from the metrics; -1 if none does.
  [[nodiscard]] int Leader() const {
    for (int i = 0; i < size(); ++i) {
      const Reply reply = Call(nodes_[static_cast<std::size_t>(i)].ready, "GET",
                               "/metrics", "x", "", 500);
      if (reply.body.find("leading 1\n") != std::string::npos) return i;
    }
    return -1;
  }

  /// Waits until every node is ready. Returns false if that takes too long.
  bool WaitReady() {
    for (int tries = 0; tries < 200; ++tries) {
      bool all = true;
      for (const Node& node : nodes_) {
        all = all && Call(node.ready, "GET", "/mangospread/ready", "x", "", 500)
                             .status == 200;
      }
      if (all) return true;
      SleepMs(100);
    }
    record_.Add("the deployment did not become ready");
    return false;
  }

  /// One call at one node, as the balancer forwards it.
  Reply CallNode(int i, const std::string& method, const std::string& id,
                 const std::string& body = "", int timeout_ms = 3'000) {
    const Reply reply = Call(nodes_[static_cast<std::size_t>(i)].front, method,
                             kPrefix + id, kHost, body, timeout_ms);
    record_.Add(method + " " + id + " at node " + std::to_string(i) +
                " answered " + std::to_string(reply.status) + " " +
                reply.body.substr(0, 60));
    return reply;
  }

  /// A call at any node in rotation, repeated as the pages say: after no
  /// response, 502 or 504 at once, after 429 or 503 a second later.
  Reply CallAny(const std::string& method, const std::string& id,
                const std::string& body = "", int retries = 4) {
    Reply reply;
    for (int attempt = 0; attempt <= retries; ++attempt) {
      reply = CallNode(PickNode(), method, id, body);
      const bool refused = reply.status == 429 || reply.status == 503;
      if (!refused && reply.status != 0 && reply.status != 502 &&
          reply.status != 504) {
        break;
      }
      if (refused) SleepMs(1'000);
    }
    return reply;
  }

  /// State of a submission; empty if no answer says one.
  std::string State(const std::string& id) {
    const Reply reply = CallAny("GET", id);
    if (reply.status == 410) return "410";
    const json body = json::parse(reply.body, nullptr, false);
    return reply.status == 200 && body.is_object() ? body.value("state", "")
                                                   : "";
  }

  int PickNode() {
    const std::lock_guard lock(mutex_);
    std::vector<int> usable;
    for (int i = 0; i < size(); ++i) {
      if (nodes_[static_cast<std::size_t>(i)].misses < 2) usable.push_back(i);
    }
    if (usable.empty()) {
      for (int i = 0; i < size(); ++i) usable.push_back(i);
    }
    return usable[random_() % usable.size()];
  }

 private:
  struct Node {
    std::string front;
    std::string ready;
    std::string settings;
    std::string log;
    pid_t pid = -1;
    int misses = 0;
  };

  void WriteSettings(const Node& node, int i, const std::string& ip, int peer) {
    std::ofstream file(node.settings);
    file << "node = \"front-" << i << "\"\nrole = \"entry\"\n"
         << "class = \"front\"\nserves = [\"front\"]\nip = \"" << ip
         << "\"\nzone = \"z-a\"\nregion = \"g-a\"\nport-range = [" << peer
         << "," << peer
         << "]\nseeds = []\nbootstrap = true\n"
            "discovery = \"platform\"\nentry = \"vip\"\n"
            "heartbeat-ms = 1100\norders = \"rpc\"\nhint = \"\"\n"
            "[zones]\nz-a = \"g-a\"\n[listen]\nfront = \""
         << node.front << "\"\nready = \"" << node.ready
         << "\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n"
            "max-fds = 4100\n[bounds]\ncontact-ms = 3000\nack-ms = 4000\n"
            "drain-ms = 2000\ngrace-s = 6\nconfig-ms = 2000\n"
            "hold-limit-ms = 10000\nstop-timeout-ms = 200\n"
            "gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
            "early_ms = 250\n[platform]\naddr = \""
         << store_.address()
         << "\"\nform = \"table\"\nwrites-per-s = 600\nreads-per-s = 2000\n"
            "row-bytes = 65536\n";
  }

  void Balance() {
    while (!stopped_) {
      for (Node& node : nodes_) {
        const int status =
            Call(node.ready, "GET", "/mangospread/ready", "x", "", 300).status;
        const std::lock_guard lock(mutex_);
        node.misses = status == 200 ? 0 : node.misses + 1;
      }
      for (int i = 0; i < 10 && !stopped_; ++i) SleepMs(100);
    }
  }

  static void EndProcess(Node& node, int signal) {
    if (node.pid <= 0) return;
    kill(node.pid, signal);
    kill(node.pid, SIGCONT);
    waitpid(node.pid, nullptr, 0);
    node.pid = -1;
  }

  Record record_;
  Store store_;
  Fleet fleet_;
  std::string folder_;
  std::vector<Node> nodes_;
  std::mutex mutex_;
  std::mt19937 random_{7};
  std::thread balancer_;
  std::atomic<bool> stopped_{false};
};

}  // namespace review2
