#include "app/serve.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>

#include "app/failure_log.hpp"
#include "app/node/embedded_platform.hpp"
#include "app/node/node.hpp"
#include "app/platform_serve.hpp"
#include "app/settings.hpp"
#include "app/signal_handler.hpp"
#include "base/events.hpp"
#include "table/http_table.hpp"
#include "table/memory_table.hpp"
#include "worker/http_worker.hpp"

namespace mangospread::app {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Milliseconds kVmListTimeout{1'000};
constexpr Milliseconds kLogFlushPeriod{200};

PlatformClients MakePlatform(base::EventLoop& loop, const Settings& settings) {
  PlatformClients platform;
  if (settings.platform == Platform::kEmbedded) {
    base::Log(base::Event::kEmbeddedTable,
              {{"consequence", "all state is lost when this process ends"}});
    platform.table = std::make_unique<table::MemoryTable>(
        [&loop](std::function<void()> fn) { loop.Post(std::move(fn)); });
    platform.vm_list =
        std::make_unique<FixedVmList>(loop, settings.embedded_vms);
    return platform;
  }
  platform.table = std::make_unique<table::HttpTable>(
      net::HttpClientPool::Create(loop, settings.table, {}),
      settings.table_timeout);
  platform.vm_list = std::make_unique<worker::HttpVmList>(
      net::HttpClientPool::Create(loop, settings.vm_list, {}), kVmListTimeout);
  return platform;
}

bool HasFlag(const std::vector<std::string>& arguments, const char* flag) {
  return std::find(arguments.begin(), arguments.end(), flag) != arguments.end();
}

/// The argument after `flag`; empty if there is none.
std::string FlagValue(const std::vector<std::string>& arguments,
                      const char* flag) {
  const auto it = std::find(arguments.begin(), arguments.end(), flag);
  if (it == arguments.end() || std::next(it) == arguments.end()) return {};
  return *std::next(it);
}

int RunNode(const Settings& settings) {
  base::EventLoop loop;
  int status = 0;
  Node node(loop, settings, MakePlatform(loop, settings), [&](int result) {
    status = result;
    loop.Stop();
  });
  const StopSignals stop_signals(loop, [&node] { node.Stop(); });
  const auto started = node.Start();
  if (!started.ok()) {
    LogStartFailure(started.error());
    return kExitFailure;
  }
  std::printf("listening http=%s rpc=%s\n",
              ToString(node.http_address()).c_str(),
              ToString(node.rpc_listen_address()).c_str());
  std::fflush(stdout);
  const auto flush = loop.Every(kLogFlushPeriod, 0, [] { base::FlushLog(); });
  loop.Run();
  return status;
}

}  // namespace

int Serve(const std::vector<std::string>& arguments) {
  if (HasFlag(arguments, "--help")) {
    std::fputs(SettingsHelp().c_str(), stdout);
    return 0;
  }
  if (HasFlag(arguments, "--managed")) {
    return ServeManaged(FlagValue(arguments, "--settings"),
                        HasFlag(arguments, "--check"));
  }
  std::vector<Error> errors;
  const Settings settings = ParseSettings(arguments, errors);
  for (const Error& error : errors) LogInvalidSetting(error);
  if (!errors.empty()) return kExitUsage;
  if (HasFlag(arguments, "--check")) {
    std::puts("settings are valid");
    return 0;
  }
  base::ConfigureLog(settings.log_level, settings.node.str());
  std::signal(SIGPIPE, SIG_IGN);
  const int status = RunNode(settings);
  base::FlushLog();
  return status;
}

}  // namespace mangospread::app
