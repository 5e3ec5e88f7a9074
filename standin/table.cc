// Stand-in for the table service: transactional rows in memory, with faults
// that a test sets through POST /standin/faults.
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_reader.hpp"
#include "host.hpp"
#include "table/codec.hpp"
#include "table/memory_table.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

class TableStandin {
 public:
  TableStandin(base::EventLoop& loop, Milliseconds delay)
      : loop_(loop), delay_(delay) {}

  void Handle(const Exchange& exchange) {
    const std::string& target = exchange->request().target;
    if (target == "/standin/faults") return SetFaults(exchange);
    if (target == "/standin/record") return SendRecord(exchange);
    if (down_) return ReplyJson(*exchange, kServiceUnavailable, "{}");
    if (target == "/v1/read") return Read(exchange);
    if (target == "/v1/transact") return Transact(exchange);
    ReplyJson(*exchange, kBadRequest, "{}");
  }

 private:
  /// Runs `fn` after the configured delay.
  void RunDelayed(std::function<void()> fn) {
    timers_.push_back(std::make_shared<base::Timer>());
    const auto timer = timers_.back();
    std::erase_if(timers_, [&timer](const auto& other) {
      return other != timer && !other->active();
    });
    *timer = loop_.After(delay_, std::move(fn));
  }

  void Read(const Exchange& exchange) {
    ++reads_;
    const auto request = table::DecodeRead(exchange->request().body);
    if (!request.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
    RunDelayed([this, exchange, request = request.value()] {
      ReplyJson(*exchange, kOk, table::EncodeRows(rows_.Read(request)));
    });
  }

  void Transact(const Exchange& exchange) {
    ++transactions_;
    const auto decoded = table::DecodeTransaction(exchange->request().body);
    if (!decoded.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
    RunDelayed([this, exchange, transaction = decoded.value()] {
      const TransactResult result = rows_.Transact(transaction);
      if (lose_replies_ > 0) {
        // The transaction is committed, but no response is ever sent.
        --lose_replies_;
        unanswered_.push_back(exchange);
        return;
      }
      const bool committed =
          result.status == TransactResult::Status::kCommitted;
      ReplyJson(*exchange, committed ? kOk : kConflict,
                table::EncodeResult(result));
    });
  }

  void SetFaults(const Exchange& exchange) {
    const auto parsed = base::ParseJson(exchange->request().body, "faults");
    if (!parsed.ok()) return ReplyJson(*exchange, kBadRequest, "{}");
    std::int64_t delay_ms = delay_.count();
    base::ObjectReader reader(parsed.value(), "faults");
    reader.Boolean("down", down_);
    reader.Integer("delay_ms", 0, 60'000, delay_ms);
    reader.Integer("lose_replies", 0, 1'000, lose_replies_);
    if (reader.Finish()) return ReplyJson(*exchange, kBadRequest, "{}");
    delay_ = Milliseconds(delay_ms);
    ReplyJson(*exchange, kOk, "{}");
  }

  void SendRecord(const Exchange& exchange) {
    const json body{{"reads", reads_},
                    {"transactions", transactions_},
                    {"rows", rows_.size()}};
    ReplyJson(*exchange, kOk, body.dump());
  }

  base::EventLoop& loop_;
  Milliseconds delay_;
  table::MemoryRows rows_;
  bool down_ = false;
  int lose_replies_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t transactions_ = 0;
  std::vector<Exchange> unanswered_;
  std::vector<std::shared_ptr<base::Timer>> timers_;
};

}  // namespace

int RunTable(const Options& options) {
  base::EventLoop loop;
  TableStandin standin(loop, Milliseconds(options.Number("delay-ms", 1)));
  return RunHttpStandin(loop, options, [&standin](const Exchange& exchange) {
    standin.Handle(exchange);
  });
}

}  // namespace mangospread::standin
