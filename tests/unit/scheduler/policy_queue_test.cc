#include <doctest/doctest.h>

#include <map>

#include "policy_fixture.hpp"
#include "scheduler/policy/queue/queue.hpp"

namespace mangospread::scheduler::policy {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr FleetCapacity kFleet{Millicores(100'000), Accelerators(0)};

TaskDemand TeamTask(const std::string& team, int number) {
  TaskDemand task = MakeTask(team + "-job/" + std::to_string(number));
  task.team = TeamName(team);
  return task;
}

/// Takes tasks in order and charges their teams.
std::vector<std::string> TakeTeams(Queue& queue, MonotonicTime now, int count) {
  std::vector<std::string> teams;
  queue.BeginRound(now, kFleet);
  for (int i = 0; i < count; ++i) {
    const Queue::Offer* offer = queue.Next();
    if (offer == nullptr) break;
    const TaskDemand task = offer->demand;
    queue.Take();
    queue.AddCharge(task.team, {task.cpu, task.accelerators});
    teams.push_back(task.urgent ? "urgent" : task.team.str());
  }
  return teams;
}

// Guards against a team that gets more than its weight by asking for more.
TEST_CASE("teams share by weight") {
  Queue queue;
  queue.SetQuotas({{TeamName("a"), Millicores(0), Accelerators(0), 2.0},
                   {TeamName("b"), Millicores(0), Accelerators(0), 1.0}});
  for (int i = 0; i < 100; ++i) queue.Add(TeamTask("b", i), seconds(1));
  for (int i = 0; i < 30; ++i) queue.Add(TeamTask("a", i), seconds(1));
  std::map<std::string, int> counts;
  for (const std::string& team : TakeTeams(queue, seconds(1), 30)) {
    ++counts[team];
  }
  CHECK(counts["a"] == 20);
  CHECK(counts["b"] == 10);
}

// Guards against a quota that is exceeded, and one that blocks other teams.
TEST_CASE("a quota holds back only its own team") {
  Queue queue;
  queue.SetQuotas({{TeamName("a"), Millicores(2'000), Accelerators(0), 1.0}});
  for (int i = 0; i < 10; ++i) queue.Add(TeamTask("a", i), seconds(1));
  for (int i = 0; i < 3; ++i) queue.Add(TeamTask("b", i), seconds(1));
  CHECK(TakeTeams(queue, seconds(1), 100).size() == 5);
  TaskDemand large = TeamTask("a", 99);
  large.cpu = Millicores(2'001);
  CHECK(queue.ExceedsQuota(large));
}

// Guards against batch that starves under endless urgent work.
TEST_CASE("urgent is first, and aged batch still gets a share") {
  Queue queue;
  for (int i = 0; i < 100; ++i) {
    TaskDemand task = TeamTask("u", i);
    task.urgent = true;
    queue.Add(task, minutes(9));
  }
  for (int i = 0; i < 10; ++i) queue.Add(TeamTask("b", i), seconds(1));
  for (const std::string& team : TakeTeams(queue, minutes(9), 20)) {
    CHECK(team == "urgent");
  }
  int batch = 0;
  for (const std::string& team : TakeTeams(queue, minutes(11), 20)) {
    if (team == "b") ++batch;
  }
  CHECK(batch == 5);
}

// Guards against aged tasks without room that use up every offer of a round.
TEST_CASE("aged batch without room does not hold up urgent work") {
  Queue queue;
  for (int i = 0; i < 40; ++i) {
    TaskDemand task = TeamTask("b", i);
    task.job = JobName("b" + std::to_string(i));
    queue.Add(task, seconds(1));
  }
  for (int i = 0; i < 4; ++i) {
    TaskDemand task = TeamTask("u", i);
    task.urgent = true;
    queue.Add(task, minutes(20));
  }
  int urgent = 0;
  queue.BeginRound(minutes(20), kFleet);
  for (int offers = 0; offers < 8; ++offers) {
    if (queue.Next()->demand.urgent) {
      ++urgent;
      queue.Take();
    } else {
      queue.Skip(Refusal::kNoRoom);
    }
  }
  CHECK(urgent == 4);
}

// Guards against cancelled tasks that are offered, and against a queue that
// keeps what was cancelled.
TEST_CASE("thousands of cancelled tasks leave the queue") {
  Queue queue;
  for (int i = 0; i < 20'000; ++i) queue.Add(TeamTask("a", i), seconds(1));
  for (int i = 0; i < 20'000; ++i) {
    if (i != 12'345) queue.Remove(TeamTask("a", i).id);
  }
  CHECK(queue.size() == 1);
  queue.BeginRound(seconds(2), kFleet);
  REQUIRE(queue.Next() != nullptr);
  CHECK(queue.Next()->demand.id == TeamTask("a", 12'345).id);
  queue.Take();
  CHECK(queue.Next() == nullptr);
}

// Guards against a task without room that blocks what is behind it, and
// against trying it again in each round.
TEST_CASE("a group that does not fit backs off") {
  Queue queue;
  queue.Add(TeamTask("a", 1), seconds(1));
  queue.Add(TeamTask("b", 1), seconds(2));
  queue.BeginRound(seconds(3), kFleet);
  REQUIRE(queue.Next()->demand.team == TeamName("a"));
  queue.Skip(Refusal::kNoRoom);
  CHECK(queue.Next()->demand.team == TeamName("b"));
  queue.BeginRound(seconds(3), kFleet);
  CHECK(queue.Next()->demand.team == TeamName("b"));
  queue.BeginRound(seconds(6), kFleet);
  CHECK(queue.Next()->demand.team == TeamName("a"));
}

}  // namespace
}  // namespace mangospread::scheduler::policy
