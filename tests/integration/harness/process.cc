#include "integration/harness/process.hpp"

#include <fcntl.h>
#include <sys/types.h>
#include <sys/wait.h>

#include <boost/process.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "integration/harness/failure.hpp"

namespace mangospread::testing {

namespace bp = boost::process;

namespace {

/// Processes that exist, so that a failed wait can tell which of them ended.
std::mutex all_mutex;
std::vector<Process*> all;

/// True if a signal stopped the process and none has resumed it.
bool IsStopped(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  const auto end_of_name = text.rfind(')');
  return end_of_name != std::string::npos &&
         text.compare(end_of_name + 1, 2, " T") == 0;
}

}  // namespace

struct Process::Child {
  bp::ipstream out;
  bp::child process;
  std::optional<int> status;
  std::thread reader;  ///< Copies the rest of the output to the log.
};

Process::Process(const std::string& directory, std::string name,
                 const std::string& program,
                 const std::vector<std::string>& arguments)
    : name_(std::move(name)),
      log_(directory + "/" + name_ + ".log"),
      child_(std::make_unique<Child>()) {
  child_->process = bp::child(bp::exe = program, bp::args = arguments,
                              bp::std_in<bp::null, bp::std_out> child_->out,
                              bp::std_err > log_);
  // Boost.Process 1.74 leaves the pipe open to processes started later.
  fcntl(child_->out.pipe().native_source(), F_SETFD, FD_CLOEXEC);
  std::string line;
  std::getline(child_->out, line);
  std::istringstream words(line);
  std::string word;
  words >> word;
  if (word != "listening") {
    Kill();
    throw std::runtime_error(name_ + " did not start, see " + directory);
  }
  while (words >> word) {
    const auto equals = word.find('=');
    const auto address = ParseAddress(word.substr(equals + 1));
    if (address.ok()) addresses_[word.substr(0, equals)] = address.value();
  }
  child_->reader = std::thread(
      [out = &child_->out, path = directory + "/" + name_ + ".out"] {
        std::ofstream log(path, std::ios::app);
        for (std::string rest; std::getline(*out, rest);) {
          log << rest << std::endl;
        }
      });
  const std::lock_guard<std::mutex> lock(all_mutex);
  all.push_back(this);
}

Process::~Process() {
  {
    const std::lock_guard<std::mutex> lock(all_mutex);
    std::erase(all, this);
  }
  if (!running() && !end_expected_) {
    std::fprintf(stderr, "%s\n", Unexpected().c_str());
  }
  Kill();
  if (child_->reader.joinable()) child_->reader.join();
}

Address Process::address(const std::string& name) const {
  return addresses_.at(name);
}

int Process::pid() const { return child_->process.id(); }

// The pid of an ended process may belong to another one by now.
void Process::Pause() {
  if (running()) kill(child_->process.id(), SIGSTOP);
}
void Process::Resume() {
  if (running()) kill(child_->process.id(), SIGCONT);
}

void Process::Terminate() {
  end_expected_ = true;
  if (running()) kill(child_->process.id(), SIGTERM);
}

void Process::Kill() {
  if (!running()) return;
  end_expected_ = true;
  kill(child_->process.id(), SIGKILL);
  constexpr Milliseconds kLimit{10'000};
  (void)Wait(kLimit);
}

std::optional<int> Process::Wait(Milliseconds deadline) {
  const auto until = std::chrono::steady_clock::now() + deadline;
  while (running()) {
    if (std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return child_->status;
}

bool Process::running() {
  if (child_->status) return false;
  int status = 0;
  if (waitpid(child_->process.id(), &status, WNOHANG) <= 0) return true;
  child_->status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  child_->process.detach();
  return false;
}

std::string Process::Unexpected() {
  if (running()) {
    const pid_t pid = child_->process.id();
    return IsStopped(pid) ? name_ + " is stopped by a signal" : "";
  }
  if (end_expected_) return "";
  const int status = *child_->status;
  const std::string how = status < 0
                              ? "by signal " + std::to_string(-status) + " (" +
                                    strsignal(-status) + ")"
                              : "with exit status " + std::to_string(status);
  return name_ + " ended unexpectedly " + how + ", see " + log_;
}

std::string UnexpectedEnds() {
  const std::lock_guard<std::mutex> lock(all_mutex);
  std::string text;
  for (Process* process : all) {
    const std::string line = process->Unexpected();
    if (!line.empty()) text += "\n  " + line;
  }
  return text;
}

namespace {

std::string Variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) throw std::runtime_error(std::string(name) + " unset");
  return value;
}

}  // namespace

std::string NodeProgram() { return Variable("MANGOSPREAD_BIN"); }
std::string StandinProgram() { return Variable("MANGOSPREAD_STANDIN_BIN"); }

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace

std::string ReadLog(const std::string& directory, const std::string& name) {
  return ReadFile(directory + "/" + name + ".log");
}

std::string ReadOutput(const std::string& directory, const std::string& name) {
  return ReadFile(directory + "/" + name + ".out");
}

LogDirectory::LogDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "mangospread-test-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary directory");
  }
  path_ = name;
}

LogDirectory::~LogDirectory() {
  if (AnyCheckFailed() || std::uncaught_exceptions() > 0) {
    std::fprintf(stderr, "logs are kept in %s\n", path_.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace mangospread::testing
