// Guards against commands that report success without an effect, fail without
// reporting the cause, or overwrite another operator's change.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/checks/command.hpp"
#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 0;
constexpr int kFailure = 1;
constexpr int kUsage = 2;

struct Operator {
  CommandResult Run(std::vector<std::string> arguments, int node = 0) const {
    arguments.push_back("--server=" + ToString(cluster.http(node)));
    return RunCommand(arguments);
  }
  nlohmann::json Spec(const std::string& resource) const {
    const auto result = Run({"get", resource}, 1);
    REQUIRE(result.status == kOk);
    return nlohmann::json::parse(result.output).at("spec");
  }

  Cluster cluster{{}};
};

TEST_CASE("changes are in force on every node when a waiting command ends") {
  const Operator op;
  REQUIRE(op.Run({"apply", "job/night", "--wait",
                  R"(--spec={"team":"t","tasks":1,"cpu_millis":1000000})"})
              .status == kOk);
  CHECK_FALSE(op.Spec("job/night").value("cancelled", false));
  CHECK(op.Run({"cancel", "job/night", "--wait"}).status == kOk);
  CHECK(op.Spec("job/night").value("cancelled", false));

  CHECK(op.Run({"drain", "vm-0", "--wait"}).status == kOk);
  CHECK(op.Run({"drain", "vm-1", "--wait"}).status == kOk);
  CHECK(op.Run({"drain", "vm-1", "--wait"}).status == kOk);
  CHECK(op.Spec("policy/maintenance").at("drain") ==
        nlohmann::json{"vm-0", "vm-1"});
  CHECK(op.Run({"undrain", "vm-0", "--wait"}).status == kOk);
  CHECK(op.Spec("policy/maintenance").at("drain") == nlohmann::json{"vm-1"});
  CHECK(op.Run({"delete", "policy/maintenance", "--wait"}).status == kOk);
  CHECK(op.Run({"get", "policy/maintenance"}, 1).status == kFailure);
}

TEST_CASE("a failed command reports the cause") {
  const Operator op;
  WaitUntil("the scheduler reports an unknown job", kWaitTimeout, [&op] {
    const CommandResult result = op.Run({"job", "none"});
    return result.status == kFailure &&
           result.errors.find("not_found") != std::string::npos;
  });
  struct Case {
    std::vector<std::string> arguments;
    int status;
    const char* expected_error;
  };
  for (const Case& c : std::vector<Case>{
           {{"get", "job/none"}, kFailure, "not_found"},
           {{"get", "nothing/x"}, kFailure, "kind"},
           {{"apply", "job/x", "--spec={}"}, kFailure, "job.team"},
           {{"apply", "job/x", "--file=/nowhere/spec"}, kFailure, "/nowhere"},
           {{"apply", "service/coverage", "--if-version=0",
             R"(--spec={"team":"t","pool":"p"})"},
            kFailure,
            "version"},
           {{"delete", "job/none"}, kFailure, "not_found"},
           {{"cancel", "job/none"}, kFailure, "job/none"},
           {{"undrain", "vm-0"}, kFailure, "policy/maintenance"},
           {{"explain", "task/none/0"}, kFailure, "not_found"},
           {{"check", "job/x", R"(--spec={"team":"t","tasks":0})"},
            kFailure,
            "job.tasks"},
           {{"check", "job"}, kFailure, "name"},
           {{"get"}, kUsage, "usage"},
           {{"apply", "a/b", "c/d"}, kUsage, "usage"},
           {{"get", "job/x", "--sorver=1"}, kUsage, "sorver"}}) {
    const CommandResult result = op.Run(c.arguments);
    INFO(c.arguments[0], " ", c.expected_error, ": ", result.errors);
    CHECK(result.status == c.status);
    CHECK(result.errors.find(c.expected_error) != std::string::npos);
  }
  CHECK(RunCommand({"get", "job", "--server=127.0.0.1:1"}).status == kFailure);
  CHECK(RunCommand({"get", "job", "--server=here"}).status == kUsage);
  CHECK(RunCommand({"restart"}).status == kUsage);
}

TEST_CASE("settings are checked without starting a node") {
  const std::vector<std::string> valid = {
      "serve", "--check", "--node=n", "--data-center=d", "--platform=embedded"};
  CHECK(RunCommand(valid).status == kOk);
  auto invalid = valid;
  invalid.insert(invalid.end(), {"--stop-limit-ms=-1", "--seeds=here"});
  const CommandResult result = RunCommand(invalid);
  CHECK(result.status == kUsage);
  CHECK(result.errors.find("stop-limit-ms") != std::string::npos);
  CHECK(result.errors.find("seeds") != std::string::npos);
}

}  // namespace
}  // namespace mangospread::testing
