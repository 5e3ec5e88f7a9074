/// @file
/// Idempotency keys as rows of the table.
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
/// Larger responses are not stored; a repeated request then gets `unknown`.
inline constexpr std::size_t kMaxStoredBody = 4 * 1024;
inline constexpr std::size_t kMaxStoredHeaders = 4 * 1024;

enum class KeyState : unsigned char {
  kClaimed,   ///< The holder may send the request, or has sent it.
  kAnswered,  ///< The response is stored.
  kUnknown,   ///< The request may have run and there is no stored response.
};

/// Value of an idem/<service>/<hash> row.
struct KeyRow {
  NodeId node;  ///< Holder of the claim.
  Incarnation incarnation;
  std::uint64_t claimed_ms = 0;  ///< Wall time, for the sweep.
  std::string fingerprint;
  KeyState state = KeyState::kClaimed;
  net::Response response;  ///< With kAnswered.
};

/// Names the row of a key and the request it was used for.
struct KeyUse {
  std::string row_key;
  std::string fingerprint;
};

/// The fingerprint covers key, method, target and body, so that neither a
/// reused key nor a collision of hashes replays another request's response.
[[nodiscard]] KeyUse MakeKeyUse(const ServiceName& service,
                                std::string_view key,
                                const net::Request& request);

/// True if the response is small enough to be stored with its key.
[[nodiscard]] bool IsStorable(const net::Response& response);

[[nodiscard]] std::string EncodeKeyRow(const KeyRow& row);
/// @errors kMalformed and those of ObjectReader.
[[nodiscard]] Result<KeyRow> DecodeKeyRow(const Row& row);

}  // namespace mangospread::gateway
