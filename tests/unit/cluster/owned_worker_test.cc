#include "ownership/owned_worker.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <utility>

#include "unit/run_until.hpp"

namespace mangospread::ownership {
namespace {

/// Worker whose replies to renewals the test sends.
class DelayedReplyWorker final : public Worker {
 public:
  explicit DelayedReplyWorker(ReportCallback& renewal) : renewal_(renewal) {}
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
        std::make_unique<DelayedReplyWorker>(renewal),
        net::HttpClientPool::Create(loop, {"127.0.0.1", 1}, {}), options,
        [] {});
    worker->Start({});
  }
  void WaitForRenewal() {
    test::RunUntil(loop, [this] { return static_cast<bool>(renewal); });
  }
  void ReplyToRenewal(const WorkerReport& report) {
    std::exchange(renewal, nullptr)(report);
  }

  base::EventLoop loop;
  Worker::ReportCallback renewal;
  std::shared_ptr<OwnedWorker> worker;
};

// Guards against new work on a leaving endpoint: a renewal reply that was in
// transit when the worker refused a request must not reset the leaving state.
TEST_CASE("an older report does not reset the leaving state") {
  Fixture f;
  REQUIRE(f.worker->accepts_work());
  f.WaitForRenewal();
  f.worker->OnLeaving();
  CHECK_FALSE(f.worker->accepts_work());
  f.ReplyToRenewal({});
  CHECK_FALSE(f.worker->accepts_work());
  f.WaitForRenewal();
  f.ReplyToRenewal({});
  CHECK(f.worker->accepts_work());
}

}  // namespace
}  // namespace mangospread::ownership
