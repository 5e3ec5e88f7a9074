/// @file
/// The serving side of a peer connection. Included by peer_service.cc alone,
/// since KJ headers are slow to compile.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "rpc/codec/codec.hpp"
#include "rpc/codec/task_codec.hpp"
#include "rpc/peer_service.hpp"
#include "rpc/rpc_thread.hpp"

namespace mangospread::rpc::detail {

template <typename T, typename Init>
void EncodeList(const std::vector<T>& items, Init init) {
  auto list = init(static_cast<unsigned>(items.size()));
  for (unsigned i = 0; i < list.size(); ++i) Encode(items[i], list[i]);
}

template <typename T, typename List>
std::vector<T> DecodeList(const List& list) {
  std::vector<T> items;
  items.reserve(list.size());
  for (const auto item : list) items.push_back(Decode(item));
  return items;
}

/// Runs a handler on the core thread and returns its answer as a promise.
class CoreBridge {
 public:
  CoreBridge(base::EventLoop& core, std::shared_ptr<RpcThread> thread)
      : core_(core), thread_(std::move(thread)) {}

  /// `start` is called on the core thread with the function to answer with.
  template <typename T>
  kj::Promise<T> Call(std::function<void(std::function<void(T)>)> start) {
    auto paf = kj::newPromiseAndFulfiller<T>();
    // Fulfillers belong to the KJ thread; the core thread only carries it.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
        kj::mv(paf.fulfiller));
    auto hold = std::make_shared<Holder<T>>(thread_, std::move(fulfiller));
    core_.Post([start = std::move(start), hold = std::move(hold)] {
      start([hold](T value) { hold->Fulfill(std::move(value)); });
    });
    ++pending_;
    return paf.promise.attach(kj::defer([this] { --pending_; }));
  }

  /// Calls of peers that wait for the core thread's answer.
  [[nodiscard]] int pending() const noexcept { return pending_; }

 private:
  /// Returns the fulfiller to the KJ thread even if it is never used.
  template <typename T>
  class Holder {
   public:
    using Fulfiller = std::shared_ptr<kj::Own<kj::PromiseFulfiller<T>>>;
    Holder(std::shared_ptr<RpcThread> thread, Fulfiller fulfiller)
        : thread_(std::move(thread)), fulfiller_(std::move(fulfiller)) {}
    ~Holder() {
      if (fulfiller_ == nullptr) return;
      thread_->Post(
          [moved = std::move(fulfiller_)]() mutable { moved.reset(); });
    }
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    void Fulfill(T value) {
      if (fulfiller_ == nullptr) return;
      auto shared = std::make_shared<T>(std::move(value));
      thread_->Post([moved = std::move(fulfiller_), shared]() mutable {
        (*moved)->fulfill(kj::mv(*shared));
        moved.reset();
      });
    }

   private:
    std::shared_ptr<RpcThread> thread_;
    Fulfiller fulfiller_;
  };

  base::EventLoop& core_;
  std::shared_ptr<RpcThread> thread_;
  int pending_ = 0;
};

/// What is known about an accepted connection's use, for the KJ thread.
struct ServerActivity {
  MonotonicTime last_call = base::MonotonicNow();
};

