#include "endpoint/response.hpp"

#include <algorithm>
#include <cstdlib>

#include "worker/codec.hpp"

namespace mangospread::standin {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kForeignBody = "answer of another request";

/// Writes a body in chunks; if it is not `whole`, only its first half without
/// the final chunk.
void WriteChunks(RawConnection& connection, std::string_view body, bool whole) {
  constexpr std::size_t kChunkBytes = 64'000;
  if (!whole) body = body.substr(0, body.size() / 2);
  while (!body.empty()) {
    const auto chunk = body.substr(0, kChunkBytes);
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
    connection.Write(size);
    connection.Write(chunk);
    connection.Write("\r\n");
    body.remove_prefix(chunk.size());
  }
  if (whole) connection.Write("0\r\n\r\n");
}

void WriteResponse(RawConnection& connection, const net::Response& response,
                   std::string_view framing, bool whole) {
  const std::string_view body = response.body;
  const auto sent = whole ? body : body.substr(0, body.size() / 2);
  std::string head = EncodeHead(response);
  if (framing == "chunked") {
    connection.Write(head + "Transfer-Encoding: chunked\r\n\r\n");
    WriteChunks(connection, body, whole);
  } else if (framing == "close") {
    connection.Write(head + "Connection: close\r\n\r\n");
    connection.Write(sent);
  } else {
    connection.Write(head + "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n");
    connection.Write(sent);
  }
}

}  // namespace

std::string MakeBody(const std::string& seed, std::size_t bytes) {
  std::string body;
  body.reserve(bytes + seed.size() + 32);
  while (body.size() < bytes) {
    body += seed + ":" + std::to_string(body.size()) + ";";
  }
  body.resize(bytes);
  return body;
}

void SendResponse(RawConnection& connection, const std::string& id) {
  const net::Request& request = connection.request();
  const std::string misbehavior(request.headers.Get(kMisbehaveHeader));
  if (misbehavior == "silent") return;
  if (misbehavior == "closed") return connection.Close();
  net::Response response;
  response.status = kOk;
  const bool swapped = misbehavior == "swapped";
  response.headers.Add(worker::kRequestIdHeader, swapped ? id + "-other" : id);
  const std::string bytes(request.headers.Get(kReplyBytesHeader));
  if (swapped) {
    response.body = std::string(kForeignBody);
  } else if (bytes.empty()) {
    response.body = request.body;
  } else {
    response.body = MakeBody(
        std::string(request.headers.Get(kReplySeedHeader)),
        static_cast<std::size_t>(std::max(0, std::atoi(bytes.c_str()))));
  }
  const auto framing = request.headers.Get(kFramingHeader);
  if (framing.empty() && misbehavior.empty()) return connection.Reply(response);
  WriteResponse(connection, response, framing, misbehavior != "cut");
  if (misbehavior == "surplus") {
    connection.Write("HTTP/1.1 200 Reply\r\nContent-Length: " +
                     std::to_string(kForeignBody.size()) + "\r\n\r\n");
    connection.Write(kForeignBody);
  }
  if (misbehavior == "cut" || framing == "close") return connection.Close();
  connection.ReadNextRequest();
}

}  // namespace mangospread::standin
