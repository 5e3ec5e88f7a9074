/// @file
/// Server side of a peer connection. Included for peer_service.cc alone, since
/// KJ headers are slow to compile.
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
#include "rpc/peer_connection.hpp"
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

/// Runs handlers on the core thread, the thread of the event loop `core`, and
/// returns their replies as promises.
class CoreBridge {
 public:
  CoreBridge(base::EventLoop& core, std::shared_ptr<RpcThread> thread)
      : core_(core), thread_(std::move(thread)) {}

  /// Calls `start` on the core thread with a callback that fulfills the
  /// returned promise.
  template <typename T>
  kj::Promise<T> Call(std::function<void(std::function<void(T)>)> start) {
    auto promise_and_fulfiller = kj::newPromiseAndFulfiller<T>();
    // Fulfillers may be used and destroyed on the KJ thread only; the core
    // thread only passes this one back.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
        kj::mv(promise_and_fulfiller.fulfiller));
    auto fulfiller_owner =
        std::make_shared<FulfillerOwner<T>>(thread_, std::move(fulfiller));
    core_.Post([start = std::move(start),
                fulfiller_owner = std::move(fulfiller_owner)] {
      start([fulfiller_owner](T value) {
        fulfiller_owner->Fulfill(std::move(value));
      });
    });
    ++pending_;
    return promise_and_fulfiller.promise.attach(
        kj::defer([this] { --pending_; }));
  }

  /// Number of calls of peers that wait for a reply of the core thread.
  [[nodiscard]] int pending() const noexcept { return pending_; }

  /// Forwarded requests no longer reach the core thread from now on.
  void StopForwards() noexcept { forwards_stopped_ = true; }
  [[nodiscard]] bool forwards_stopped() const noexcept {
    return forwards_stopped_;
  }

 private:
  /// Owns a fulfiller on the core thread and returns it to the KJ thread, also
  /// if it was never used.
  template <typename T>
  class FulfillerOwner {
   public:
    using Fulfiller = std::shared_ptr<kj::Own<kj::PromiseFulfiller<T>>>;
    FulfillerOwner(std::shared_ptr<RpcThread> thread, Fulfiller fulfiller)
        : thread_(std::move(thread)), fulfiller_(std::move(fulfiller)) {}
    ~FulfillerOwner() {
      if (fulfiller_ == nullptr) return;
      thread_->Post(
          [fulfiller = std::move(fulfiller_)]() mutable { fulfiller.reset(); });
    }
    FulfillerOwner(const FulfillerOwner&) = delete;
    FulfillerOwner& operator=(const FulfillerOwner&) = delete;

    void Fulfill(T value) {
      if (fulfiller_ == nullptr) return;
      auto shared = std::make_shared<T>(std::move(value));
      thread_->Post([fulfiller = std::move(fulfiller_), shared]() mutable {
        (*fulfiller)->fulfill(kj::mv(*shared));
        fulfiller.reset();
      });
    }

   private:
    std::shared_ptr<RpcThread> thread_;
    Fulfiller fulfiller_;
  };

  base::EventLoop& core_;
  std::shared_ptr<RpcThread> thread_;
  int pending_ = 0;
  bool forwards_stopped_ = false;
};

/// Reply to the probes of a node that stops: all forwarded requests that it has
/// taken are answered, the answers were sent before, and it takes no others.
/// Neither a broken connection nor a timeout fails with this type.
[[nodiscard]] inline kj::Exception MakeForwardsStopped() {
  return KJ_EXCEPTION(UNIMPLEMENTED, "the node takes no forwarded requests");
}

[[nodiscard]] inline bool IsForwardsStopped(const kj::Exception& exception) {
  return exception.getType() == kj::Exception::Type::UNIMPLEMENTED;
}

