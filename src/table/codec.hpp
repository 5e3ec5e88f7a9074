/// @file
/// JSON encoding of the table service's messages, shared by the client and the
/// stand-in. The Decode functions fail with kMalformed.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mangospread/platform/table.hpp"

namespace mangospread::table {

[[nodiscard]] std::string EncodeRead(const ReadRequest& request);
[[nodiscard]] Result<ReadRequest> DecodeRead(std::string_view text);

[[nodiscard]] std::string EncodeRows(const std::vector<Row>& rows);
[[nodiscard]] Result<std::vector<Row>> DecodeRows(std::string_view text);

[[nodiscard]] std::string EncodeTransaction(const Transaction& transaction);
[[nodiscard]] Result<Transaction> DecodeTransaction(std::string_view text);

/// Only for the statuses kCommitted and kConflict.
[[nodiscard]] std::string EncodeResult(const TransactResult& result);
[[nodiscard]] Result<TransactResult> DecodeResult(std::string_view text);

}  // namespace mangospread::table
