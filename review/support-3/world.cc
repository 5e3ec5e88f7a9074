#include "world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {
namespace {

constexpr Millis kHeartbeat{1'500};
constexpr Millis kHoldLimit{10'000};
constexpr std::size_t kEndsPerReply = 500;
constexpr const char* kStoreIp = "127.0.0.5";

std::string EncodeBase64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const std::uint32_t byte =
          i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0;
      group = group << 8 | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const std::size_t digit = kDigits.find(c);
    if (digit == std::string_view::npos) break;
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255);
  }
  return out;
}

std::string DecodeUrl(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const std::size_t equals = pair.find('=');
    query[pair.substr(0, equals)] = DecodeUrl(pair.substr(equals + 1));
    at = next;
  }
  return query;
}

bool PortIsFree(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(ip, port);
  const bool free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

std::string Seconds(double time) {
  char text[32];
  std::snprintf(text, sizeof(text), "%8.3f", time);
  return text;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// Record.

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), start_(Clock::now()) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  if (file_ == nullptr) return;
  std::fprintf(file_, "%s %s\n", Seconds(Now()).c_str(), text.c_str());
  std::fflush(file_);
}

// Store.

Store::Store(Record& record)
    : record_(record),
      server_([this](const Request& request) { return Handle(request); }) {}

int Store::Listen(const std::string& ip) { return server_.Listen(ip, 0); }

json Store::NowMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
}

void Store::Apply(const RowId& id, const std::string* value) {
  if (value != nullptr) {
    rows_[id] = {*value, version_, Clock::now()};
  } else {
    rows_.erase(id);
  }
  history_.push_back({id, version_, value == nullptr, value ? *value : ""});
}

bool Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  if (down_ || operator_part_down_) return false;
  ++version_;
  const std::string encoded = EncodeBase64(value);
  Apply({table, "", key}, &encoded);
  changed_.notify_all();
  return true;
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++version_;
  Apply({table, "", key}, nullptr);
  changed_.notify_all();
}

void Store::SetDelay(Millis delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
  record_.Line("store: its answers take " + std::to_string(delay.count()) +
               " ms");
}

void Store::SetDown(bool down, bool resets) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  resets_ = resets;
  if (!down) Expire();
  changed_.notify_all();
  record_.Line(!down    ? "store: up"
               : resets ? "store: down, resets"
                        : "store: down, silent");
}

void Store::SetOperatorPartDown(bool down) {
  const std::lock_guard lock(mutex_);
  operator_part_down_ = down;
  changed_.notify_all();
  record_.Line(down ? "store: the part of op and servers is down, busy"
                    : "store: the part of op and servers is up");
}

std::string Store::NodesRow(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, row] : rows_) {
    if (std::get<0>(id) == table && std::get<2>(id) == key) return row.value;
  }
  return {};
}

void Store::SetPingTimeout(Millis timeout) { ping_timeout_ = timeout; }

bool Store::Contains(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& row) {
    return std::get<0>(row.first) == table && std::get<2>(row.first) == key;
  });
}

void Store::Expire() {
  if (ping_timeout_.count() == 0) return;
  std::vector<RowId> silent;
  for (const auto& [id, row] : rows_) {
    if (std::get<0>(id) == "servers" &&
        Clock::now() - row.written > ping_timeout_) {
      silent.push_back(id);
    }
  }
  for (const RowId& id : silent) {
    ++version_;
    Apply(id, nullptr);
    record_.Line("store: removes servers/" + std::get<2>(id) +
                 ", silent for three ping intervals");
  }
  if (!silent.empty()) changed_.notify_all();
}

bool Store::DropIfDown() {
  std::unique_lock lock(mutex_);
  if (!down_) return false;
  if (resets_) return true;
  // No answer; the caller's time-out ends the call.
  changed_.wait_for(lock, std::chrono::seconds(20), [this] { return !down_; });
  return true;
}

