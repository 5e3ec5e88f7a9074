/// @file
/// Child processes of a test and their logs.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangospread/address.hpp"
#include "mangospread/units.hpp"

namespace mangospread::testing {

/// Starts a program, parses the "listening name=address ..." line that it
/// prints first, and kills it by its PID on destruction. Its stderr is written
/// to <directory>/<name>.log, its output after that line to
/// <directory>/<name>.out.
class Process {
 public:
  /// @throws std::runtime_error if the program does not print that line.
  Process(const std::string& directory, std::string name,
          const std::string& program,
          const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Address that the program printed for `name`, for example "http".
  [[nodiscard]] Address address(const std::string& name) const;

  [[nodiscard]] int pid() const;

  /// Stops the process with SIGSTOP.
  void Pause();
  /// Continues the process with SIGCONT.
  void Resume();
  /// Sends SIGKILL and waits for the process to end.
  void Kill();
  /// Sends SIGTERM without waiting.
  void Terminate();
  /// Waits for the process to end.
  /// @return the exit status, or the negated signal number if a signal ended
  /// the process; no value if it still runs after `timeout`.
  [[nodiscard]] std::optional<int> Wait(Milliseconds timeout);
  [[nodiscard]] bool running();
  /// Empty while the process runs and after Kill or Terminate. Otherwise a line
  /// with its name and its exit status or signal, or the information that a
  /// signal has stopped it.
  [[nodiscard]] std::string DescribeUnexpectedEnd();

 private:
  struct Child;

  std::string name_;
  std::string log_path_;
  std::unique_ptr<Child> child_;
  /// True once the test has terminated or killed the process.
  bool end_expected_ = false;
  std::map<std::string, Address> addresses_;
};

/// One line for each child process that ended without being terminated by the
/// test, or that is stopped. Empty if there is none.
[[nodiscard]] std::string DescribeUnexpectedEnds();

/// Path of the node program, from the environment variable MANGOSPREAD_BIN.
/// @throws std::runtime_error if the variable is not set.
[[nodiscard]] std::string NodeProgram();
/// Path of the stand-in program, from the environment variable
/// MANGOSPREAD_STANDIN_BIN.
/// @throws std::runtime_error if the variable is not set.
[[nodiscard]] std::string StandinProgram();

/// Temporary directory for logs. The destructor removes it unless a check
/// failed or an exception is propagating.
class LogDirectory {
 public:
  LogDirectory();
  ~LogDirectory();
  LogDirectory(const LogDirectory&) = delete;
  LogDirectory& operator=(const LogDirectory&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Text that the process with this name has written to stderr so far.
[[nodiscard]] std::string ReadLog(const std::string& directory,
                                  const std::string& name);
/// Text that the processes with this name have printed so far after their
/// "listening" lines.
[[nodiscard]] std::string ReadOutput(const std::string& directory,
                                     const std::string& name);

}  // namespace mangospread::testing
