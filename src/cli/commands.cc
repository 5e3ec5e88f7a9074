#include "cli/commands.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "cli/http_call.hpp"
#include "cli/watch.hpp"

namespace mangospread::cli {
namespace {

namespace po = boost::program_options;

constexpr Milliseconds kTimeout{10'000};
constexpr int kFirstErrorStatus = 400;

struct Arguments {
  Address server;
  std::vector<std::string> positional;
  std::string file;
  std::string spec;
  std::optional<std::uint64_t> if_version;
  std::uint64_t since = 0;
};

struct Command {
  const char* usage;
  const char* help;
  std::size_t min_positional;
  std::size_t max_positional;
  std::function<int(const Arguments&)> run;
};

po::options_description Options() {
  po::options_description options("options");
  auto add = options.add_options();
  add("server", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "http address of any node");
  add("file", po::value<std::string>()->default_value(""),
      "apply: file with the specification, - for standard input");
  add("spec", po::value<std::string>()->default_value(""),
      "apply: the specification itself");
  add("if-version", po::value<std::uint64_t>(),
      "apply, delete: change only this version; 0 only creates");
  add("since", po::value<std::uint64_t>()->default_value(0),
      "watch: revision to resume from");
  add("positional", po::value<std::vector<std::string>>());
  return options;
}

Result<Arguments> Parse(const std::vector<std::string>& words) {
  po::positional_options_description positional;
  positional.add("positional", -1);
  po::variables_map values;
  // Boost.Program_options reports problems as exceptions; they end here.
  try {
    po::store(po::command_line_parser(words)
                  .options(Options())
                  .positional(positional)
                  .run(),
              values);
  } catch (const po::error& problem) {
    return Error{Errc::kInvalidArgument, problem.what()};
  }
  Arguments arguments;
  const auto server = ParseAddress(values["server"].as<std::string>());
  if (!server.ok()) return Error{Errc::kInvalidArgument, "--server"};
  arguments.server = server.value();
  arguments.file = values["file"].as<std::string>();
  arguments.spec = values["spec"].as<std::string>();
  arguments.since = values["since"].as<std::uint64_t>();
  if (values.count("if-version") > 0) {
    arguments.if_version = values["if-version"].as<std::uint64_t>();
  }
  if (values.count("positional") > 0) {
    arguments.positional = values["positional"].as<std::vector<std::string>>();
  }
  return arguments;
}

int PrintError(const Error& error) {
  std::fprintf(stderr, "error: %s: %s\n", error.error_code().message().c_str(),
               error.subject.c_str());
  return kExitFailure;
}

int Print(const Result<net::Response>& response) {
  if (!response.ok()) return PrintError(response.error());
  const bool failed = response.value().status >= kFirstErrorStatus;
  std::fputs(response.value().body.str().c_str(), failed ? stderr : stdout);
  return failed ? kExitFailure : kExitOk;
}

net::Request MakeRequest(net::Method method, std::string target) {
  net::Request request;
  request.method = method;
  request.target = std::move(target);
  return request;
}

int Get(const Arguments& arguments, const std::string& target) {
  return Print(
      Call(arguments.server, MakeRequest(net::Method::kGet, target), kTimeout));
}

Result<std::string> ReadSpec(const Arguments& arguments) {
  if (!arguments.spec.empty()) return arguments.spec;
  const bool standard_input = arguments.file.empty() || arguments.file == "-";
  std::ifstream file(standard_input ? "/dev/stdin" : arguments.file);
  if (!file) return Error{Errc::kNotFound, arguments.file};
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void AddVersion(const Arguments& arguments, net::Request& request) {
  if (arguments.if_version) {
    request.headers.Add("If-Match", std::to_string(*arguments.if_version));
  }
}

int RunApply(const Arguments& arguments) {
  auto spec = ReadSpec(arguments);
  if (!spec.ok()) return PrintError(spec.error());
  net::Request request = MakeRequest(
      net::Method::kPut, "/v1/resources/" + arguments.positional[0]);
  request.body = std::move(spec.value());
  AddVersion(arguments, request);
  return Print(Call(arguments.server, request, kTimeout));
}

int RunGet(const Arguments& arguments) {
  return Get(arguments, "/v1/resources/" + arguments.positional[0]);
}

int RunDelete(const Arguments& arguments) {
  net::Request request = MakeRequest(
      net::Method::kDelete, "/v1/resources/" + arguments.positional[0]);
  AddVersion(arguments, request);
  return Print(Call(arguments.server, request, kTimeout));
}

int RunStatus(const Arguments& arguments) {
  const std::string what =
      arguments.positional.empty() ? "config" : arguments.positional[0];
  return Get(arguments, "/v1/status/" + what);
}

int RunJob(const Arguments& arguments) {
  return Get(arguments, "/v1/jobs/" + arguments.positional[0]);
}

int RunExplain(const Arguments& arguments) {
  return Get(arguments, "/v1/explain/" + arguments.positional[0]);
}

int RunWatch(const Arguments& arguments) {
  return Watch(arguments.server, Revision(arguments.since)) ? kExitOk
                                                            : kExitFailure;
}

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> kCommands = {
      {"apply",
       {"apply <kind>/<name>", "create or change a resource", 1, 1, RunApply}},
      {"get",
       {"get <kind>[/<name>]", "show a resource or all of a kind", 1, 1,
        RunGet}},
      {"delete",
       {"delete <kind>/<name>", "delete a resource", 1, 1, RunDelete}},
      {"status",
       {"status [config|nodes|workers]", "show what is in force or alive", 0, 1,
        RunStatus}},
      {"job", {"job <name>", "show a job's progress", 1, 1, RunJob}},
      {"explain",
       {"explain task/<job>/<index>", "show the last decisions on a task", 1, 1,
        RunExplain}},
      {"watch", {"watch", "follow changes as JSON lines", 0, 0, RunWatch}},
  };
  return kCommands;
}

}  // namespace

bool IsCommand(const std::string& command) {
  return Commands().contains(command);
}

int RunCommand(const std::string& command,
               const std::vector<std::string>& words) {
  const Command& chosen = Commands().at(command);
  const auto arguments = Parse(words);
  if (!arguments.ok()) {
    PrintError(arguments.error());
    return kExitUsage;
  }
  const std::size_t count = arguments.value().positional.size();
  if (count < chosen.min_positional || count > chosen.max_positional) {
    std::fprintf(stderr, "usage: mangospread %s [options]\n", chosen.usage);
    return kExitUsage;
  }
  return chosen.run(arguments.value());
}

std::string CommandsHelp() {
  constexpr std::size_t kUsageWidth = 34;
  std::ostringstream out;
  for (const auto& [name, command] : Commands()) {
    std::string usage = command.usage;
    usage.resize(std::max(usage.size(), kUsageWidth), ' ');
    out << "  " << usage << command.help << "\n";
  }
  return out.str();
}

}  // namespace mangospread::cli
