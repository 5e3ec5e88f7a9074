/// @file
/// Common frame of the stand-ins: logs start, end and fatal signals, prints
/// the address, runs until SIGTERM.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/loop/event_loop.hpp"
#include "net/http_server.hpp"
#include "options.hpp"

namespace mangospread::standin {

using Exchange = std::shared_ptr<net::HttpExchange>;

/// Writes a line with the time and the pid to stderr.
void Log(const std::string& line);

/// Logs fatal signals with a backtrace, and uncaught exceptions, before the
/// process ends by them. Ignores SIGPIPE.
void LogFatalEnds();

/// Prints "listening <addresses>", which tests wait for, and logs the same.
void Announce(const std::string& addresses);

/// Serves `handler` on --listen (default 127.0.0.1:0) until SIGTERM.
/// @return the exit status.
int RunHost(base::EventLoop& loop, const Options& options,
            std::function<void(Exchange)> handler);

/// Runs the loop until SIGTERM, SIGINT or SIGHUP and logs who sent it.
void RunUntilTerminated(base::EventLoop& loop);

/// Replies with a JSON document.
void ReplyText(net::HttpExchange& exchange, int status,
               const std::string& body);

int RunTable(const Options& options);
int RunVmList(const Options& options);
int RunWorker(const Options& options);
int RunProxy(const Options& options);
/// The platform of a managed node.
int RunSite(const Options& options);

}  // namespace mangospread::standin
