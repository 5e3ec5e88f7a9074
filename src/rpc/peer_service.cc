#include "rpc/peer_service.hpp"

#include <utility>

#include "rpc/codec/codec.hpp"
#include "rpc/codec/task_codec.hpp"
#include "rpc/peer_server.hpp"
#include "rpc/peer_service_impl.hpp"

namespace mangospread::rpc {
namespace {

/// Added to the deadline of a forwarded request, so that the owner's reply
/// about a timeout still arrives.
constexpr Milliseconds kForwardMargin{200};

}  // namespace

PeerService::PeerService(base::EventLoop& core)
    : impl_(std::make_unique<detail::PeerServiceImpl>(core)) {}

PeerService::~PeerService() = default;

void PeerService::Flush(Milliseconds limit, std::function<void()> done) {
  impl_->Flush(limit, std::move(done));
}

const base::StallRecord& PeerService::stalls() const noexcept {
  return impl_->stalls();
}

Result<Address> PeerService::Listen(const Address& address,
                                    PeerHandlers handlers) {
  return impl_->Listen(address, std::move(handlers));
}

void PeerService::Heartbeat(const Address& peer, const NodeView& view,
                            Milliseconds timeout,
                            ReplyCallback<NodeView> done) {
  impl_->Call<NodeView>({peer, detail::Channel::kControl}, timeout,
                        detail::OnSilence::kCloseConnection, std::move(done),
                        [view](wire::Peer::Client& client) {
                          auto call = client.heartbeatRequest();
                          Encode(view, call.initView());
                          return call.send().then([](auto&& reply) {
                            return Decode(reply.getView());
                          });
                        });
}

void PeerService::Forward(const Address& peer, ForwardRequest request,
                          ReplyCallback<ForwardReply> done) {
  const Milliseconds timeout = request.timeout + kForwardMargin;
  const auto on_silence =
      request.idempotent ? detail::OnSilence::kFail : detail::OnSilence::kWait;
  auto shared_request = std::make_shared<ForwardRequest>(std::move(request));
  impl_->Call<ForwardReply>({peer, detail::Channel::kData}, timeout, on_silence,
                            std::move(done),
                            [shared_request](wire::Peer::Client& client) {
                              auto call = client.forwardRequest();
                              Encode(*shared_request, call.initRequest());
                              return call.send().then([](auto&& reply) {
                                return Decode(reply.getReply());
                              });
                            });
}

void PeerService::PushConfig(const Address& peer, ConfigDelta delta,
                             Milliseconds timeout,
                             ReplyCallback<Revision> done) {
  impl_->Call<Revision>({peer, detail::Channel::kControl}, timeout,
                        detail::OnSilence::kFail, std::move(done),
                        [delta = std::move(delta)](wire::Peer::Client& client) {
                          auto call = client.pushConfigRequest();
                          Encode(delta, call.initDelta());
                          return call.send().then([](auto&& reply) {
                            return Revision(reply.getRevision());
                          });
                        });
}

void PeerService::ConfigSince(const Address& peer, Revision revision,
                              Milliseconds timeout,
                              ReplyCallback<ConfigDelta> done) {
  impl_->Call<ConfigDelta>({peer, detail::Channel::kData}, timeout,
                           detail::OnSilence::kFail, std::move(done),
                           [revision](wire::Peer::Client& client) {
                             auto call = client.configSinceRequest();
                             call.setRevision(revision.value());
                             return call.send().then([](auto&& reply) {
                               return Decode(reply.getDelta());
                             });
                           });
}

void PeerService::FetchOwnership(const Address& peer, Milliseconds timeout,
                                 ReplyCallback<OwnershipSnapshot> done) {
  impl_->Call<OwnershipSnapshot>(
      {peer, detail::Channel::kData}, timeout, detail::OnSilence::kFail,
      std::move(done), [](wire::Peer::Client& client) {
        return client.ownershipSnapshotRequest().send().then([](auto&& reply) {
          return OwnershipSnapshot{
              detail::DecodeList<OwnershipEntry>(reply.getEntries()),
              detail::DecodeList<VmInfo>(reply.getVms())};
        });
      });
}

void PeerService::PushOwnership(const Address& peer,
                                std::vector<OwnershipEntry> entries,
                                Milliseconds timeout,
                                ReplyCallback<Done> done) {
  impl_->Call<Done>(
      {peer, detail::Channel::kControl}, timeout, detail::OnSilence::kFail,
      std::move(done),
      [entries = std::move(entries)](wire::Peer::Client& client) {
        auto call = client.pushOwnershipRequest();
        detail::EncodeList(entries,
                           [&call](unsigned n) { return call.initEntries(n); });
        return call.send().then([](auto&& /*reply*/) { return Done{}; });
      });
}

void PeerService::TaskCommand(const Address& peer, TaskCall call,
                              Milliseconds timeout,
                              ReplyCallback<TaskReport> done) {
  // A refusal by the called node is part of its reply and keeps its error code,
  // since some codes, unlike a failed call, guarantee that the command had no
  // effect.
  impl_->Call<Result<TaskReport>>(
      {peer, detail::Channel::kControl}, timeout, detail::OnSilence::kFail,
      [done = std::move(done)](const Result<Result<TaskReport>>& reply) {
        if (!reply.ok()) return done(reply.error());
        done(reply.value());
      },
      [call = std::move(call)](wire::Peer::Client& client) {
        auto request = client.taskCommandRequest();
        Encode(call, request.initCall());
        return request.send().then(
            [](auto&& reply) { return Decode(reply.getResult()); });
      });
}

void PeerService::ReportTasks(const Address& peer, NodeReport report,
                              Milliseconds timeout,
                              ReplyCallback<NodeReportReply> done) {
  impl_->Call<NodeReportReply>(
      {peer, detail::Channel::kData}, timeout, detail::OnSilence::kFail,
      std::move(done),
      [report = std::move(report)](wire::Peer::Client& client) {
        auto request = client.reportTasksRequest();
        Encode(report, request.initReport());
        return request.send().then([](auto&& reply) {
          return NodeReportReply{Epoch(reply.getSchedulerEpoch()),
                                 reply.getAccepted()};
        });
      });
}

void PeerService::SchedulerQuery(const Address& peer, std::string path,
                                 Milliseconds timeout,
                                 ReplyCallback<QueryReply> done) {
  impl_->Call<QueryReply>(
      {peer, detail::Channel::kData}, timeout, detail::OnSilence::kFail,
      std::move(done), [path = std::move(path)](wire::Peer::Client& client) {
        auto request = client.schedulerQueryRequest();
        request.setPath(path);
        return request.send().then([](auto&& reply) {
          return QueryReply{reply.getStatus(), reply.getBody()};
        });
      });
}

}  // namespace mangospread::rpc
