#include "gateway/gateway.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <utility>
#include <vector>

#include "gateway/routing/endpoint_call.hpp"
#include "unit/run_until.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::gateway {
namespace {

using Done = std::function<void(Result<rpc::ForwardReply>)>;

class NoVms final : public VmList {
 public:
  void Fetch(std::function<void(Result<std::vector<VmInfo>>)>) override {}
};

/// A node without workers of its own, and peers that the test plays.
struct Fixture {
  Fixture() {
    store.InstallSnapshot(Revision(), {});
    Configure(R"({"team":"t","pool":"p","timeout_ms":60000})");
  }
  void Configure(const char* spec) {
    store.Install(
        {store.revision().next(), {ResourceKind::kService, "s"}, false, spec});
  }
  /// A peer advertises free slots of the service.
  void Advertise(const char* peer, int free) {
    rpc::NodeView view;
    view.node = NodeId(peer);
    view.state = rpc::NodeState::kReady;
    view.rpc_address = {"127.0.0.1", 1};
    view.free_slots.push_back({ServiceName("s"), free});
    membership.OnHeartbeat(view);
    gateway.OnCapacity();
  }
  void Send(net::Method method, net::Headers headers = {}) {
    gateway.Handle(std::make_shared<net::HttpExchange>(
        nullptr, net::Request{method, "/svc/s/x", std::move(headers), "b"}));
  }
  void Answer(Result<rpc::ForwardReply> result) {
    Done done = std::move(waiting.front());
    waiting.erase(waiting.begin());
    done(std::move(result));
  }
  static rpc::ForwardReply Answered() {
    return {Outcome::kAnswered, NotRunReason::kNone, {200, {}, ""}};
  }

  base::EventLoop loop;
  test::FaultyTable table;
  table::Writer writer{loop, table, "writer/n/1/test", {}};
  NoVms vms;
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
  std::vector<Done> waiting;
  std::vector<rpc::ForwardRequest> sent;
  Gateway gateway{
      loop,
      {NodeId("n"), Incarnation(1)},
      store,
      router,
      keys,
      [this](const Address&, rpc::ForwardRequest request, Done done) {
        sent.push_back(std::move(request));
        waiting.push_back(std::move(done));
      },
      [] { return NotRunReason::kNone; }};
};

// Guards against a burst of retries that hits the remaining owners when one
// dies with many requests in flight.
TEST_CASE_FIXTURE(Fixture, "death of an owner causes few retries") {
  constexpr std::size_t kRequests = 200;
  Advertise("dying", kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) Send(net::Method::kGet);
  REQUIRE(sent.size() == kRequests);
  Advertise("other", kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    Answer(Error{Errc::kConnectionLost, "dying"});
  }
  const auto retried = gateway.counters().retried;
  test::RunUntil(loop, [&] { return sent.size() == kRequests + retried; });
  CHECK(retried <= kRequests / 10 + 1);
  CHECK(gateway.counters().retries_denied == kRequests - retried);
  CHECK(gateway.counters().unknown == kRequests - retried);
}

// Guards against a second run: an unknown outcome ends a request that is not
// idempotent, a definite refusal does not.
TEST_CASE_FIXTURE(Fixture, "request that may have run is not sent again") {
  Advertise("p1", 1);
  Send(net::Method::kPost);
  REQUIRE(sent.size() == 1);
  Advertise("p2", 1);
  Answer(rpc::ForwardReply{Outcome::kNotRun, NotRunReason::kNoCapacity, {}});
  test::RunUntil(loop, [&] { return sent.size() == 2; });
  CHECK(sent[0].request_id != sent[1].request_id);
  Advertise("p3", 1);
  Answer(Error{Errc::kTimeout, "p2"});
  CHECK(gateway.counters().unknown == 1);
  CHECK(gateway.in_flight() == 0);
}

// Guards against targets and fields that are changed, or fencing fields that
// are passed on, between caller and endpoint.
TEST_CASE_FIXTURE(Fixture, "target is passed on as received") {
  const auto target_for = [this](const char* target) {
    Advertise("p", 1);
    gateway.Handle(std::make_shared<net::HttpExchange>(
        nullptr, net::Request{net::Method::kGet, target, {}, ""}));
    Answer(Answered());
    return sent.back().request.target;
  };
  CHECK(target_for("/svc/s/a%2Fb%20c?x=%26&y=/svc/s/") ==
        "/a%2Fb%20c?x=%26&y=/svc/s/");
  CHECK(target_for("/svc/s?q=1") == "/?q=1");
  CHECK(target_for("/svc/s") == "/");
}

// Guards against a refusal while a peer is about to have room.
TEST_CASE_FIXTURE(Fixture, "request waits until a peer has a slot") {
  Send(net::Method::kPost);
  Send(net::Method::kPost);
  CHECK(gateway.queue().waiting() == 2);
  Advertise("p", 1);
  test::RunUntil(loop, [&] { return sent.size() == 1; });
  Answer(Answered());
  CHECK(gateway.queue().waiting() == 1);
  CHECK(gateway.counters().answered == 1);
}

// Guards against limits that are configured and not applied.
TEST_CASE_FIXTURE(Fixture, "request above the limit is not sent") {
  Configure(R"({"team":"t","pool":"p","max_concurrency":1})");
  Advertise("p", 5);
  Send(net::Method::kPost);
  Send(net::Method::kPost);
  CHECK(sent.size() == 1);
  CHECK(gateway.counters().not_run == 1);
  Answer(Answered());
  Send(net::Method::kPost);
  CHECK(sent.size() == 2);
  Answer(Answered());
}

// Guards against a keyed request that is sent before its key is claimed, sent
// twice, or kept from running after nothing ran.
TEST_CASE_FIXTURE(Fixture, "key is claimed first and released if nothing ran") {
  net::Headers headers;
  headers.Add(kIdempotencyKeyHeader, "k");
  Advertise("p", 5);
  Send(net::Method::kPost, headers);
  CHECK(sent.empty());
  table.Step();
  REQUIRE(sent.size() == 1);
  Answer(Answered());
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
