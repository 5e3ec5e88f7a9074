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

#include "cli/changes.hpp"
#include "cli/http_call.hpp"
#include "cli/watch.hpp"
#include "mangospread/resource.hpp"

namespace mangospread::cli {
namespace {

namespace po = boost::program_options;

constexpr Milliseconds kRequestTimeout{10'000};
constexpr int kFirstErrorStatus = 400;

struct Arguments {
  Server server;
  std::vector<std::string> positional;
  std::string file;
  std::string spec;
  std::optional<std::uint64_t> if_version;
  std::uint64_t since = 0;
  bool wait = false;
  std::string policy;
};

struct Command {
  const char* usage;
  const char* help;
  std::size_t min_positional;
  std::size_t max_positional;
  std::function<int(const Arguments&)> run;
};

po::options_description DescribeOptions() {
  po::options_description options("options");
  auto add = options.add_options();
  add("server", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "HTTP address of any node");
  add("token", po::value<std::string>()->default_value(""),
      "token for administration; prefer MANGOSPREAD_TOKEN, since other users "
      "of the machine can see a command's flags");
  add("wait", po::bool_switch(),
      "apply, delete, cancel, drain, undrain: wait until the change is in "
      "force on all nodes");
  add("policy", po::value<std::string>()->default_value("maintenance"),
      "drain, undrain: policy resource that lists the VMs");
  add("file", po::value<std::string>()->default_value(""),
      "apply: file with the specification, - for standard input");
  add("spec", po::value<std::string>()->default_value(""),
      "apply: the specification itself");
  add("if-version", po::value<std::uint64_t>(),
      "apply, delete: change only this version; 0 allows only creation");
  add("since", po::value<std::uint64_t>()->default_value(0),
      "watch: revision to resume from");
  add("positional", po::value<std::vector<std::string>>());
  return options;
}

/// Name of the option that an environment variable sets; empty for others.
std::string OptionFromVariable(const std::string& variable) {
  if (variable == "MANGOSPREAD_SERVER") return "server";
  if (variable == "MANGOSPREAD_TOKEN") return "token";
  return "";
}

Result<Arguments> ParseArguments(const std::vector<std::string>& args) {
  po::positional_options_description positional;
  positional.add("positional", -1);
  po::variables_map values;
  // Boost.Program_options reports invalid arguments by exceptions.
  try {
    po::store(po::command_line_parser(args)
                  .options(DescribeOptions())
                  .positional(positional)
                  .run(),
              values);
    po::store(po::parse_environment(DescribeOptions(), OptionFromVariable),
              values);
  } catch (const po::error& exception) {
    return Error{Errc::kInvalidArgument, exception.what()};
  }
  Arguments arguments;
  const auto server = ParseAddress(values["server"].as<std::string>());
  if (!server.ok()) return Error{Errc::kInvalidArgument, "--server"};
  arguments.server = {server.value(), values["token"].as<std::string>()};
  arguments.wait = values["wait"].as<bool>();
  arguments.policy = values["policy"].as<std::string>();
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

int PrintResponse(const Result<net::Response>& response) {
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

int SendGet(const Arguments& arguments, const std::string& target) {
  return PrintResponse(SendRequest(arguments.server,
                                   MakeRequest(net::Method::kGet, target),
                                   kRequestTimeout));
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

int WaitIfRequested(const Arguments& arguments, Revision revision) {
  if (!arguments.wait) return kExitOk;
  const auto wait_result = WaitUntilInForce(arguments.server, revision);
  return wait_result.ok() ? kExitOk : PrintError(wait_result.error());
}

/// Sends a change and prints the response; waits afterwards if requested.
int SendChange(const Arguments& arguments, const net::Request& request) {
  const auto response = SendRequest(arguments.server, request, kRequestTimeout);
  const int status = PrintResponse(response);
  if (status != kExitOk || !arguments.wait) return status;
  const auto revision = AcceptedRevision(response.value().body.str());
  return revision.ok() ? WaitIfRequested(arguments, revision.value())
                       : PrintError(revision.error());
}

int PrintRevision(const Arguments& arguments,
                  const Result<Revision>& revision) {
  if (!revision.ok()) return PrintError(revision.error());
  std::printf("accepted as revision %s\n",
              std::to_string(revision.value().value()).c_str());
  return WaitIfRequested(arguments, revision.value());
}

int RunApply(const Arguments& arguments) {
  auto spec = ReadSpec(arguments);
  if (!spec.ok()) return PrintError(spec.error());
  net::Request request = MakeRequest(
      net::Method::kPut, "/v1/resources/" + arguments.positional[0]);
  request.body = std::move(spec.value());
  AddVersion(arguments, request);
  return SendChange(arguments, request);
}

/// Validates a specification without a node.
int RunCheck(const Arguments& arguments) {
  const std::string& name = arguments.positional[0];
  const auto slash = name.find('/');
  const auto kind = ParseResourceKind(name.substr(0, slash));
  if (!kind.ok()) return PrintError(kind.error());
  if (slash == std::string::npos) {
    return PrintError({Errc::kMissingField, "name"});
  }
  const auto spec = ReadSpec(arguments);
  if (!spec.ok()) return PrintError(spec.error());
  const auto validated =
      ValidateResource({kind.value(), name.substr(slash + 1)}, spec.value());
  if (!validated.ok()) return PrintError(validated.error());
  std::printf("%s\n", validated.value().c_str());
  return kExitOk;
}

int RunCancel(const Arguments& arguments) {
  const std::string& name = arguments.positional[0];
  constexpr std::string_view kPrefix = "job/";
  return PrintRevision(
      arguments, CancelJob(arguments.server, name.starts_with(kPrefix)
                                                 ? name.substr(kPrefix.size())
                                                 : name));
}

int RunDrain(const Arguments& arguments) {
  return PrintRevision(arguments, SetDrained(arguments.server, arguments.policy,
                                             arguments.positional[0], true));
}

int RunUndrain(const Arguments& arguments) {
  return PrintRevision(arguments, SetDrained(arguments.server, arguments.policy,
                                             arguments.positional[0], false));
}

int RunGet(const Arguments& arguments) {
  return SendGet(arguments, "/v1/resources/" + arguments.positional[0]);
}

int RunDelete(const Arguments& arguments) {
  net::Request request = MakeRequest(
      net::Method::kDelete, "/v1/resources/" + arguments.positional[0]);
  AddVersion(arguments, request);
  return SendChange(arguments, request);
}

int RunStatus(const Arguments& arguments) {
  const std::string section =
      arguments.positional.empty() ? "config" : arguments.positional[0];
  return SendGet(arguments, "/v1/status/" + section);
}

int RunJob(const Arguments& arguments) {
  return SendGet(arguments, "/v1/jobs/" + arguments.positional[0]);
}

int RunExplain(const Arguments& arguments) {
  return SendGet(arguments, "/v1/explain/" + arguments.positional[0]);
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
      {"check",
       {"check <kind>/<name>", "validate a specification without a node", 1, 1,
        RunCheck}},
      {"cancel", {"cancel job/<name>", "cancel a job", 1, 1, RunCancel}},
      {"drain", {"drain <vm>", "place no new work on a VM", 1, 1, RunDrain}},
      {"undrain",
       {"undrain <vm>", "allow new work on a drained VM again", 1, 1,
        RunUndrain}},
      {"delete",
       {"delete <kind>/<name>", "delete a resource", 1, 1, RunDelete}},
      {"status",
       {"status [config|nodes|workers]",
        "show configuration revisions, nodes or workers", 0, 1, RunStatus}},
      {"job", {"job <name>", "show a job's progress", 1, 1, RunJob}},
      {"explain",
       {"explain task/<job>/<index>|<submission>",
        "show the last decisions on a task, or what a submission waits for", 1,
        1, RunExplain}},
      {"watch", {"watch", "print changes as JSON lines", 0, 0, RunWatch}},
  };
  return kCommands;
}

}  // namespace

bool IsCommand(const std::string& command) {
  return Commands().contains(command);
}

int RunCommand(const std::string& command,
               const std::vector<std::string>& args) {
  const Command& selected = Commands().at(command);
  const auto arguments = ParseArguments(args);
  if (!arguments.ok()) {
    PrintError(arguments.error());
    return kExitUsage;
  }
  const std::size_t count = arguments.value().positional.size();
  if (count < selected.min_positional || count > selected.max_positional) {
    std::fprintf(stderr, "usage: mangospread %s [options]\n", selected.usage);
    return kExitUsage;
  }
  return selected.run(arguments.value());
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