std::optional<Response> Store::Handle(const Request& request) {
  if (DropIfDown()) return std::nullopt;
  const std::string path = request.target.substr(0, request.target.find('?'));
  const auto query = ParseQuery(request.target);
  Response response;
  const auto table = query.find("table");
  const auto is_operator_part = [&] {
    const std::lock_guard lock(mutex_);
    return operator_part_down_ && table != query.end() &&
           (table->second == "op" || table->second == "servers");
  };
  if (is_operator_part()) {
    response.status = 503;
  } else if (path == "/mangospread/rows-tx") {
    response = Transact(json::parse(request.body));
  } else if (path == "/mangospread/rows-get") {
    response = Get(query);
  } else if (path == "/mangospread/rows-feed") {
    response = Feed(query);
  } else {
    response.status = 404;
  }
  Millis delay;
  {
    const std::lock_guard lock(mutex_);
    delay = delay_;
  }
  std::this_thread::sleep_for(delay);
  if (is_operator_part()) return Response{503, "{}"};
  if (DropIfDown()) return std::nullopt;
  return response;
}

Response Store::Transact(const json& body) {
  const std::lock_guard lock(mutex_);
  const auto id = [](const json& row) {
    return RowId(row.at("table"), row.value("part", ""), row.at("key"));
  };
  const auto list = [&](const char* name) {
    return body.contains(name) ? body.at(name) : json::array();
  };
  bool met = true;
  json current = json::array();
  for (const json& row : list("expect-rev")) {
    const auto it = rows_.find(id(row));
    const std::uint64_t version = it == rows_.end() ? 0 : it->second.version;
    if (version != row.at("ver").get<std::uint64_t>()) met = false;
    if (it == rows_.end()) continue;
    current.push_back({{"table", std::get<0>(it->first)},
                       {"part", std::get<1>(it->first)},
                       {"key", std::get<2>(it->first)},
                       {"value", it->second.value},
                       {"ver", version}});
  }
  if (!met) {
    return {412,
            json({{"rows", current}, {"ver", version_}, {"now-ms", NowMs()}})
                .dump()};
  }
  for (const json& row : list("puts")) {
    const RowId target = id(row);
    if (std::get<0>(target) == "op" || std::get<0>(target) == "servers") {
      return {403, "{}"};
    }
  }
  ++version_;
  for (const json& row : list("puts")) {
    const std::string value = row.at("value");
    Apply(id(row), &value);
    if (std::get<0>(id(row)) == "job") {
      record_.Line("store: commits job/" + std::get<2>(id(row)));
    }
  }
  for (const json& row : list("remove")) Apply(id(row), nullptr);
  changed_.notify_all();
  return {200, json({{"ver", version_}, {"now-ms", NowMs()}}).dump()};
}

Response Store::Get(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const auto value = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  std::size_t limit = 500;
  if (query.contains("limit")) {
    limit = std::min<std::size_t>(limit, std::stoul(value("limit")));
  }
  json rows = json::array();
  bool more = false;
  for (auto it = rows_.lower_bound(
           RowId(value("table"), value("part"), value("from")));
       it != rows_.end(); ++it) {
    const auto& [table, part, key] = it->first;
    if (table != value("table") || part != value("part")) break;
    if (!value("target").empty() && key >= value("target")) break;
    if (rows.size() == limit) {
      more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", key},
                    {"value", it->second.value},
                    {"ver", it->second.version}});
  }
  return {200, json({{"rows", rows},
                     {"has-more", more},
                     {"ver", version_},
                     {"now-ms", NowMs()}})
                   .dump()};
}

