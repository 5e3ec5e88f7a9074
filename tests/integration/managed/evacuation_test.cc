// Guards against starts in a data centre under evacuation (EVAC) by a later
// leader, and against work that waits after the data centre was taken back.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kNodes = 3;
/// "w1" and "w3" are in "dc", "w2" and "w4" in "dc2".
constexpr int kWorkers = 4;

struct EvacuatedSite {
  EvacuatedSite()
      : site(static_cast<int>(kNodes), kWorkers, kRunsPerWorker, {}, 2) {
    site.WaitUntilReady();
  }

  /// Submits more tasks than the workers of one data centre run at a time.
  void Submit() {
    const int job = ++jobs;
    WaitUntil("a job is accepted", kWaitTimeout, [&] {
      return site.Submit(site.AwaitServingLeader(), job, 40, 20).status == kOk;
    });
  }
  void AwaitComplete() {
    WaitUntil("the job is complete", kWaitTimeout, [&] {
      return site.GetState(site.AwaitServingLeader(), jobs) == "complete";
    });
  }
  void ReplaceLeader() {
    const std::size_t leader = site.AwaitLeader();
    site.node(leader).Kill();
    (void)site.AwaitServingLeader();
    site.RestartNode(leader);
    site.WaitUntilReady();
  }
  void KillAll() {
    for (std::size_t i = 0; i < kNodes; ++i) site.node(i).Kill();
    for (std::size_t i = 0; i < kNodes; ++i) site.RestartNode(i);
    site.WaitUntilReady();
  }
  int Starts(const std::string& first, const std::string& second) {
    std::map<std::string, int> starts = site.StartsByWorker();
    return starts[first] + starts[second];
  }

  ManagedCluster site;
  int jobs = 0;
};

TEST_CASE("evacuations hold for later leaders and after all nodes ended") {
  EvacuatedSite cluster;
  cluster.Submit();
  cluster.AwaitComplete();
  CHECK(cluster.Starts("w1", "w3") > 0);

  cluster.site.Evacuate("dc", true, 1);
  const int before = cluster.Starts("w1", "w3");
  SUBCASE("of a leader that was killed") { cluster.ReplaceLeader(); }
  SUBCASE("of two leaders in a row") {
    cluster.ReplaceLeader();
    cluster.ReplaceLeader();
  }
  SUBCASE("of all nodes") { cluster.KillAll(); }
  cluster.Submit();
  cluster.AwaitComplete();
  CHECK(cluster.Starts("w1", "w3") == before);

  // With both under evacuation nothing starts; then one is taken back.
  cluster.site.Evacuate("dc2", true, 2);
  const int all = cluster.site.GetCounters().starts;
  cluster.ReplaceLeader();
  cluster.Submit();
  CHECK(cluster.site.GetCounters().starts == all);
  cluster.site.Evacuate("dc", false, 1);
  cluster.AwaitComplete();
  CHECK(cluster.Starts("w1", "w3") == before + 40);
  CheckNoTaskRanTwice(cluster.site.GetCounters());
}

}  // namespace
}  // namespace mangospread::testing
