/// @file
/// The platform's table service over HTTP with JSON.
#pragma once

#include <memory>

#include "mangospread/platform/table.hpp"
#include "net/http_client.hpp"

namespace mangospread::table {

/// Client of POST /v1/transact and POST /v1/read.
class HttpTable final : public Table {
 public:
  /// @param timeout maximum time until a response. A transaction that was sent
  ///   and has no response by then ends with the status kUnknown.
  HttpTable(std::shared_ptr<net::HttpClientPool> pool, Milliseconds timeout);

  void Read(ReadRequest request, ReadCallback done) override;
  void Transact(Transaction transaction, TransactCallback done) override;

 private:
  std::shared_ptr<net::HttpClientPool> pool_;
  Milliseconds timeout_;
};

}  // namespace mangospread::table