Response Store::Feed(const std::map<std::string, std::string>& query) {
  std::unique_lock lock(mutex_);
  const std::string table = query.at("table");
  const std::uint64_t after = std::stoull(query.at("after"));
  const Millis wait(query.contains("wait-ms") ? std::stol(query.at("wait-ms"))
                                              : 0);
  const auto has_change = [&] {
    return std::any_of(
        history_.rbegin(), history_.rend(), [&](const Change& change) {
          return change.version > after && std::get<0>(change.id) == table;
        });
  };
  changed_.wait_for(
      lock, wait, [&] { return down_ || operator_part_down_ || has_change(); });
  json rows = json::array();
  for (const Change& change : history_) {
    if (change.version <= after || std::get<0>(change.id) != table) continue;
    json row = {{"table", table},
                {"part", std::get<1>(change.id)},
                {"key", std::get<2>(change.id)},
                {"ver", change.version}};
    if (change.deleted) {
      row["deleted"] = true;
    } else {
      row["value"] = change.value;
    }
    rows.push_back(std::move(row));
  }
  return {
      200,
      json({{"rows", rows}, {"ver", version_}, {"now-ms", NowMs()}}).dump()};
}

// Worker.

Worker::Worker(World& world, WorkerOptions options)
    : world_(world),
      options_(std::move(options)),
      server_([this](const Request& request) { return Handle(request); }) {}

void Worker::Start() {
  port_ = server_.Listen(options_.ip, port_);
  {
    const std::lock_guard lock(world_.mutex);
    born_ = std::max(born_ + 1, UnixMs());
    clock_start_ = Clock::now();
    fence_ = end_count_ = seq_ = 0;
    lease_end_ = 0;
    runs_.clear();
    highest_.clear();
    ended_.clear();
    up_ = true;
  }
  Register();
}

void Worker::Crash() {
  {
    const std::lock_guard lock(world_.mutex);
    up_ = false;
    for (const auto& [task, run] : runs_) {
      world_.Note(options_.id, "end", task, run.number, "lost with the worker");
    }
    runs_.clear();
    world_.changed.notify_all();
  }
  world_.record.Line("worker " + options_.id + ": crashes");
  server_.Stop();
}

void Worker::Restart(int cpu) {
  options_.cpu = cpu;
  world_.record.Line("worker " + options_.id + ": starts again, cpu " +
                     std::to_string(cpu));
  Start();
}

void Worker::Register() {
  if (!up_) return;
  json entry = {
      {"service", options_.service},
      {"addr", options_.ip + ":" + std::to_string(port_)},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold-left-ms", 0},
      {"capacity",
       {{"cpu", options_.cpu}, {"mem-mb", options_.memory}, {"gpu", 0}}},
      {"labels", options_.labels},
      {"clock-ms", ClockMs()},
      {"born", born_},
      {"seq", ++seq_}};
  world_.store.Put("servers", options_.id, entry.dump());
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - clock_start_)
             .count() +
         1'000;
}

Response Worker::Refuse(const char* reason) const {
  return {409,
          json({{"clock-ms", ClockMs()}, {"born", born_}, {"reason", reason}})
              .dump()};
}

int Worker::CpuInUse() const {
  int cpu = 0;
  for (const auto& [task, run] : runs_) cpu += run.plan.cpu;
  return cpu;
}

std::optional<Response> Worker::Handle(const Request& request) {
  const json body = json::parse(request.body, nullptr, false);
  std::unique_lock lock(world_.mutex);
  if (!up_) return std::nullopt;
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != options_.id) {
    return Response{421, "{}"};
  }
  if (!body.is_object()) return Response{400, "{}"};
  if (request.target == "/mangospread/run-start" && unhealthy_) {
    world_.Note(options_.id, "refused", body.value("task", ""), 0, "503");
    return Response{503, "{}"};
  }
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  if (request.target == "/mangospread/run-start") return Begin(body);
  if (request.target == "/mangospread/run-stop") return Stop(body);
  if (request.target == "/mangospread/hold") return Hold(body, lock);
  if (request.target == "/mangospread/pace") {
    return Response{200,
                    json({{"clock-ms", ClockMs()}, {"born", born_}}).dump()};
  }
  return Response{404, "{}"};
}

