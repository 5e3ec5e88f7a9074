#include "gateway/gateway.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/routing/endpoint_call.hpp"
#include "unit/run_until.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::gateway {
namespace {

using ForwardCallback = std::function<void(Result<rpc::ForwardReply>)>;

class EmptyVmList final : public VmList {
 public:
  void Fetch(std::function<void(Result<std::vector<VmInfo>>)>) override {}
};

/// Gateway of a node without workers, with peers simulated by the test.
struct Fixture {
  Fixture() {
    store.InstallSnapshot(Revision(), {});
    Configure(R"({"team":"t","pool":"p","timeout_ms":60000})");
  }
  void Configure(const char* spec) {
    store.Install(
        {store.revision().next(), {ResourceKind::kService, "s"}, false, spec});
  }
  /// Simulates a heartbeat in which a peer advertises free slots of the
  /// service.
  void Advertise(const char* peer, int free) {
    rpc::NodeView view;
    view.node = NodeId(peer);
    view.state = rpc::NodeState::kReady;
    view.rpc_address = {"127.0.0.1", 1};
    view.free_slots.push_back({ServiceName("s"), free});
    membership.OnHeartbeat(view);
    gateway.OnSlotAvailable();
  }
  void Send(net::Method method, net::Headers headers = {}) {
    gateway.Handle(std::make_shared<net::HttpExchange>(
        nullptr, net::Request{method, "/svc/s/x", std::move(headers), "b"}));
  }
  void CompleteForward(Result<rpc::ForwardReply> result) {
    ForwardCallback done = std::move(pending_forwards.front());
    pending_forwards.erase(pending_forwards.begin());
    done(std::move(result));
  }
  static rpc::ForwardReply SuccessReply() {
    return {Outcome::kAnswered, NotRunReason::kNone, {200, {}, ""}};
  }

