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

/// Takes up to `count` tasks in order and charges them to their teams.
/// @return the team of each task, or "urgent" for an urgent one.
std::vector<std::string> TakeOffers(Queue& queue, MonotonicTime now,
                                    int count) {
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

// Guards against a team that gets more than its weighted share by submitting
// more tasks.
TEST_CASE("teams share capacity by weight") {
  Queue queue;
  queue.SetQuotas({{TeamName("a"), Millicores(0), Accelerators(0), 2.0},
                   {TeamName("b"), Millicores(0), Accelerators(0), 1.0}});
  for (int i = 0; i < 100; ++i) queue.Add(TeamTask("b", i), seconds(1));
  for (int i = 0; i < 30; ++i) queue.Add(TeamTask("a", i), seconds(1));
  std::map<std::string, int> counts;
  for (const std::string& team : TakeOffers(queue, seconds(1), 30)) {
    ++counts[team];
  }
  CHECK(counts["a"] == 20);
  CHECK(counts["b"] == 10);
}

// Guards against a quota that is exceeded, and one that blocks other teams.
TEST_CASE("a quota limits only its own team") {
  Queue queue;
  queue.SetQuotas({{TeamName("a"), Millicores(2'000), Accelerators(0), 1.0}});
  for (int i = 0; i < 10; ++i) queue.Add(TeamTask("a", i), seconds(1));
  for (int i = 0; i < 3; ++i) queue.Add(TeamTask("b", i), seconds(1));
  CHECK(TakeOffers(queue, seconds(1), 100).size() == 5);
  TaskDemand large = TeamTask("a", 99);
  large.cpu = Millicores(2'001);
  CHECK(queue.ExceedsQuota(large));
}

// Guards against batch tasks that starve under continuous urgent work.
TEST_CASE("urgent tasks come first, and aged batch tasks still get a share") {
  Queue queue;
  for (int i = 0; i < 100; ++i) {
    TaskDemand task = TeamTask("u", i);
    task.urgent = true;
    queue.Add(task, minutes(9));
  }
  for (int i = 0; i < 10; ++i) queue.Add(TeamTask("b", i), seconds(1));
  for (const std::string& team : TakeOffers(queue, minutes(9), 20)) {
    CHECK(team == "urgent");
  }
  int batch = 0;
  for (const std::string& team : TakeOffers(queue, minutes(11), 20)) {
    if (team == "b") ++batch;
  }
  CHECK(batch == 5);
}

// Guards against aged tasks that do not fit and use up every offer of a round.
TEST_CASE("aged batch tasks that do not fit do not block urgent tasks") {
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
      queue.Skip(Refusal::kNoCapacity);
    }
  }
  CHECK(urgent == 4);
}

// Guards against cancelled tasks that are still offered, and against a queue
// that keeps entries of cancelled tasks.
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

// Guards against a task that does not fit and blocks those behind it, and
// against retrying it in every round.
TEST_CASE("a group that does not fit backs off") {
  Queue queue;
  queue.Add(TeamTask("a", 1), seconds(1));
  queue.Add(TeamTask("b", 1), seconds(2));
  queue.BeginRound(seconds(3), kFleet);
  REQUIRE(queue.Next()->demand.team == TeamName("a"));
  queue.Skip(Refusal::kNoCapacity);
  CHECK(queue.Next()->demand.team == TeamName("b"));
  queue.BeginRound(seconds(3), kFleet);
  CHECK(queue.Next()->demand.team == TeamName("b"));
  queue.BeginRound(seconds(6), kFleet);
  CHECK(queue.Next()->demand.team == TeamName("a"));
}

}  // namespace
}  // namespace mangospread::scheduler::policy