/// Serves the calls of peers on the KJ thread.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(CoreBridge& bridge, const PeerHandlers& handlers,
             std::shared_ptr<ConnectionActivity> activity)
      : bridge_(bridge), handlers_(handlers), activity_(std::move(activity)) {}

  kj::Promise<void> ping(PingContext /*context*/) override {  // NOLINT
    activity_->last_call = base::MonotonicNow();
    activity_->use = ConnectionUse::kData;
    if (bridge_.forwards_stopped()) return MakeForwardsStopped();
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext context) override {  // NOLINT
    NodeView view = Decode(context.getParams().getView());
    activity_->use = ConnectionUse::kControl;
    return RecordCall()
        .Call<NodeView>([this, view = std::move(view)](auto send_reply) {
          send_reply(handlers_.heartbeat(view));
        })
        .then([context](NodeView own_view) mutable {
          Encode(own_view, context.getResults().initView());
        });
  }

  kj::Promise<void> forward(ForwardContext context) override {  // NOLINT
    auto request = std::make_shared<ForwardRequest>(
        Decode(context.getParams().getRequest()));
    context.releaseParams();
    activity_->use = ConnectionUse::kData;
    if (bridge_.forwards_stopped()) {
      Encode(ForwardReply{Outcome::kNotRun, NotRunReason::kShuttingDown, {}},
             context.getResults().initReply());
      return kj::READY_NOW;
    }
    return RecordCall()
        .Call<ForwardReply>([this, request](auto send_reply) {
          handlers_.forward(std::move(*request), std::move(send_reply));
        })
        .then([context](ForwardReply reply) mutable {
          Encode(reply, context.getResults().initReply());
        });
  }

  kj::Promise<void> pushConfig(PushConfigContext context) override {  // NOLINT
    ConfigDelta delta = Decode(context.getParams().getDelta());
    return RecordCall()
        .Call<Revision>([this, delta = std::move(delta)](auto send_reply) {
          send_reply(handlers_.push_config(delta));
        })
        .then([context](Revision revision) mutable {
          context.getResults().setRevision(revision.value());
        });
  }

  kj::Promise<void> configSince(  // NOLINT
      ConfigSinceContext context) override {
    const Revision revision(context.getParams().getRevision());
    return RecordCall()
        .Call<ConfigDelta>([this, revision](auto send_reply) {
          send_reply(handlers_.config_since(revision));
        })
        .then([context](ConfigDelta delta) mutable {
          Encode(delta, context.getResults().initDelta());
        });
  }

  kj::Promise<void> ownershipSnapshot(  // NOLINT
      OwnershipSnapshotContext context) override {
    return RecordCall()
        .Call<OwnershipSnapshot>([this](auto send_reply) {
          send_reply(handlers_.ownership_snapshot());
        })
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
    return RecordCall()
        .Call<Done>([this, entries = std::move(entries)](auto send_reply) {
          handlers_.push_ownership(entries);
          send_reply(Done{});
        })
        .ignoreResult();
  }

  kj::Promise<void> taskCommand(  // NOLINT
      TaskCommandContext context) override {
    TaskCall call = Decode(context.getParams().getCall());
    return RecordCall()
        .Call<Result<TaskReport>>(
            [this, call = std::move(call)](auto send_reply) {
              handlers_.task_command(call, std::move(send_reply));
            })
        .then([context](Result<TaskReport> result) mutable {
          Encode(result, context.getResults().initResult());
        });
  }

  kj::Promise<void> reportTasks(  // NOLINT
      ReportTasksContext context) override {
    auto report =
        std::make_shared<NodeReport>(Decode(context.getParams().getReport()));
    return RecordCall()
        .Call<NodeReportReply>([this, report](auto send_reply) {
          send_reply(handlers_.report_tasks(*report));
        })
        .then([context](NodeReportReply reply) mutable {
          auto results = context.getResults();
          results.setSchedulerEpoch(reply.scheduler_epoch.value());
          results.setAccepted(reply.accepted);
        });
  }

  kj::Promise<void> schedulerQuery(  // NOLINT
      SchedulerQueryContext context) override {
    std::string path = context.getParams().getPath();
    return RecordCall()
        .Call<QueryReply>([this, path = std::move(path)](auto send_reply) {
          send_reply(handlers_.scheduler_query(path));
        })
        .then([context](QueryReply reply) mutable {
          auto results = context.getResults();
          results.setStatus(static_cast<std::uint16_t>(reply.status));
          results.setBody(reply.body);
        });
  }

 private:
  /// Records the time of a call and returns the bridge that passes it to the
  /// core thread.
  CoreBridge& RecordCall() {
    activity_->last_call = base::MonotonicNow();
    return bridge_;
  }

  CoreBridge& bridge_;
  const PeerHandlers& handlers_;
  std::shared_ptr<ConnectionActivity> activity_;
};

}  // namespace mangospread::rpc::detail
