/// @file
/// Stand-in for the platform's metadata store, with its limits on rows and
/// calls.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "http.hpp"
#include "record.hpp"

namespace review {

class Store {
 public:
  explicit Store(Record& record);

  [[nodiscard]] int port() const noexcept { return server_.port(); }
  void Stop();
  /// Writes a row with an empty part, as the operator or a worker does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// Number of transactions refused for a row or a call over its limit.
  [[nodiscard]] int oversized() const;

 private:
  using RowId = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  ///< As base64.
    std::uint64_t version = 0;
  };
  struct Change {
    RowId id;
    std::uint64_t version = 0;
    std::optional<std::string> value;
  };

  std::optional<Response> Handle(const Request& request);
  Response Transact(const Request& request);
  Response Get(const Request& request);
  Response Feed(const Request& request);
  void Apply(const RowId& id, const std::optional<std::string>& value);

  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<RowId, Row> rows_;
  std::vector<Change> history_;
  std::uint64_t version_ = 0;
  int oversized_ = 0;
  HttpServer server_;
};

}  // namespace review
