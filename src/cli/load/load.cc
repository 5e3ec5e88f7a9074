#include "cli/load/load.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "base/json/json_writer.hpp"
#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "cli/commands.hpp"
#include "cli/load/histogram.hpp"
#include "net/http_client.hpp"

namespace mangospread::cli {
namespace {

namespace po = boost::program_options;

constexpr std::int64_t kNanosPerMicro = 1'000;
constexpr double kNanosPerSecond = 1e9;
constexpr double kMicrosPerMs = 1'000;

struct LoadOptions {
  std::vector<Address> servers;
  std::string target;
  net::Method method = net::Method::kGet;
  int concurrency = 8;
  double rate = 0;  ///< Requests per second; 0 means no schedule.
  Milliseconds duration{10'000};
  Milliseconds warm_up{1'000};
  Milliseconds timeout{5'000};
  std::size_t body_bytes = 0;
  bool idempotency_keys = false;
  std::vector<std::string> headers;
};

po::options_description DescribeOptions() {
  po::options_description options("options of mangospread load");
  auto add = options.add_options();
  add("server", po::value<std::string>()->default_value("127.0.0.1:8080"),
      "HTTP addresses of nodes, separated by commas");
  add("target", po::value<std::string>()->default_value("/"),
      "path, for example /svc/quotes/item");
  add("method", po::value<std::string>()->default_value("GET"), "GET or POST");
  add("concurrency", po::value<int>()->default_value(8),
      "maximum number of requests in flight");
  add("rate", po::value<double>()->default_value(0),
      "requests per second; 0 sends a request whenever a response arrives");
  add("duration-ms", po::value<std::int64_t>()->default_value(10'000), "");
  add("warm-up-ms", po::value<std::int64_t>()->default_value(1'000),
      "time before requests are counted");
  add("timeout-ms", po::value<std::int64_t>()->default_value(5'000), "");
  add("body-bytes", po::value<std::size_t>()->default_value(0), "");
  add("idempotency-keys", po::bool_switch(),
      "give each request a new Idempotency-Key");
  add("header", po::value<std::vector<std::string>>()->composing(),
      "additional header, name:value");
  add("help", "");
  return options;
}

Result<LoadOptions> ParseOptions(const std::vector<std::string>& args) {
  po::variables_map values;
  try {
    po::store(po::command_line_parser(args).options(DescribeOptions()).run(),
              values);
  } catch (const po::error& exception) {
    return Error{Errc::kInvalidArgument, exception.what()};
  }
  LoadOptions options;
  std::istringstream servers(values["server"].as<std::string>());
  for (std::string text; std::getline(servers, text, ',');) {
    const auto address = ParseAddress(text);
    if (!address.ok()) return address.error();
    options.servers.push_back(address.value());
  }
  options.target = values["target"].as<std::string>();
  const auto method = values["method"].as<std::string>();
  if (method != "GET" && method != "POST") {
    return Error{Errc::kInvalidArgument, "method"};
  }
  options.method = method == "GET" ? net::Method::kGet : net::Method::kPost;
  options.concurrency = values["concurrency"].as<int>();
  options.rate = values["rate"].as<double>();
  options.duration = Milliseconds(values["duration-ms"].as<std::int64_t>());
  options.warm_up = Milliseconds(values["warm-up-ms"].as<std::int64_t>());
  options.timeout = Milliseconds(values["timeout-ms"].as<std::int64_t>());
  options.body_bytes = values["body-bytes"].as<std::size_t>();
  options.idempotency_keys = values["idempotency-keys"].as<bool>();
  if (values.count("header") > 0) {
    options.headers = values["header"].as<std::vector<std::string>>();
  }
  const bool valid = options.concurrency > 0 && options.rate >= 0 &&
                     options.duration.count() > 0 && !options.servers.empty();
  if (!valid) return Error{Errc::kOutOfRange, "concurrency, rate or duration"};
  return options;
}

class LoadGenerator {
 public:
  LoadGenerator(base::EventLoop& loop, LoadOptions options)
      : loop_(loop), options_(std::move(options)) {
    for (const Address& server : options_.servers) {
      net::PoolLimits limits;
      limits.max_connections = static_cast<std::size_t>(options_.concurrency);
      pools_.push_back(net::HttpClientPool::Create(loop_, server, limits));
    }
    body_ = std::string(options_.body_bytes, 'x');
    std::random_device random;
    key_prefix_ = std::to_string(random()) + "-";
  }

  void Start() {
    start_time_ = base::MonotonicNow();
    counted_from_ = start_time_ + options_.warm_up;
    end_time_ = counted_from_ + options_.duration;
    next_due_ = start_time_;
    SendDueRequests();
  }

  [[nodiscard]] std::string Report() const {
    const double seconds =
        std::chrono::duration<double>(options_.duration).count();
    nlohmann::json report{{"outcomes", outcomes_},
                          {"requests_per_second",
                           static_cast<double>(latency_.count()) / seconds},
                          {"p50_ms", QuantileMs(latency_, 0.5)},
                          {"p99_ms", QuantileMs(latency_, 0.99)},
                          {"p999_ms", QuantileMs(latency_, 0.999)},
                          {"max_ms", QuantileMs(latency_, 1)}};
    if (options_.rate > 0) {
      report["generator_late_p99_ms"] = QuantileMs(lateness_, 0.99);
      report["generator_late_max_ms"] = QuantileMs(lateness_, 1);
    }
    return base::DumpJson(report);
  }

 private:
  static double QuantileMs(const Histogram& histogram, double q) {
    return static_cast<double>(histogram.Quantile(q)) / kMicrosPerMs;
  }

  /// True if a request with this scheduled time counts for the report.
  [[nodiscard]] bool Counted(MonotonicTime due) const {
    return due >= counted_from_ && due < end_time_;
  }

  /// Sends the requests that are due. Every request that was due before the end
  /// is sent and counted, however late, so that a stall at the end of the run
  /// appears in the result.
  void SendDueRequests() {
    const MonotonicTime now = base::MonotonicNow();
    if (options_.rate > 0) {
      SendScheduledRequests(now);
    } else {
      while (now < end_time_ && in_flight_ < options_.concurrency) Send(now);
    }
    if (now >= end_time_ && in_flight_ == 0) loop_.Stop();
  }

  void SendScheduledRequests(MonotonicTime now) {
    const MonotonicTime interval(
        static_cast<std::int64_t>(kNanosPerSecond / options_.rate));
    while (next_due_ < end_time_ && next_due_ <= now &&
           in_flight_ < options_.concurrency) {
      const MonotonicTime due = next_due_;
      next_due_ += interval;
      // The server causes the wait for a free slot; only the remaining delay is
      // the generator's own.
      if (Counted(due)) lateness_.Add(Micros(now - std::max(due, slot_free_)));
      Send(due);
    }
    timer_.reset();
    const MonotonicTime next_wakeup = std::min(next_due_, end_time_);
    if (next_wakeup <= now) return;  // The next response resumes sending.
    // The generator sleeps until the next request is due: a polling thread
    // would use up its time slice and then be descheduled.
    timer_ = loop_.After(next_wakeup - now, [this] { SendDueRequests(); });
  }

  static std::uint64_t Micros(MonotonicTime time) {
    return static_cast<std::uint64_t>(time.count() / kNanosPerMicro);
  }

  void Send(MonotonicTime due) {
    net::Request request;
    request.method = options_.method;
    request.target = options_.target;
    request.body = body_;
    if (options_.idempotency_keys) {
      request.headers.Add("Idempotency-Key",
                          key_prefix_ + std::to_string(next_key_++));
    }
    for (const std::string& header : options_.headers) {
      const auto colon = header.find(':');
      if (colon == std::string::npos) continue;
      request.headers.Add(header.substr(0, colon), header.substr(colon + 1));
    }
    net::CallOptions call;
    call.timeout = options_.timeout;
    ++in_flight_;
    auto& pool = *pools_[next_pool_++ % pools_.size()];
    pool.Send(request, call, [this, due](const net::CallResult& result) {
      if (in_flight_-- == options_.concurrency) {
        slot_free_ = base::MonotonicNow();
      }
      RecordResult(due, result);
      SendDueRequests();
    });
  }

  void RecordResult(MonotonicTime due, const net::CallResult& result) {
    if (!Counted(due)) return;
    latency_.Add(Micros(base::MonotonicNow() - due));
    if (!result.response.ok()) {
      ++outcomes_[ErrcName(result.response.error().code)];
      return;
    }
    const auto& response = result.response.value();
    const auto outcome = response.headers.Get("Mangospread-Outcome");
    ++outcomes_[outcome.empty() ? "status_" + std::to_string(response.status)
                                : std::string(outcome)];
  }

  base::EventLoop& loop_;
  LoadOptions options_;
  std::vector<std::shared_ptr<net::HttpClientPool>> pools_;
  net::Body body_;
  std::string key_prefix_;
  std::uint64_t next_key_ = 0;
  std::size_t next_pool_ = 0;
  int in_flight_ = 0;
  MonotonicTime start_time_{0};
  MonotonicTime counted_from_{0};
  MonotonicTime end_time_{0};
  MonotonicTime next_due_{0};
  /// Time at which a request slot became free after all were in use.
  MonotonicTime slot_free_{0};
  Histogram latency_;
  /// For each counted request, the part of the delay from its scheduled time to
  /// its sending that the generator itself caused.
  Histogram lateness_;
  std::map<std::string, std::uint64_t> outcomes_;
  base::Timer timer_;
};

}  // namespace

int RunLoad(const std::vector<std::string>& arguments) {
  if (!arguments.empty() && arguments[0] == "--help") {
    std::ostringstream help;
    help << DescribeOptions();
    std::fputs(help.str().c_str(), stdout);
    return kExitOk;
  }
  const auto options = ParseOptions(arguments);
  if (!options.ok()) {
    std::fprintf(stderr, "error: %s: %s\n",
                 options.error().error_code().message().c_str(),
                 options.error().subject.c_str());
    return kExitUsage;
  }
  base::EventLoop loop(base::TimerResolution::kMicrosecond);
  LoadGenerator generator(loop, options.value());
  generator.Start();
  loop.Run();
  std::puts(generator.Report().c_str());
  return kExitOk;
}

}  // namespace mangospread::cli
