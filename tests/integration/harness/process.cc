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

/// Existing Process objects, so that a failed wait can report which processes
/// ended.
std::mutex processes_mutex;
std::vector<Process*> processes;

/// True if a signal has stopped the process and it has not been continued.
bool IsStopped(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string stat;
  std::getline(file, stat);
  const auto end_of_name = stat.rfind(')');
  return end_of_name != std::string::npos &&
         stat.compare(end_of_name + 1, 2, " T") == 0;
}

}  // namespace

struct Process::Child {
  bp::ipstream out;
  bp::child process;
  std::optional<int> status;
  std::thread reader;  ///< Copies the rest of the output to the .out file.
};

Process::Process(const std::string& directory, std::string name,
                 const std::string& program,
                 const std::vector<std::string>& arguments)
    : name_(std::move(name)),
      log_path_(directory + "/" + name_ + ".log"),
      child_(std::make_unique<Child>()) {
  child_->process = bp::child(bp::exe = program, bp::args = arguments,
                              bp::std_in<bp::null, bp::std_out> child_->out,
                              bp::std_err > log_path_);
  // Boost.Process 1.74 lets processes that start later inherit the pipe.
  fcntl(child_->out.pipe().native_source(), F_SETFD, FD_CLOEXEC);
  std::string line;
  std::getline(child_->out, line);
  std::istringstream fields(line);
  std::string field;
  fields >> field;
  if (field != "listening") {
    Kill();
    throw std::runtime_error(name_ + " did not start, see " + directory);
  }
  while (fields >> field) {
    const auto equals = field.find('=');
    const auto address = ParseAddress(field.substr(equals + 1));
    if (address.ok()) addresses_[field.substr(0, equals)] = address.value();
  }
  child_->reader = std::thread(
      [out = &child_->out, path = directory + "/" + name_ + ".out"] {
        std::ofstream output_file(path, std::ios::app);
        for (std::string output_line; std::getline(*out, output_line);) {
          output_file << output_line << std::endl;
        }
      });
  const std::lock_guard<std::mutex> lock(processes_mutex);
  processes.push_back(this);
}

Process::~Process() {
  {
    const std::lock_guard<std::mutex> lock(processes_mutex);
    std::erase(processes, this);
  }
  if (!running() && !end_expected_) {
    std::fprintf(stderr, "%s\n", DescribeUnexpectedEnd().c_str());
  }
  Kill();
  if (child_->reader.joinable()) child_->reader.join();
}

Address Process::address(const std::string& name) const {
  return addresses_.at(name);
}

int Process::pid() const { return child_->process.id(); }

// The PID of a process that has ended may have been reused, so signals are sent
// to running processes only.
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
  constexpr Milliseconds kExitTimeout{10'000};
  (void)Wait(kExitTimeout);
}

std::optional<int> Process::Wait(Milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (running()) {
    if (std::chrono::steady_clock::now() >= deadline) return std::nullopt;
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

std::string Process::DescribeUnexpectedEnd() {
  if (running()) {
    const pid_t pid = child_->process.id();
    return IsStopped(pid) ? name_ + " is stopped by a signal" : "";
  }
  if (end_expected_) return "";
  const int status = *child_->status;
  const std::string end_description =
      status < 0 ? "by signal " + std::to_string(-status) + " (" +
                       strsignal(-status) + ")"
                 : "with exit status " + std::to_string(status);
  return name_ + " ended unexpectedly " + end_description + ", see " +
         log_path_;
}

std::string DescribeUnexpectedEnds() {
  const std::lock_guard<std::mutex> lock(processes_mutex);
  std::string lines;
  for (Process* process : processes) {
    const std::string description = process->DescribeUnexpectedEnd();
    if (!description.empty()) lines += "\n  " + description;
  }
  return lines;
}

namespace {

std::string RequireEnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) throw std::runtime_error(std::string(name) + " unset");
  return value;
}

}  // namespace

std::string NodeProgram() {
  return RequireEnvironmentVariable("MANGOSPREAD_BIN");
}
std::string StandinProgram() {
  return RequireEnvironmentVariable("MANGOSPREAD_STANDIN_BIN");
}

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
    throw std::runtime_error("cannot create a temporary directory");
  }
  path_ = name;
}

LogDirectory::~LogDirectory() {
  if (AnyCheckFailed() || std::uncaught_exceptions() > 0) {
    std::fprintf(stderr, "logs kept in %s\n", path_.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace mangospread::testing
