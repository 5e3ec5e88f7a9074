// A consumer's spec holds the character U+0000.
#include <nlohmann/json.hpp>
#include <string>

#include "../support/deployment.hpp"

namespace {

using review::Deployment;
using review::Verdict;

Verdict Run(const std::string& program, const std::string& record) {
  constexpr int kTimeoutMs = 15'000;
  Deployment deployment(program, record, 3,
                        {{"w1", "r1"}, {"w2", "r1"}, {"w3", "r2"}});
  if (!deployment.WaitUntilReady()) return Verdict::kNotRun;
  const std::string spec =
      std::string("plan=17") + (review::Trouble() ? '\0' : ';') + "month=11";
  const std::string id = "00000000000000a1";
  if (!deployment.SubmitWithRetries(id, spec,
                                    {{6, {500, 256, 300}, {}, "", false}}, 4)) {
    return Verdict::kNotRun;
  }
  deployment.AwaitState(id, {"complete", "failed"}, kTimeoutMs);
  Verdict verdict = Verdict::kHeld;
  for (const review::RunEvent& run : deployment.runs().All()) {
    if (run.spec == spec) continue;
    deployment.record().Add("broken: " + run.task + " was started with spec " +
                            nlohmann::json(run.spec).dump() +
                            ", and its submission has " +
                            nlohmann::json(spec).dump());
    verdict = Verdict::kBroken;
  }
  return deployment.runs().All().empty() ? Verdict::kNotRun : verdict;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Run); }