/// Serves peers' calls on the KJ thread.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(CoreBridge& bridge, const PeerHandlers& handlers,
             std::shared_ptr<ServerActivity> activity)
      : bridge_(bridge), handlers_(handlers), activity_(std::move(activity)) {}

  kj::Promise<void> ping(PingContext /*context*/) override {  // NOLINT
    activity_->last_call = base::MonotonicNow();
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext context) override {  // NOLINT
    NodeView view = Decode(context.getParams().getView());
    return Counted()
        .Call<NodeView>([this, view = std::move(view)](auto reply) {
          reply(handlers_.heartbeat(view));
        })
        .then([context](NodeView own) mutable {
          Encode(own, context.getResults().initView());
        });
  }

  kj::Promise<void> forward(ForwardContext context) override {  // NOLINT
    auto request = std::make_shared<ForwardRequest>(
        Decode(context.getParams().getRequest()));
    context.releaseParams();
    return Counted()
        .Call<ForwardReply>([this, request](auto reply) {
          handlers_.forward(std::move(*request), std::move(reply));
        })
        .then([context](ForwardReply answer) mutable {
          Encode(answer, context.getResults().initReply());
        });
  }

  kj::Promise<void> pushConfig(PushConfigContext context) override {  // NOLINT
    ConfigDelta delta = Decode(context.getParams().getDelta());
    return Counted()
        .Call<Revision>([this, delta = std::move(delta)](auto reply) {
          reply(handlers_.push_config(delta));
        })
        .then([context](Revision revision) mutable {
          context.getResults().setRevision(revision.value());
        });
  }

  kj::Promise<void> configSince(  // NOLINT
      ConfigSinceContext context) override {
    const Revision revision(context.getParams().getRevision());
    return Counted()
        .Call<ConfigDelta>([this, revision](auto reply) {
          reply(handlers_.config_since(revision));
        })
        .then([context](ConfigDelta delta) mutable {
          Encode(delta, context.getResults().initDelta());
        });
  }

  kj::Promise<void> ownershipSnapshot(  // NOLINT
      OwnershipSnapshotContext context) override {
    return Counted()
        .Call<OwnershipSnapshot>(
            [this](auto reply) { reply(handlers_.ownership_snapshot()); })
        .then([context](OwnershipSnapshot snapshot) mutable {
          auto results = context.getResults();
          EncodeList(snapshot.entries,
                     [&results](unsigned n) { return results.initEntries(n); });
          EncodeList(snapshot.vms,
                     [&results](unsigned n) { return results.initVms(n); });
        });
  }

  kj::Promise<void> pushOwnership(  // NOLINT
      PushOwnershipContext context) override {
    auto entries = DecodeList<OwnershipEntry>(context.getParams().getEntries());
    return Counted()
        .Call<Done>([this, entries = std::move(entries)](auto reply) {
          handlers_.push_ownership(entries);
          reply(Done{});
        })
        .ignoreResult();
  }

  kj::Promise<void> taskCommand(  // NOLINT
      TaskCommandContext context) override {
    TaskCall call = Decode(context.getParams().getCall());
    return Counted()
        .Call<Result<TaskReport>>([this, call = std::move(call)](auto reply) {
          handlers_.task_command(call, std::move(reply));
        })
        .then([context](Result<TaskReport> result) mutable {
          Encode(result, context.getResults().initResult());
        });
  }

  kj::Promise<void> reportTasks(  // NOLINT
      ReportTasksContext context) override {
    auto report =
        std::make_shared<NodeReport>(Decode(context.getParams().getReport()));
    return Counted()
        .Call<NodeReportReply>([this, report](auto reply) {
          reply(handlers_.report_tasks(*report));
        })
        .then([context](NodeReportReply answer) mutable {
          auto results = context.getResults();
          results.setSchedulerEpoch(answer.scheduler_epoch.value());
          results.setAccepted(answer.accepted);
        });
  }

  kj::Promise<void> schedulerQuery(  // NOLINT
      SchedulerQueryContext context) override {
    std::string path = context.getParams().getPath();
    return Counted()
        .Call<QueryReply>([this, path = std::move(path)](auto reply) {
          reply(handlers_.scheduler_query(path));
        })
        .then([context](QueryReply answer) mutable {
          auto results = context.getResults();
          results.setStatus(static_cast<std::uint16_t>(answer.status));
          results.setBody(answer.body);
        });
  }

 private:
  /// Notes a call that is passed to the core thread.
  CoreBridge& Counted() {
    activity_->last_call = base::MonotonicNow();
    return bridge_;
  }

  CoreBridge& bridge_;
  const PeerHandlers& handlers_;
  std::shared_ptr<ServerActivity> activity_;
};

}  // namespace mangospread::rpc::detail
