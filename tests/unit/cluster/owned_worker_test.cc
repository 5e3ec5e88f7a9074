#include "ownership/owned_worker.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <utility>

#include "unit/run_until.hpp"

namespace mangospread::ownership {
namespace {

/// Keeps the answer to a renewal until the test gives it.
class SlowWorker final : public Worker {
 public:
  explicit SlowWorker(ReportCallback& renewal) : renewal_(renewal) {}
  void Claim(Fence, ClaimBasis, Milliseconds, ReportCallback) override {}
  void Renew(Fence, Milliseconds, ReportCallback done) override {
    renewal_ = std::move(done);
  }
  void Release(Fence, ReportCallback) override {}
  void Command(Fence, TaskCommand,
               std::function<void(Result<TaskReport>)>) override {}

 private:
  ReportCallback& renewal_;
};

struct Fixture {
  Fixture() {
    VmInfo vm;
    vm.state = VmState::kLive;
    vm.capacity.slots = 1;
    LeaseOptions options;
    options.renew_period = Milliseconds(5);
    worker = std::make_shared<OwnedWorker>(
        loop, vm, Fence{NodeId("n"), Epoch(1)},
        std::make_unique<SlowWorker>(renewal),
        net::HttpClientPool::Create(loop, {"127.0.0.1", 1}, {}), options,
        [] {});
    worker->Start({});
  }
  void WaitForRenewal() {
    test::RunUntil(loop, [this] { return static_cast<bool>(renewal); });
  }
  void Answer(const WorkerReport& report) {
    std::exchange(renewal, nullptr)(report);
  }

  base::EventLoop loop;
  Worker::ReportCallback renewal;
  std::shared_ptr<OwnedWorker> worker;
};

// Guards against new work on a leaving endpoint: an answer that was under way
// when the worker refused a request must not undo the refusal.
TEST_CASE("a refusal for leaving outlives an older report") {
  Fixture f;
  REQUIRE(f.worker->accepts_work());
  f.WaitForRenewal();
  f.worker->OnLeaving();
  CHECK_FALSE(f.worker->accepts_work());
  f.Answer({});
  CHECK_FALSE(f.worker->accepts_work());
  f.WaitForRenewal();
  f.Answer({});
  CHECK(f.worker->accepts_work());
}

}  // namespace
}  // namespace mangospread::ownership