Response Worker::Begin(const json& body) {
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  const std::int64_t deadline = body.at("deadline-ms");
  if (deadline > ClockMs()) {
    lease_end_ = std::max(lease_end_,
                          std::min(deadline, ClockMs() + kHoldLimit.count()));
  }
  if (deadline <= ClockMs()) return Refuse("late");
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.number == run) {
    return {200, json({{"clock-ms", ClockMs()}, {"born", born_}}).dump()};
  }
  if (highest_.contains(task) && run <= highest_[task]) return Refuse("old");
  const TaskPlan plan = world_.PlanOf(task);
  const int in_use = CpuInUse() + plan.cpu;
  if (options_.guards && in_use > options_.cpu) return Refuse("room");
  highest_[task] = run;
  runs_[task] = {run, Clock::now(), plan};
  world_.Note(options_.id, "start", task, run,
              "cpu in use " + std::to_string(in_use) + " of " +
                  std::to_string(options_.cpu));
  return {200, json({{"clock-ms", ClockMs()}, {"born", born_}}).dump()};
}

Response Worker::Stop(const json& body) {
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  highest_[task] = std::max(highest_[task], run);
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number == run) {
    world_.Note(options_.id, "stop", task, run);
    EndRun(task, "stopped");
  }
  return {200, json({{"clock-ms", ClockMs()}, {"born", born_}}).dump()};
}

std::optional<Response> Worker::Hold(const json& body,
                                     std::unique_lock<std::mutex>& lock) {
  const std::int64_t deadline = body.value("deadline-ms", std::int64_t{0});
  lease_end_ =
      std::max(lease_end_, std::min(deadline, ClockMs() + kHoldLimit.count()));
  const std::uint64_t acked = body.value("acked-upto", std::uint64_t{0});
  std::erase_if(ended_,
                [&](const auto& end) { return std::get<0>(end) <= acked; });
  const std::int64_t born = born_;
  world_.changed.wait_for(lock, Millis(body.value("wait-ms", 0)), [&] {
    return !ended_.empty() || !up_ || born_ != born;
  });
  if (!up_ || born_ != born) return std::nullopt;
  return Lists();
}

Response Worker::Lists() {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    const auto elapsed = Clock::now() - run.started;
    const std::int64_t percent =
        run.plan.lasts
            ? 100
            : std::min<std::int64_t>(99, elapsed * 100 / run.plan.duration);
    running.push_back(json::array({task, run.number, "", percent, 0}));
  }
  json ended = json::array();
  for (const auto& [number, task, run, how] : ended_) {
    if (ended.size() == kEndsPerReply) break;
    ended.push_back(json::array({number, task, run, how, ""}));
  }
  return {200, json({{"clock-ms", ClockMs()},
                     {"born", born_},
                     {"running", running},
                     {"ended", ended}})
                   .dump()};
}

void Worker::EndRun(const std::string& task, const char* how) {
  const auto it = runs_.find(task);
  ended_.emplace_back(++end_count_, task, it->second.number, how);
  world_.Note(options_.id, "end", task, it->second.number, how);
  runs_.erase(it);
  world_.changed.notify_all();
}

void Worker::Advance() {
  if (!up_) return;
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, run] : runs_) {
    if (ClockMs() > lease_end_) {
      ends.emplace_back(task, "lapsed");
    } else if (!run.plan.lasts &&
               Clock::now() - run.started >= run.plan.duration) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) EndRun(task, how);
}

// World.

World::World(const std::string& folder, int node_count)
    : record(folder + "/record.txt"), store(record) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) temporary_ = pattern;
  for (int i = 0; i < node_count; ++i) {
    NodeProcess node;
    node.name = "front-" + std::to_string(i + 1);
    node.ip = "127.0.0." + std::to_string(11 + i);
    nodes.push_back(node);
  }
}

World::~World() {
  ending_ = true;
  StopNodes();
  if (ticker_.joinable()) ticker_.join();
  for (const auto& worker : workers) {
    if (worker->up()) worker->Crash();
  }
  if (!temporary_.empty()) std::filesystem::remove_all(temporary_);
}

