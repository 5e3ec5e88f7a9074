// Entry point of the stand-ins for the platform, for tests and demonstrations.
#include <cstdio>
#include <string>
#include <vector>

#include "host.hpp"

int main(int argc, char** argv) {
  namespace standin = mangospread::standin;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::string kind = arguments.empty() ? "" : arguments[0];
  const std::vector<std::string> rest(
      arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
  const standin::Options options(rest);
  standin::InstallCrashHandlers();
  if (kind == "table") return standin::RunTable(options);
  if (kind == "vm-list") return standin::RunVmList(options);
  if (kind == "worker") return standin::RunWorker(options);
  if (kind == "proxy") return standin::RunProxy(options);
  if (kind == "site") return standin::RunSite(options);
  std::fputs(
      "usage: mangospread-standin table|vm-list|worker|proxy|site [--listen "
      "A]\n",
      stderr);
  return 2;
}
