#include "gateway/keys/key_row.hpp"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::gateway {
namespace {

using base::ObjectReader;
using base::Presence;
using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
/// Names and values of the header fields together.
constexpr std::size_t kMaxHeaderStrings = 512;
constexpr int kHexDigits = 16;

constexpr unsigned kAsciiLimit = 0x80;
constexpr unsigned kLeadByte = 0xC0;
constexpr unsigned kContinuationMask = 0x3F;
constexpr unsigned kContinuationBits = 6;

/// Encodes each byte as the UTF-8 form of the code point with the same value,
/// because the table stores JSON text while a body may contain any bytes.
std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const unsigned byte = static_cast<unsigned char>(c);
    if (byte < kAsciiLimit) {
      text.push_back(c);
      continue;
    }
    text.push_back(static_cast<char>(kLeadByte | (byte >> kContinuationBits)));
    text.push_back(static_cast<char>(kAsciiLimit | (byte & kContinuationMask)));
  }
  return text;
}

/// Reverses BytesToText.
std::string TextToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const unsigned lead = static_cast<unsigned char>(text[i]);
    if (lead < kAsciiLimit || i + 1 == text.size()) {
      bytes.push_back(text[i]);
      continue;
    }
    const unsigned trail = static_cast<unsigned char>(text[++i]);
    bytes.push_back(static_cast<char>((lead << kContinuationBits) |
                                      (trail & kContinuationMask)));
  }
  return bytes;
}

void AppendHex(std::uint64_t value, std::string& out) {
  static constexpr char kDigits[] = "0123456789abcdef";
  for (int digit = kHexDigits - 1; digit >= 0; --digit) {
    out.push_back(kDigits[(value >> (4 * digit)) & 0xF]);
  }
}

std::string ToHex(XXH128_hash_t hash) {
  std::string text;
  AppendHex(hash.high64, text);
  AppendHex(hash.low64, text);
  return text;
}

std::string_view StateName(KeyState state) {
  switch (state) {
    case KeyState::kClaimed:
      return "claimed";
    case KeyState::kAnswered:
      return "answered";
    case KeyState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

KeyState ParseState(std::string_view name) {
  for (const auto state : {KeyState::kClaimed, KeyState::kAnswered}) {
    if (StateName(state) == name) return state;
  }
  return KeyState::kUnknown;
}

}  // namespace

KeyedRequest MakeKeyedRequest(const ServiceName& service, std::string_view key,
                              const net::Request& request) {
  // The length of each part is hashed too, so that different splits of the same
  // bytes give different fingerprints.
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  for (const std::string_view part :
       {key, net::MethodName(request.method), std::string_view(request.target),
        request.body.view()}) {
    const std::uint64_t size = part.size();
    XXH3_128bits_update(state, &size, sizeof(size));
    XXH3_128bits_update(state, part.data(), part.size());
  }
  const std::string fingerprint = ToHex(XXH3_128bits_digest(state));
  XXH3_freeState(state);
  return {kKeyPrefix + service.str() + "/" +
              ToHex(XXH3_128bits(key.data(), key.size())),
          fingerprint};
}

bool IsStorable(const net::Response& response) {
  std::size_t header_bytes = 0;
  for (const auto& [name, value] : response.headers) {
    header_bytes += name.size() + value.size();
  }
  return response.body.size() <= kMaxStoredBodyBytes &&
         header_bytes <= kMaxStoredHeaderBytes &&
         2 * response.headers.size() <= kMaxHeaderStrings;
}

std::string EncodeKeyRow(const KeyRow& row) {
  json out{{"node", row.node.str()},
           {"incarnation", row.incarnation.value()},
           {"claimed_ms", row.claimed_ms},
           {"fingerprint", row.fingerprint},
           {"state", StateName(row.state)}};
  if (row.state == KeyState::kAnswered) {
    json headers = json::array();
    for (const auto& [name, value] : row.response.headers) {
      if (net::IsHopByHop(name)) continue;
      headers.push_back(BytesToText(name));
      headers.push_back(BytesToText(value));
    }
    out["status"] = row.response.status;
    out["headers"] = std::move(headers);
    out["body"] = BytesToText(row.response.body);
  }
  return base::DumpJson(out);
}

Result<KeyRow> DecodeKeyRow(const Row& row) {
  auto parsed = base::ParseJson(row.value, row.key);
  if (!parsed.ok()) return parsed.error();
  KeyRow out;
  std::string node;
  std::string state;
  std::string body;
  std::uint64_t incarnation = 0;
  std::vector<std::string> headers;
  ObjectReader reader(parsed.value(), row.key);
  reader.String("node", kMaxNameBytes, node, Presence::kRequired);
  reader.Integer("incarnation", 0, INT64_MAX, incarnation, Presence::kRequired);
  reader.Integer("claimed_ms", 0, INT64_MAX, out.claimed_ms,
                 Presence::kRequired);
  reader.String("fingerprint", kMaxNameBytes, out.fingerprint,
                Presence::kRequired);
  reader.String("state", kMaxNameBytes, state, Presence::kRequired);
  reader.Integer("status", 100, 599, out.response.status);
  reader.Strings("headers", kMaxHeaderStrings, headers);
  reader.String("body", 2 * kMaxStoredBodyBytes, body);
  if (auto error = reader.Finish()) return *error;
  out.node = NodeId(std::move(node));
  out.incarnation = Incarnation(incarnation);
  out.state = ParseState(state);
  for (std::size_t i = 0; i + 1 < headers.size(); i += 2) {
    out.response.headers.Add(TextToBytes(headers[i]),
                             TextToBytes(headers[i + 1]));
  }
  out.response.body = TextToBytes(body);
  return out;
}

}  // namespace mangospread::gateway