void World::Note(const std::string& worker, const std::string& what,
                 const std::string& task, std::uint64_t run,
                 const std::string& detail) {
  events.push_back({record.Now(), worker, what, task, run, detail});
  record.Line("worker " + worker + ": " + what + " " + task + " run " +
              std::to_string(run) + (detail.empty() ? "" : " " + detail));
}

TaskPlan World::PlanOf(const std::string& task) const {
  // ID.K.STEP.INDEX
  const std::size_t first = task.find('.');
  const std::size_t second = task.find('.', first + 1);
  const std::size_t third = task.find('.', second + 1);
  const auto it = plans.find(task.substr(0, first) + "." +
                             task.substr(second + 1, third - second - 1));
  return it == plans.end() ? TaskPlan() : it->second;
}

int World::Leader() {
  const std::string row = DecodeBase64(store.NodesRow("role", "leader"));
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (row.find(nodes[i].name) != std::string::npos) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

void World::Kill(int node) {
  NodeProcess& process = nodes[static_cast<std::size_t>(node)];
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = -1;
  record.Line("node " + process.name + ": killed");
}

bool World::Restart(int node) {
  NodeProcess& process = nodes[static_cast<std::size_t>(node)];
  record.Line("node " + process.name + ": starts again");
  return StartNode(process);
}

Worker& World::AddWorker(WorkerOptions options) {
  workers.push_back(std::make_unique<Worker>(*this, std::move(options)));
  return *workers.back();
}

Response World::Send(int node, const std::string& method,
                     const std::string& target, const std::string& body,
                     Millis timeout) {
  const NodeProcess& to = nodes[static_cast<std::size_t>(node)];
  record.Line("client: sends " + method + " " + target + " to " + to.name);
  Response response =
      Call(to.ip, front_port_, method, target, host, body, timeout);
  record.Line("client: " + method + " " + target + " from " + to.name + ": " +
              (response.status == 0 ? "no answer, leaves"
                                    : std::to_string(response.status)) +
              " " + response.body);
  return response;
}

void World::Tick() {
  auto next_beat = Clock::now() + kHeartbeat;
  while (!ending_) {
    std::this_thread::sleep_for(Millis(10));
    {
      const std::lock_guard lock(mutex);
      for (const auto& worker : workers) worker->Advance();
    }
    if (Clock::now() < next_beat) continue;
    next_beat += kHeartbeat;
    for (const auto& worker : workers) worker->Register();
  }
}

bool World::StartNode(NodeProcess& node) {
  const std::string log = temporary_ + "/" + node.name + ".log";
  node.pid = fork();
  if (node.pid == 0) {
    // Ends with the driver, also if that is stopped by its time limit.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("MANGOSPREAD_CONFIG", node.settings.c_str(), 1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl("target/mangospread", "target/mangospread", "serve", "--managed",
          nullptr);
    _exit(127);
  }
  return node.pid > 0;
}

void World::StopNodes() {
  for (NodeProcess& node : nodes) {
    if (node.pid > 0) kill(node.pid, SIGKILL);
  }
  for (NodeProcess& node : nodes) {
    if (node.pid > 0) waitpid(node.pid, nullptr, 0);
    const char* keep = std::getenv("KEEP_LOGS");
    if (keep != nullptr && !temporary_.empty()) {
      std::filesystem::copy_file(
          temporary_ + "/" + node.name + ".log",
          std::string(keep) + "/" + node.name + ".log",
          std::filesystem::copy_options::overwrite_existing);
    }
    node.pid = -1;
  }
}