  base::EventLoop loop;
  test::FaultyTable table;
  table::Writer writer{loop, table, "writer/n/1/test", {}};
  EmptyVmList vms;
  config::Store store;
  membership::Membership membership{
      loop,
      {},
      [] {
        rpc::NodeView self;
        self.node = NodeId("n");
        return self;
      },
      [](const Address&, const rpc::NodeView&, Milliseconds, auto) {}};
  ownership::Manager ownership{
      loop,  {},
      table, writer,
      vms,   membership,
      store, [](const VmInfo&) {
                                 return ownership::WorkerLink(); }};
  Router router{store, ownership, membership, DataCenter("dc")};
  KeyStore keys{loop,
                {NodeId("n"), Incarnation(1)},
                table,
                writer,
                [](const NodeId&, Incarnation) { return false; }};
  std::vector<ForwardCallback> pending_forwards;
  std::vector<rpc::ForwardRequest> sent;
  Gateway gateway{loop,
                  {NodeId("n"), Incarnation(1)},
                  store,
                  router,
                  keys,
                  [this](const Address&, rpc::ForwardRequest request,
                         ForwardCallback done) {
                    sent.push_back(std::move(request));
                    pending_forwards.push_back(std::move(done));
                  },
                  [] { return NotRunReason::kNone; }};
};

// Guards against a burst of retries to the remaining owners when one terminates
// with many requests in flight.
TEST_CASE_FIXTURE(Fixture, "termination of an owner causes few retries") {
  constexpr std::size_t kRequests = 200;
  Advertise("failing", kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) Send(net::Method::kGet);
  REQUIRE(sent.size() == kRequests);
  Advertise("other", kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    CompleteForward(Error{Errc::kConnectionLost, "failing"});
  }
  const auto retried = gateway.counters().retried;
  test::RunUntil(loop, [&] { return sent.size() == kRequests + retried; });
  CHECK(retried <= kRequests / 10 + 1);
  CHECK(gateway.counters().retries_denied == kRequests - retried);
  CHECK(gateway.counters().unknown == kRequests - retried);
}

// Guards against a second run of a non-idempotent request: it may be retried
// after a definite refusal, but not after an unknown outcome.
TEST_CASE_FIXTURE(Fixture, "request that may have run is not sent again") {
  Advertise("p1", 1);
  Send(net::Method::kPost);
  REQUIRE(sent.size() == 1);
  Advertise("p2", 1);
  CompleteForward(
      rpc::ForwardReply{Outcome::kNotRun, NotRunReason::kNoCapacity, {}});
  test::RunUntil(loop, [&] { return sent.size() == 2; });
  CHECK(sent[0].request_id != sent[1].request_id);
  Advertise("p3", 1);
  CompleteForward(Error{Errc::kTimeout, "p2"});
  CHECK(gateway.counters().unknown == 1);
  CHECK(gateway.in_flight() == 0);
}

// Guards against a forwarded request that a node takes shortly before it ends.
TEST_CASE_FIXTURE(Fixture, "forwards are refused once they are stopped") {
  const auto forward = [this] {
    rpc::ForwardRequest request;
    request.service = ServiceName("s");
    std::optional<rpc::ForwardReply> reply;
    gateway.HandleForwarded(
        std::move(request),
        [&reply](rpc::ForwardReply result) { reply = std::move(result); });
    REQUIRE(reply.has_value());
    CHECK(reply->outcome == Outcome::kNotRun);
    return reply->reason;
  };
  CHECK(forward() == NotRunReason::kNoCapacity);
  gateway.StopForwards();
  CHECK(forward() == NotRunReason::kShuttingDown);
  CHECK(gateway.in_flight() == 0);
}

// Guards against requests without an answer when the process ends, and against
// a refusal of one that was sent or a second answer to it.
TEST_CASE_FIXTURE(Fixture, "closing responds to all requests") {
  Advertise("p", 1);
  Send(net::Method::kPost);
  REQUIRE(sent.size() == 1);
  Send(net::Method::kPost);
  CHECK(gateway.queue().waiting() == 1);
  gateway.CloseRequests();
  CHECK(gateway.counters().unknown == 1);
  CHECK(gateway.counters().not_run == 1);
  gateway.CloseRequests();
  CompleteForward(SuccessReply());
  Advertise("p", 1);
  test::RunUntil(loop, [&] { return gateway.in_flight() == 0; });
  CHECK(sent.size() == 1);
  CHECK(gateway.counters().answered == 0);
  CHECK(gateway.counters().unknown == 1);
  CHECK(gateway.counters().not_run == 1);
}

// Guards against a key that stays claimed by a process that has ended, though
// its request has not run.
TEST_CASE_FIXTURE(Fixture, "a key that is granted after closing is released") {
  Advertise("p", 1);
  net::Headers headers;
  headers.Add("Idempotency-Key", "k");
  Send(net::Method::kPost, headers);
  REQUIRE(table.pending() > 0);
  gateway.CloseRequests();
  CHECK(gateway.counters().not_run == 1);
  const auto timer = loop.Every(std::chrono::milliseconds(1), 0, [this] {
    while (table.pending() > 0) table.Step();
  });
  test::RunUntil(loop, [&] { return keys.idle() && gateway.in_flight() == 0; });
  CHECK(sent.empty());
  CHECK(gateway.counters().not_run == 1);
}

// Guards against "not run" for a request that waits for its key while another
// copy of it runs.
TEST_CASE_FIXTURE(Fixture, "closing does not deny a copy that may have run") {
  Advertise("p", 2);
  const auto timer = loop.Every(std::chrono::milliseconds(1), 0, [this] {
    while (table.pending() > 0) table.Step();
  });
  net::Headers headers;
  headers.Add("Idempotency-Key", "k");
  Send(net::Method::kPost, headers);
  test::RunUntil(loop, [&] { return sent.size() == 1; });
  Send(net::Method::kPost, headers);
  gateway.CloseRequests();
  CHECK(gateway.counters().unknown == 2);
  CHECK(gateway.counters().not_run == 0);
}

// Guards against a target that is decoded or otherwise changed between caller
// and endpoint.
TEST_CASE_FIXTURE(Fixture, "target is forwarded as received") {
  const auto target_for = [this](const char* target) {
    Advertise("p", 1);
    gateway.Handle(std::make_shared<net::HttpExchange>(
        nullptr, net::Request{net::Method::kGet, target, {}, ""}));
    CompleteForward(SuccessReply());
    return sent.back().request.target;
  };
  CHECK(target_for("/svc/s/a%2Fb%20c?x=%26&y=/svc/s/") ==
        "/a%2Fb%20c?x=%26&y=/svc/s/");
  CHECK(target_for("/svc/s?q=1") == "/?q=1");
  CHECK(target_for("/svc/s") == "/");
}

// Guards against a refusal of requests that could be sent once a peer
// advertises a free slot.
TEST_CASE_FIXTURE(Fixture, "request is queued until a peer has a free slot") {
  Send(net::Method::kPost);
  Send(net::Method::kPost);
  CHECK(gateway.queue().waiting() == 2);
  Advertise("p", 1);
  test::RunUntil(loop, [&] { return sent.size() == 1; });
  CompleteForward(SuccessReply());
  CHECK(gateway.queue().waiting() == 1);
  CHECK(gateway.counters().answered == 1);
}

// Guards against configured limits that are not applied.
TEST_CASE_FIXTURE(Fixture, "request above the limit is not sent") {
  Configure(R"({"team":"t","pool":"p","max_concurrency":1})");
  Advertise("p", 5);
  Send(net::Method::kPost);
  Send(net::Method::kPost);
  CHECK(sent.size() == 1);
  CHECK(gateway.counters().not_run == 1);
  CompleteForward(SuccessReply());
  Send(net::Method::kPost);
  CHECK(sent.size() == 2);
  CompleteForward(SuccessReply());
}

// Guards against a keyed request that is sent before its key is claimed, is
// sent twice, or is blocked by a claim whose request did not run.
TEST_CASE_FIXTURE(Fixture,
                  "key is claimed before sending and released after not-run") {
  net::Headers headers;
  headers.Add(kIdempotencyKeyHeader, "k");
  Advertise("p", 5);
  Send(net::Method::kPost, headers);
  CHECK(sent.empty());
  table.Step();
  REQUIRE(sent.size() == 1);
  CompleteForward(SuccessReply());
  table.Step();
  Send(net::Method::kPost, headers);
  while (table.pending() > 0) table.Step();
  CHECK(sent.size() == 1);
  CHECK(gateway.counters().answered == 2);

  net::Headers other;
  other.Add(kIdempotencyKeyHeader, "k2");
  other.Add(kTimeoutHeader, "50");
  Advertise("p", 0);
  Send(net::Method::kPost, other);
  table.Step();
  test::RunUntil(loop, [&] { return table.pending() > 0; });
  CHECK(gateway.counters().not_run == 0);
  table.Step();
  CHECK(gateway.counters().not_run == 1);
  CHECK(keys.idle());

  Send(net::Method::kPost, other);
  table.Step(test::FaultyTable::Fault::kRefuse);
  CHECK(gateway.counters().not_run == 2);
}

}  // namespace
}  // namespace mangospread::gateway
