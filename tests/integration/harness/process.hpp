/// @file
/// A child process of a test.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangospread/address.hpp"
#include "mangospread/units.hpp"

namespace mangospread::testing {

/// Starts a program, reads its "listening name=address ..." line and ends it
/// by pid on destruction. Its stderr goes to <directory>/<name>.log, what it
/// prints after that line to <directory>/<name>.out.
class Process {
 public:
  Process(const std::string& directory, std::string name,
          const std::string& program,
          const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Address printed under `name`, for example "http".
  [[nodiscard]] Address address(const std::string& name) const;

  [[nodiscard]] int pid() const;

  void Pause();
  void Resume();
  /// Ends the process without notice and waits for it.
  void Kill();
  /// Sends SIGTERM without waiting.
  void Terminate();
  /// Waits for the exit status; no value when the process still runs after
  /// `deadline`, and -signal when a signal ended it.
  [[nodiscard]] std::optional<int> Wait(Milliseconds deadline);
  [[nodiscard]] bool running();
  /// Empty while the process runs or after Kill or Terminate; otherwise its
  /// name with its exit status or signal, or that it is stopped.
  [[nodiscard]] std::string Unexpected();

 private:
  struct Child;

  std::string name_;
  std::string log_;
  std::unique_ptr<Child> child_;
  /// The test itself asked the process to end.
  bool end_expected_ = false;
  std::map<std::string, Address> addresses_;
};

/// One line for each child process of the test that ended although the test
/// did not end it, or that is stopped. Empty if there is none.
[[nodiscard]] std::string UnexpectedEnds();

/// Program of the node and of the stand-ins, from MANGOSPREAD_BIN and
/// MANGOSPREAD_STANDIN_BIN.
[[nodiscard]] std::string NodeProgram();
[[nodiscard]] std::string StandinProgram();

/// A directory for logs. It is removed unless a check failed.
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

/// What a process of this name wrote to stderr so far.
[[nodiscard]] std::string ReadLog(const std::string& directory,
                                  const std::string& name);
/// What processes of this name printed after their addresses so far.
[[nodiscard]] std::string ReadOutput(const std::string& directory,
                                     const std::string& name);

}  // namespace mangospread::testing
