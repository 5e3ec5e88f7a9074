/// @file
/// Connections to and from peers with their RPC systems, for use on the KJ
/// thread. Included for peer_service.cc alone, since KJ headers are slow to
/// compile.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <memory>
#include <utility>

#include "base/loop/clock.hpp"
#include "rpc/schema/peer.capnp.h"

namespace mangospread::rpc::detail {

/// Limit of a message: 16 MiB. Bodies are limited to 8 MiB at the gateway; a
/// message holds one body and its headers.
inline constexpr std::uint64_t kMaxMessageWords = 2 * 1024 * 1024;

[[nodiscard]] inline capnp::ReaderOptions MakeReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

/// A connection to a peer. The calls in progress on it hold references.
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> connected_stream)  // NOLINT
      : stream(kj::mv(connected_stream)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT,
                MakeReaderOptions()),
        rpc(capnp::makeRpcClient(network)),
        peer(Bootstrap()) {}

  /// Makes `silence` fail.
  void ReportSilence() {
    silence_fulfiller->reject(
        KJ_EXCEPTION(DISCONNECTED, "the peer does not respond to probes"));
  }

  wire::Peer::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Peer::Client peer;
  int calls_in_progress = 0;
  /// True if a forwarded request without a reply was not run and will not be.
  bool forwards_stopped = false;
  kj::PromiseFulfillerPair<void> silence_pair =
      kj::newPromiseAndFulfiller<void>();
  kj::Own<kj::PromiseFulfiller<void>> silence_fulfiller =
      kj::mv(silence_pair.fulfiller);
  /// Pending while the peer responds; fails when a probe has had no response.
  kj::ForkedPromise<void> silence = silence_pair.promise.fork();
};

/// What an accepted connection is used for, as far as its calls show.
enum class ConnectionUse : std::uint8_t {
  kUnknown,  ///< No call has arrived that tells.
  kControl,  ///< Heartbeats have arrived.
  kData,     ///< Probes or forwarded requests have arrived.
};

/// Activity of an accepted connection, for use on the KJ thread.
struct ConnectionActivity {
  MonotonicTime last_call = base::MonotonicNow();
  ConnectionUse use = ConnectionUse::kUnknown;
};

/// A connection accepted from a peer, and its RPC system.
struct AcceptedPeer {
  AcceptedPeer(kj::Own<kj::AsyncIoStream> accepted_stream,
               capnp::Capability::Client bootstrap,
               std::shared_ptr<ConnectionActivity> connection_activity)
      : activity(std::move(connection_activity)),
        stream(kj::mv(accepted_stream)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER,
                MakeReaderOptions()),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  std::shared_ptr<ConnectionActivity> activity;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace mangospread::rpc::detail
