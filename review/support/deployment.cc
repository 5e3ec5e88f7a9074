#include "deployment.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCallTimeoutMs = 3'000;  ///< A consumer's time limit.
constexpr int kReadyTimeoutMs = 20'000;
constexpr int kAttempts = 3;

json EncodeSteps(const std::vector<StepRequest>& steps) {
  json list = json::array();
  for (const StepRequest& step : steps) {
    json entry = {{"count", step.count},
                  {"cpu", step.demand.cpu},
                  {"mem-mb", step.demand.memory_mb},
                  {"estimate-ms", step.demand.duration_ms}};
    if (!step.after.empty()) entry["after"] = step.after;
    if (!step.rack.empty()) entry["affinity"] = step.rack;
    if (step.long_running) entry["long-running"] = true;
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace

Deployment::Deployment(const std::string& program,
                       const std::string& record_path, int nodes,
                       const std::vector<WorkerOptions>& workers)
    : program_(program), record_(record_path), store_(record_) {
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) throw std::runtime_error("mkdtemp");
  folder_ = folder;
  Configure(1, kAttempts);
  for (const WorkerOptions& options : workers) {
    workers_.push_back(std::make_unique<Worker>(
        options, [this](const std::string& task) { return DemandOf(task); },
        runs_, record_));
    store_.Put("servers", options.id, workers_.back()->Entry());
  }
  nodes_.resize(static_cast<std::size_t>(nodes));
  for (std::size_t i = 0; i < nodes_.size(); ++i) StartNode(i);
}

Deployment::~Deployment() {
  for (const Node& node : nodes_) {
    if (node.process > 0) kill(node.process, SIGKILL);
  }
  for (const Node& node : nodes_) {
    if (node.process > 0) waitpid(node.process, nullptr, 0);
  }
  workers_.clear();
  store_.Stop();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

std::string Deployment::SettingsPath(std::size_t index) const {
  return folder_ + "/n" + std::to_string(index + 1) + ".toml";
}

void Deployment::WriteSettings(std::size_t index, int store_port) const {
  const std::string path = SettingsPath(index);
  // Replaced as a whole, so that no process reads a part of it.
  std::ofstream(path + ".new")
      << "node = \"n" << index + 1 << "\"\nrole = \"entry\"\n"
      << "class = \"front\"\nserves = [\"front\"]\nip = \"127.0.0.1\"\n"
      << "zone = \"dc\"\nregion = \"r\"\nport-range = [0, 0]\n"
      << "orders = \"rpc\"\n"
      << "[listen]\nfront = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
      << "[limits]\ncpu-share = 0.5\ncores = 1\nmemory-mb = 260\n"
      << "[bounds]\ngrace-s = 6\nhold-limit-ms = 10000\ncancel_ms = 3000\n"
      << "drain-ms = 2000\n"
      << "[platform]\naddr = \"127.0.0.1:" << store_port
      << "\"\nform = \"table\"\nwrites-per-s = 600\nreads-per-s = 2000\n"
      << "row-bytes = 65536\n";
  std::filesystem::rename(path + ".new", path);
}

void Deployment::StartNode(std::size_t index) {
  Node& node = nodes_[index];
  node.log = folder_ + "/n" + std::to_string(index + 1) + ".log";
  WriteSettings(index, store_.port());
  const std::string settings = SettingsPath(index);
  const pid_t parent = getpid();
  node.process = fork();
  if (node.process != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(2);
  const int log =
      open(node.log.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("MANGOSPREAD_CONFIG", settings.c_str(), 1);
  execl(program_.c_str(), program_.c_str(), "serve", "--managed",
        static_cast<char*>(nullptr));
  _exit(2);
}

bool Deployment::WaitUntilReady() {
  return WaitFor(
      [this] {
        for (Node& node : nodes_) {
          if (node.front_port == 0) {
            std::ifstream log(node.log);
            std::string line;
            while (std::getline(log, line)) {
              if (std::sscanf(line.c_str(),
                              "listening front=127.0.0.1:%d ready=127.0.0.1:%d",
                              &node.front_port, &node.ready_port) == 2) {
                break;
              }
            }
          }
          if (node.ready_port == 0) return false;
          const Request probe{"GET", "/mangospread/ready", {}, {}};
          if (Call(node.ready_port, probe, kCallTimeoutMs).status != kOk) {
            return false;
          }
        }
        return true;
      },
      kReadyTimeoutMs);
}

TaskDemand Deployment::DemandOf(const std::string& task) const {
  std::istringstream parts(task);
  std::string id;
  std::string occurrence;
  std::string step;
  std::getline(parts, id, '.');
  std::getline(parts, occurrence, '.');
  std::getline(parts, step, '.');
  const std::lock_guard lock(mutex_);
  const auto it = submissions_.find(id);
  if (it == submissions_.end()) return {1, 1, 1'000};
  return it->second.at(std::stoul(step)).demand;
}

int Deployment::Submit(std::size_t node, const std::string& id,
                       const std::string& spec,
                       const std::vector<StepRequest>& steps) {
  {
    const std::lock_guard lock(mutex_);
    submissions_[id] = steps;
  }
  Request request{"POST", "/jobs/" + id, {{"Host", "jobs.example"}}, {}};
  request.headers["Content-Type"] = "application/json";
  request.body = json{{"spec", spec}, {"steps", EncodeSteps(steps)}}.dump();
  const Response response =
      Call(nodes_[node].front_port, request, kCallTimeoutMs);
  record_.Add("POST " + id + " at n" + std::to_string(node + 1) + ", " +
              std::to_string(request.body.size()) + " bytes, spec " +
              json(spec).dump() + " -> " + std::to_string(response.status));
  return response.status;
}

bool Deployment::SubmitWithRetries(const std::string& id,
                                   const std::string& spec,
                                   const std::vector<StepRequest>& steps,
                                   int attempts) {
  constexpr int kRetryDelayMs = 1'000;
  for (int i = 0; i < attempts; ++i) {
    if (i > 0) Pause(kRetryDelayMs);
    const auto node = static_cast<std::size_t>(i) % nodes_.size();
    if (Submit(node, id, spec, steps) / 100 == 2) return true;
  }
  return false;
}

std::vector<StepRequest> Deployment::StepsOf(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  return submissions_.at(id);
}

std::string Deployment::State(std::size_t node, const std::string& id) {
  const Response response = Call(
      nodes_[node].front_port,
      {"GET", "/jobs/" + id, {{"Host", "jobs.example"}}, {}}, kCallTimeoutMs);
  std::string state = "status " + std::to_string(response.status);
  if (response.status == kOk) {
    state = json::parse(response.body).value("state", "");
  }
  record_.Add("GET " + id + " at n" + std::to_string(node + 1) + " -> " +
              state);
  return state;
}

std::string Deployment::AwaitState(const std::string& id,
                                   const std::vector<std::string>& states,
                                   int timeout_ms) {
  constexpr int kPollMs = 250;
  const std::int64_t deadline = NowMs() + timeout_ms;
  std::string state;
  std::size_t node = 0;
  do {
    state = State(node++ % nodes_.size(), id);
    for (const std::string& wanted : states) {
      if (state == wanted) return state;
    }
    Pause(kPollMs);
  } while (NowMs() < deadline);
  return state;
}

void Deployment::Configure(int version, int attempts) {
  const json route = {{"name", "queue"},
                      {"host", "jobs.example"},
                      {"prefix", "/jobs/"},
                      {"kind", "unsafe"},
                      {"timeout-ms", kCallTimeoutMs},
                      {"target-latency-ms", 1'000},
                      {"priority", 0},
                      {"service", "batch"},
                      {"attempts", attempts},
                      {"stretch", 2.0}};
  const json config = {
      {"version", version},
      {"routes", json::array({route})},
      {"services",
       json::array({{{"name", "batch"}, {"admission-check", true}}})},
      {"limits", {{"max-body-bytes", 262'144}}}};
  store_.Put("op", "config", config.dump());
  record_.Add("configuration " + std::to_string(version) +
              " is confirmed, attempts " + std::to_string(attempts));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Pause(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool WaitFor(const std::function<bool()>& condition, int timeout_ms) {
  constexpr int kPollMs = 20;
  const std::int64_t deadline = NowMs() + timeout_ms;
  while (!condition()) {
    if (NowMs() >= deadline) return false;
    Pause(kPollMs);
  }
  return true;
}

int RunCase(int argc, char** argv,
            const std::function<Verdict(const std::string& program,
                                        const std::string& record)>& run) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
    return static_cast<int>(Verdict::kNotRun);
  }
  Verdict verdict = Verdict::kNotRun;
  try {
    verdict = run(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  const char* const texts[] = {"the rule held", "the rule was broken",
                               "the case couldn't run"};
  std::puts(texts[static_cast<int>(verdict)]);
  return static_cast<int>(verdict);
}

}  // namespace review
