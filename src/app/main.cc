#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "app/serve.hpp"
#include "cli/check_waits.hpp"
#include "cli/commands.hpp"
#include "cli/explain_log.hpp"
#include "cli/load/load.hpp"
#include "mangospread/preprocessor.hpp"

namespace {

namespace cli = mangospread::cli;

std::string Usage() {
  return "usage: mangospread <command> [options]\n\ncommands:\n"
         "  serve                             run an entry node "
         "(serve --help lists its settings)\n" +
         cli::CommandsHelp() +
         "  load                              send requests and measure "
         "(load --help)\n"
         "  explain-log <id>                  show what logs on standard input "
         "contain about a submission\n"
         "  check-waits <file>...             list submissions that had "
         "nothing "
         "running beside free workers\n"
         "  version                           print the version\n";
}

int Dispatch(const std::string& command,
             const std::vector<std::string>& arguments) {
  if (command == "serve") return mangospread::app::Serve(arguments);
  if (command == "load") return cli::RunLoad(arguments);
  if (command == "explain-log" && arguments.size() == 1) {
    return cli::RunExplainLog(arguments[0]);
  }
  if (command == "check-waits" && !arguments.empty()) {
    return cli::RunCheckWaits(arguments);
  }
  if (cli::IsCommand(command)) return cli::RunCommand(command, arguments);
  if (command == "version") {
    std::printf("mangospread %d.%d.%d\n", MANGOSPREAD_VERSION_MAJOR,
                MANGOSPREAD_VERSION_MINOR, MANGOSPREAD_VERSION_PATCH);
    return cli::kExitOk;
  }
  std::fprintf(stderr, "unknown command: %s\n%s", command.c_str(),
               Usage().c_str());
  return cli::kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  if (arguments.empty() || arguments[0] == "--help") {
    std::fputs(Usage().c_str(), stdout);
    return arguments.empty() ? cli::kExitUsage : cli::kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Dispatch(arguments[0], {arguments.begin() + 1, arguments.end()});
}
