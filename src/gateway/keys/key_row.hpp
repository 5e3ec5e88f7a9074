/// @file
/// Encoding of idempotency keys as rows of the table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"
#include "net/http_message.hpp"

namespace mangospread::gateway {

inline constexpr char kKeyPrefix[] = "idem/";
inline constexpr std::size_t kMaxKeyBytes = 255;
/// A response that exceeds either limit is not stored; a repeated request then
/// gets the outcome `unknown`.
inline constexpr std::size_t kMaxStoredBodyBytes = 4 * 1024;
inline constexpr std::size_t kMaxStoredHeaderBytes = 4 * 1024;

enum class KeyState : unsigned char {
  kClaimed,   ///< The holder may send or may have sent the request.
  kAnswered,  ///< The response is stored.
  kUnknown,   ///< The request may have run; no response is stored.
};

/// Value of an idem/<service>/<hash> row.
struct KeyRow {
  NodeId node;  ///< Node that holds the claim.
  Incarnation incarnation;
  /// Wall clock time of the claim, from which KeySweep determines its age.
  std::uint64_t claimed_ms = 0;
  std::string fingerprint;  ///< See MakeKeyedRequest.
  KeyState state = KeyState::kClaimed;
  net::Response response;  ///< Set if the state is kAnswered.
};

/// Row key of an idempotency key and fingerprint of the request that used it.
struct KeyedRequest {
  std::string row_key;
  std::string fingerprint;
};

/// Computes row key and fingerprint. The fingerprint covers key, method, target
/// and body, so that neither a reused key nor a hash collision replays the
/// response of another request.
[[nodiscard]] KeyedRequest MakeKeyedRequest(const ServiceName& service,
                                            std::string_view key,
                                            const net::Request& request);

/// True if the response is small enough to be stored with its key, see
/// kMaxStoredBodyBytes and kMaxStoredHeaderBytes.
[[nodiscard]] bool IsStorable(const net::Response& response);

[[nodiscard]] std::string EncodeKeyRow(const KeyRow& row);
/// Parses the value of a row.
/// @errors kMalformed, and those of ObjectReader.
[[nodiscard]] Result<KeyRow> DecodeKeyRow(const Row& row);

}  // namespace mangospread::gateway
