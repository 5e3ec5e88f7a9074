/// @file
/// Common process set-up of the stand-ins: logs the start, the end and fatal
/// signals, prints the listening address and runs until SIGTERM.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/loop/event_loop.hpp"
#include "net/http_server.hpp"
#include "options.hpp"

namespace mangospread::standin {

using Exchange = std::shared_ptr<net::HttpExchange>;

/// Writes a line to stderr, with the Unix time in milliseconds and the pid.
void Log(const std::string& line);

/// Installs handlers that log fatal signals with a backtrace, and uncaught
/// exceptions, before the process terminates. Ignores SIGPIPE.
void InstallCrashHandlers();

/// Prints "listening <addresses>", for which tests wait, and logs the same.
/// @param addresses list of name=address, separated by spaces.
void AnnounceAddresses(const std::string& addresses);

/// Serves `handler` on --listen (default 127.0.0.1:0) until SIGTERM.
/// @return the process's exit status.
int RunHttpStandin(base::EventLoop& loop, const Options& options,
                   std::function<void(Exchange)> handler);

/// Runs the loop until SIGTERM, SIGINT or SIGHUP and logs the pid of the
/// sender.
void RunUntilTerminated(base::EventLoop& loop);

/// Replies with a JSON document.
/// @param body the encoded document.
void ReplyJson(net::HttpExchange& exchange, int status,
               const std::string& body);

/// Each of these runs one stand-in until a signal that RunUntilTerminated
/// handles.
/// @return the process's exit status.
int RunTable(const Options& options);
int RunVmList(const Options& options);
int RunWorker(const Options& options);
int RunProxy(const Options& options);
/// Runs the stand-in for the platform of a managed node.
int RunSite(const Options& options);

}  // namespace mangospread::standin
