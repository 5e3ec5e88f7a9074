#include "app/settings.hpp"

#include <boost/program_options.hpp>
#include <map>
#include <sstream>
#include <utility>

namespace mangospread::app {
namespace {

namespace po = boost::program_options;

constexpr std::int64_t kMaxSettingMs = 3'600'000;

po::options_description DescribeOptions() {
  po::options_description options("Settings of mangospread serve");
  auto add = options.add_options();
  add("node", po::value<std::string>(), "name of this node, unique");
  add("data-center", po::value<std::string>(), "data centre of this node");
  add("http-listen", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "address for callers and operators");
  add("rpc-listen", po::value<std::string>()->default_value("127.0.0.1:8081"),
      "address for other nodes");
  add("rpc-advertise", po::value<std::string>(),
      "address that other nodes connect to, if it differs");
  add("seeds", po::value<std::string>()->default_value(""),
      "rpc addresses of other nodes, separated by commas");
  add("platform", po::value<std::string>()->default_value("http"),
      "http or embedded (a table in memory, for evaluation)");
  add("table", po::value<std::string>(), "address of the table service");
  add("vm-list", po::value<std::string>(), "address of the VM list");
  add("embedded-vms", po::value<std::string>()->default_value(""),
      "with the embedded platform: name=ip:port/pool, separated by commas");
  add("table-timeout-ms", po::value<std::int64_t>()->default_value(1'000),
      "timeout of one table request");
  add("drain-notice-ms", po::value<std::int64_t>()->default_value(2'000),
      "time from a failing health check to the closing of the listener at "
      "shutdown");
  add("stop-limit-ms", po::value<std::int64_t>()->default_value(30'000),
      "longest wait for requests in flight at shutdown");
  add("worker-lease-ms", po::value<std::int64_t>()->default_value(3'000),
      "lease that workers grant to their owner");
  add("task-lease-ms", po::value<std::int64_t>()->default_value(60'000),
      "time without a renewal after which workers stop their tasks; has to "
      "match the workers' own setting");
  add("cell", po::value<std::string>()->default_value("default"),
      "scope of one scheduler");
  add("claim-without-table", po::value<bool>()->default_value(true),
      "let a worker whose owner's lease has expired grant a claim while the "
      "table is unreachable");
  add("tokens", po::value<std::string>()->default_value(""),
      "tokens for administration, as role@team:secret separated by commas; "
      "role is read, operate or administer, team * means all. Without any, "
      "administration is for loopback clients only");
  add("check", po::bool_switch(), "check the settings and exit");
  add("log-level", po::value<std::string>()->default_value("info"),
      "debug, info, warning or error");
  return options;
}

/// Maps a variable to its option, for example MANGOSPREAD_HTTP_LISTEN to
/// http-listen. Returns an empty name for a variable that is not a setting.
std::string OptionOfVariable(const std::string& variable,
                             const po::options_description& options) {
  constexpr std::string_view kPrefix = "MANGOSPREAD_";
  if (!variable.starts_with(kPrefix)) return "";
  std::string name = variable.substr(kPrefix.size());
  for (char& c : name) {
    c = c == '_' ? '-' : static_cast<char>(std::tolower(c));
  }
  return options.find_nothrow(name, false) != nullptr ? name : "";
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/// Reads parsed options and collects the errors.
class SettingsReader {
 public:
  SettingsReader(const po::variables_map& values, std::vector<Error>& errors)
      : values_(values), errors_(errors) {}

  [[nodiscard]] std::string ReadText(const char* name, bool required) {
    if (values_.count(name) == 0) {
      if (required) AddError(Errc::kMissingField, name);
      return "";
    }
    auto text = values_[name].as<std::string>();
    if (text.empty() && required) AddError(Errc::kMissingField, name);
    return text;
  }

  void ReadAddress(const char* name, bool required, Address& out) {
    const std::string text = ReadText(name, required);
    if (text.empty()) return;
    auto address = ParseAddress(text);
    if (!address.ok()) return AddError(Errc::kInvalidArgument, name);
    out = std::move(address.value());
  }

  void ReadMilliseconds(const char* name, std::int64_t min, Milliseconds& out) {
    const auto value = values_[name].as<std::int64_t>();
    if (value < min || value > kMaxSettingMs) {
      return AddError(Errc::kOutOfRange, name);
    }
    out = Milliseconds(value);
  }

  template <typename Enum>
  void ReadEnum(const char* name, const std::map<std::string, Enum>& names,
                Enum& out) {
    const auto it = names.find(values_[name].as<std::string>());
    if (it == names.end()) return AddError(Errc::kInvalidArgument, name);
    out = it->second;
  }

  void AddError(Errc code, const char* name) {
    errors_.push_back({code, name});
  }

 private:
  const po::variables_map& values_;
  std::vector<Error>& errors_;
};

void ReadSeeds(SettingsReader& reader, Settings& settings) {
  for (const auto& text : SplitAtCommas(reader.ReadText("seeds", false))) {
    const auto address = ParseAddress(text);
    if (!address.ok()) return reader.AddError(Errc::kInvalidArgument, "seeds");
    settings.seeds.push_back(address.value());
  }
}

void ReadEmbeddedVms(SettingsReader& reader, Settings& settings) {
  for (const auto& text :
       SplitAtCommas(reader.ReadText("embedded-vms", false))) {
    const auto equals = text.find('=');
    const auto slash = text.rfind('/');
    if (equals == std::string::npos || slash == std::string::npos ||
        slash < equals) {
      return reader.AddError(Errc::kInvalidArgument, "embedded-vms");
    }
    const auto address =
        ParseAddress(text.substr(equals + 1, slash - equals - 1));
    if (!address.ok()) {
      return reader.AddError(Errc::kInvalidArgument, "embedded-vms");
    }
    VmInfo vm;
    vm.name = VmName(text.substr(0, equals));
    vm.address = address.value();
    vm.data_center = settings.data_center;
    vm.pool = text.substr(slash + 1);
    settings.embedded_vms.push_back(std::move(vm));
  }
}

void ReadTokens(SettingsReader& reader, Settings& settings) {
  auto tokens = api::ParseTokens(reader.ReadText("tokens", false));
  if (!tokens.ok()) return reader.AddError(Errc::kInvalidArgument, "tokens");
  settings.tokens = std::move(tokens.value());
}

Settings ReadSettings(const po::variables_map& values,
                      std::vector<Error>& errors) {
  Settings settings;
  SettingsReader reader(values, errors);
  settings.node = NodeId(reader.ReadText("node", true));
  settings.data_center = DataCenter(reader.ReadText("data-center", true));
  reader.ReadAddress("http-listen", true, settings.http_listen);
  reader.ReadAddress("rpc-listen", true, settings.rpc_listen);
  reader.ReadAddress("rpc-advertise", false, settings.rpc_advertise);
  ReadSeeds(reader, settings);
  reader.ReadEnum<Platform>(
      "platform",
      {{"http", Platform::kHttp}, {"embedded", Platform::kEmbedded}},
      settings.platform);
  const bool http = settings.platform == Platform::kHttp;
  reader.ReadAddress("table", http, settings.table);
  reader.ReadAddress("vm-list", http, settings.vm_list);
  ReadEmbeddedVms(reader, settings);
  reader.ReadMilliseconds("table-timeout-ms", 1, settings.table_timeout);
  reader.ReadMilliseconds("drain-notice-ms", 0, settings.drain_notice);
  reader.ReadMilliseconds("stop-limit-ms", 0, settings.stop_limit);
  reader.ReadMilliseconds("worker-lease-ms", 500, settings.worker_lease);
  reader.ReadMilliseconds("task-lease-ms", 500, settings.task_lease);
  settings.cell = reader.ReadText("cell", true);
  settings.claim_without_table = values["claim-without-table"].as<bool>();
  reader.ReadEnum<base::Severity>("log-level",
                                  {{"debug", base::Severity::kDebug},
                                   {"info", base::Severity::kInfo},
                                   {"warning", base::Severity::kWarning},
                                   {"error", base::Severity::kError}},
                                  settings.log_level);
  ReadTokens(reader, settings);
  return settings;
}

}  // namespace

Settings ParseSettings(const std::vector<std::string>& arguments,
                       std::vector<Error>& errors) {
  const po::options_description options = DescribeOptions();
  po::variables_map values;
  // Boost.Program_options throws; no exception leaves this function.
  try {
    po::store(po::command_line_parser(arguments).options(options).run(),
              values);
    po::store(po::parse_environment(options,
                                    [&options](const std::string& variable) {
                                      return OptionOfVariable(variable,
                                                              options);
                                    }),
              values);
    po::notify(values);
  } catch (const po::unknown_option& error) {
    errors.push_back({Errc::kUnknownField, error.get_option_name()});
    return {};
  } catch (const po::error_with_option_name& error) {
    errors.push_back({Errc::kInvalidArgument, error.get_option_name()});
    return {};
  } catch (const po::error& error) {
    errors.push_back({Errc::kInvalidArgument, error.what()});
    return {};
  }
  return ReadSettings(values, errors);
}

std::string SettingsHelp() {
  std::ostringstream out;
  out << DescribeOptions()
      << "\nEach setting can also be given as an environment variable, for "
         "example MANGOSPREAD_HTTP_LISTEN.\n";
  return out.str();
}

}  // namespace mangospread::app
