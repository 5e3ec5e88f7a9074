/// @file
/// Common frame of the HTTP stand-ins: listens, prints the address, runs until
/// SIGTERM.
#pragma once

#include <functional>
#include <memory>

#include "base/loop/event_loop.hpp"
#include "net/http_server.hpp"
#include "options.hpp"

namespace mangospread::standin {

using Exchange = std::shared_ptr<net::HttpExchange>;

/// Serves `handler` on --listen (default 127.0.0.1:0) until SIGTERM.
/// @return the exit status.
int RunHost(base::EventLoop& loop, const Options& options,
            std::function<void(Exchange)> handler);

/// Runs the loop until SIGTERM.
void RunUntilTerminated(base::EventLoop& loop);

/// Replies with a JSON document.
void ReplyText(net::HttpExchange& exchange, int status,
               const std::string& body);

int RunTable(const Options& options);
int RunVmList(const Options& options);
int RunWorker(const Options& options);
int RunProxy(const Options& options);

}  // namespace mangospread::standin
