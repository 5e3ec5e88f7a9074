#include "table/http_table.hpp"

#include <utility>

#include "base/events.hpp"
#include "table/codec.hpp"

namespace mangospread::table {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

net::Request MakePost(std::string target, std::string body) {
  net::Request request;
  request.method = net::Method::kPost;
  request.target = std::move(target);
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

net::CallOptions MakeOptions(Milliseconds timeout) {
  net::CallOptions options;
  options.timeout = timeout;
  // A connection may stop working while it is idle; a request on it would wait
  // for the whole timeout.
  options.max_idle = Milliseconds(5'000);
  return options;
}

TransactResult ToTransactResult(const net::CallResult& call) {
  using Status = TransactResult::Status;
  if (!call.response.ok()) {
    const bool never_sent = call.sent == net::SendState::kNotSent;
    return {never_sent ? Status::kUnavailable : Status::kUnknown, {}, {}};
  }
  const net::Response& response = call.response.value();
  // The service responds with 503 only before it starts a transaction.
  if (response.status == kServiceUnavailable) {
    return {Status::kUnavailable, {}, {}};
  }
  if (response.status != kOk && response.status != kConflict) {
    return {Status::kUnknown, {}, {}};
  }
  auto result = DecodeResult(response.body);
  if (!result.ok()) return {Status::kUnknown, {}, {}};
  return std::move(result.value());
}

}  // namespace

HttpTable::HttpTable(std::shared_ptr<net::HttpClientPool> pool,
                     Milliseconds timeout)
    : pool_(std::move(pool)), timeout_(timeout) {}

void HttpTable::Read(ReadRequest request, ReadCallback done) {
  pool_->Send(MakePost("/v1/read", EncodeRead(request)), MakeOptions(timeout_),
              [done = std::move(done)](const net::CallResult& call) {
                if (!call.response.ok()) return done(call.response.error());
                const net::Response& response = call.response.value();
                if (response.status != kOk) {
                  return done(Error{Errc::kUnavailable, "table"});
                }
                auto rows = DecodeRows(response.body);
                if (!rows.ok()) {
                  base::Log(
                      base::Event::kEntryMalformed,
                      {{"source", "table"}, {"reason", rows.error().subject}});
                }
                done(std::move(rows));
              });
}

void HttpTable::Transact(Transaction transaction, TransactCallback done) {
  pool_->Send(MakePost("/v1/transact", EncodeTransaction(transaction)),
              MakeOptions(timeout_),
              [done = std::move(done)](const net::CallResult& call) {
                done(ToTransactResult(call));
              });
}

}  // namespace mangospread::table