bool World::Start(const json& config) {
  if (temporary_.empty()) return false;
  const int store_port = store.Listen(kStoreIp);
  if (store_port == 0) return false;
  store.Put("op", "config", config.dump());
  // The ports are the same on all machines.
  int base = 0;
  for (int port = 21'000 + static_cast<int>(getpid() % 400) * 20;
       port < 60'000 && base == 0; port += 20) {
    bool free = true;
    for (const NodeProcess& node : nodes) {
      for (int i = 0; i < 19 && free; ++i) free = PortIsFree(node.ip, port + i);
    }
    if (free) base = port;
  }
  if (base == 0) return false;
  front_port_ = base + 16;
  ready_port_ = base + 17;
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, nodes.size()); ++i) {
    seeds += (i > 0 ? "," : "") + std::string("\"") + nodes[i].ip + ":" +
             std::to_string(base + 18) + "\"";
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    NodeProcess& node = nodes[i];
    node.settings = temporary_ + "/" + node.name + ".toml";
    std::ofstream file(node.settings);
    file << "node = \"" << node.name << "\"\n"
         << "role = \"entry\"\nclass = \"front\"\nserves = [\"front\"]\n"
         << "ip = \"" << node.ip << "\"\n"
         << "zone = \"" << (i % 2 == 0 ? "zone-a" : "zone-b") << "\"\n"
         << "region = \"region\"\n"
         << "port-range = [" << base << "," << base + 15 << "]\n"
         << "seeds = [" << seeds << "]\n"
         << "bootstrap = true\nin-tolerance = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\n"
         << "heartbeat-ms = " << kHeartbeat.count() << "\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
            "\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n"
         << "orders = \"rpc\"\n"
         << "[zones]\nzone-a = \"region\"\nzone-b = \"region\"\n"
         << "[listen]\nfront = \"" << node.ip << ":" << front_port_ << "\"\n"
         << "ready = \"" << node.ip << ":" << ready_port_ << "\"\n"
         << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n"
            "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
         << "[tolerate]\nmachines = 2\nzones = 0\nregions = 0\n"
         << "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\n"
            "ack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 6\n"
            "loss-slack-ms = 200\nconfig-ms = 2000\nrollback-slack-ms = 250\n"
            "max-skew-ms = 5000\nrecovery-s = 12\nhold-limit-ms = 10000\n"
            "stop-timeout-ms = 400\ngang-timeout-ms = 3000\ncancel_ms = 3000\n"
            "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
            "remote-factor = 2\ncheckpoint-s = 2\nrestore-ms = 600\n"
            "notice-ms = 4500\nmigrate-s = 1.5\nmaintenance-s = 2\n"
            "require-fence = false\nlease-ms = 3000\nthaw-ms = 300\n"
            "pacing-ms = 100\nimpact-ms = 4000\n"
         << "[platform]\naddr = \"" << kStoreIp << ":" << store_port << "\"\n"
         << "form = \"table\"\nwrites-per-s = 600\nreads-per-s = 2000\n"
            "txn-timeout-ms = 6.0\npartition-writes-s = 200\n"
            "row-bytes = 65536\ncross-shard = false\nretention-s = 20\n"
            "blob-bytes = 8388608\nblob-ms = 25.0\nblob-mb-s = 80.0\n";
  }
  for (const auto& worker : workers) worker->Start();
  ticker_ = std::thread([this] { Tick(); });
  for (NodeProcess& node : nodes) {
    if (!StartNode(node)) return false;
  }
  const auto limit = Clock::now() + std::chrono::seconds(15);
  for (const NodeProcess& node : nodes) {
    while (Call(node.ip, ready_port_, "GET", "/mangospread/ready", node.ip, "",
                Millis(500))
               .status != 200) {
      if (Clock::now() > limit) {
        record.Line("node " + node.name + " is not ready");
        return false;
      }
      Sleep(Millis(50));
    }
  }
  record.Line("all nodes are ready");
  // Traffic starts 10 s after the machines; the workers are attached earlier.
  Sleep(Millis(3'000));
  return true;
}

json Submission(const std::vector<json>& steps) {
  return {{"spec", "review"}, {"steps", steps}};
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
