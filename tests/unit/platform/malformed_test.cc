// Malformed and unexpected input for the decoders of the managed nodes: deep
// nesting, numbers out of range and unusable addresses.
#include <doctest/doctest.h>

#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/json/json_reader.hpp"
#include "dispatch/leader/interference_row.hpp"
#include "dispatch/leader/job_rows.hpp"
#include "dispatch/leader/leadership.hpp"
#include "platform/base64.hpp"
#include "platform/codec.hpp"
#include "platform/worker_link.hpp"

namespace mangospread::platform {
namespace {

using dispatch::SubmissionId;

const SubmissionId kId("5c0e7a21d94b36f8");

std::string Repeat(const std::string& text, std::size_t count) {
  std::string result;
  result.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) result += text;
  return result;
}

/// Replaces every '#' in a text.
std::string Fill(const std::string& text, const std::string& number) {
  std::string filled;
  for (const char c : text) {
    if (c == '#') {
      filled += number;
    } else {
      filled += c;
    }
  }
  return filled;
}

/// A worker's entry with one member replaced or added.
std::string WorkerEntry(const std::string& address, const std::string& cpu,
                        const std::string& more = "") {
  return R"({"service":"s","addr":")" + address +
         R"(","zone":"z","state":"ready","capacity":{"cpu":)" + cpu +
         R"(,"mem-mb":32768},"labels":["a","r1"])" + more + "}";
}

std::string Step(const std::string& fields) {
  return R"({"spec":"x","steps":[{"count":1},{)" + fields + "}]}";
}

struct Decoder {
  const char* name;
  std::function<bool(const std::string&)> accepts;
};

/// Every decoder of JSON that the managed nodes use.
std::vector<Decoder> JsonDecoders() {
  return {
      {"worker",
       [](const std::string& text) { return DecodeWorker("w", text).ok(); }},
      {"catalog",
       [](const std::string& text) { return DecodeCatalog(text).ok(); }},
      {"submission",
       [](const std::string& text) {
         return DecodeSubmission(kId, text).ok();
       }},
      {"renewal",
       [](const std::string& text) { return DecodeRenewReply(text).ok(); }},
      {"command",
       [](const std::string& text) {
         return DecodeCommandReply(409, text) !=
                dispatch::CommandOutcome::kInvalid;
       }},
      {"job",
       [](const std::string& text) {
         return dispatch::DecodeJobRow(text).ok();
       }},
      {"progress",
       [](const std::string& text) {
         return dispatch::DecodeProgressRow(text).ok();
       }},
      {"interference",
       [](const std::string& text) {
         return dispatch::DecodeInterference(text).ok();
       }},
      {"leader", [](const std::string& text) {
         return dispatch::DecodeLeader(text).ok();
       }}};
}

// Guards against an entry whose nesting exhausts the stack of the process that
// decodes, copies or writes it.
TEST_CASE("deeply nested documents are rejected") {
  for (const std::size_t depth : {100U, 60'000U, 1'000'000U}) {
    const std::string arrays = Repeat("[", depth) + Repeat("]", depth);
    const std::string objects =
        Repeat(R"({"a":)", depth) + "1" + Repeat("}", depth);
    for (const std::string& nested :
         {arrays, objects, Repeat("[", depth), Repeat(R"({"a":[)", depth)}) {
      CAPTURE(depth);
      CAPTURE(nested.substr(0, 8));
      CHECK_FALSE(base::ParseJson(nested, "nested").ok());
      CHECK_FALSE(DecodeWorker("w", WorkerEntry("10.0.0.1:80", "1000",
                                                R"(,"x":)" + nested))
                      .ok());
      CHECK_FALSE(
          DecodeRenewReply(R"({"clock-ms":1,"x":)" + nested + "}").ok());
      CHECK_FALSE(DecodeCatalog(R"({"version":1,"x":)" + nested + "}").ok());
      CHECK_FALSE(DecodeSubmission(kId, Step(R"("x":)" + nested)).ok());
      CHECK(DecodeCommandReply(409, R"({"reason":"old","x":)" + nested + "}") ==
            dispatch::CommandOutcome::kInvalid);
      for (const Decoder& decoder : JsonDecoders()) {
        CAPTURE(std::string(decoder.name));
        CHECK_FALSE(decoder.accepts(nested));
      }
    }
  }
}

// Guards against a depth limit that counts brackets inside of texts, or that is
// too low for the documents of users.
TEST_CASE("brackets in texts do not count as nesting") {
  const std::string brackets = Repeat("[{", 1'000) + R"(\"\\)";
  CHECK(base::ParseJson("\"" + brackets + "\"", "text").ok());
  CHECK(base::ParseJson(R"(["\\",[],"[\"]"])", "text").ok());
  CHECK(base::ParseJson(Repeat("[", 20) + Repeat("]", 20), "nested").ok());
  CHECK(base::ParseJson("[" + Repeat("[],", 1'000) + "{}]", "wide").ok());
}

// Guards against an entry of another writer that is taken for a worker although
// no worker can have such an address or capacity.
TEST_CASE("workers with unusable numbers are rejected") {
  CHECK(DecodeWorker("w", WorkerEntry("10.0.0.1:80", "1000")).ok());
  CHECK(DecodeWorker("w", WorkerEntry("10.0.0.1:80", "1000.5")).ok());
  for (const char* address :
       {"10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:65536", "10.0.0.1:-1",
        "10.0.0.1:", "10.0.0.1", ":80", "localhost:80", "10.0.0:80",
        "300.0.0.1:80", "[::1]:80", "10.0.0.1:80 ", "10.0.0.1:+80",
        "10.0.0.1:1e3", R"(10.0.0.1\u0000x:80)", "10.0.0.1:80\\u0000"}) {
    CAPTURE(std::string(address));
    CHECK_FALSE(DecodeWorker("w", WorkerEntry(address, "1000")).ok());
  }
  for (const char* cpu : {"-1", "1e18", "1e30", "-1e30", "1e400", "1e308",
                          "18446744073709551616", "9223372036854775807",
                          "-9223372036854775808", "NaN", "\"1000\"", "null"}) {
    CAPTURE(std::string(cpu));
    CHECK_FALSE(DecodeWorker("w", WorkerEntry("10.0.0.1:80", cpu)).ok());
  }
  // Names that cannot be sent in a header or stored as one line.
  for (const char* id : {"", "a\nb", "a\r\nX: y", "\x01", "a\tb", "a\x7f"}) {
    CAPTURE(std::string(id));
    CHECK_FALSE(DecodeWorker(id, WorkerEntry("10.0.0.1:80", "1000")).ok());
  }
  CHECK(DecodeWorker("\xc3\xa4 b", WorkerEntry("10.0.0.1:80", "1000")).ok());
  CHECK_FALSE(DecodeWorker("w", R"({"service":"s","addr":"10.0.0.1:80",)"
                                R"("zone":"z","state":"ready","capacity":)"
                                R"({"cpu":1,"mem-mb":1,"gpu":-4}})")
                  .ok());
}

// Guards against requests that wrap around and then fit on every worker, and
// against undefined conversions.
TEST_CASE("submissions with requests out of range are rejected") {
  for (const char* field : {"cpu", "mem-mb", "gpu"}) {
    for (const char* value : {"-1", "1e18", "1e30", "18446744073709551615"}) {
      CAPTURE(std::string(field));
      CAPTURE(std::string(value));
      CHECK_FALSE(
          DecodeSubmission(kId, Step("\"" + std::string(field) + "\":" + value))
              .ok());
    }
  }
  for (const char* after : {"[-1]", "[4294967296]", "[18446744073709551615]",
                            "[1e30]", "[0.0]", "[-4294967296]", "{}"}) {
    CAPTURE(std::string(after));
    CHECK_FALSE(
        DecodeSubmission(kId, Step(R"("after":)" + std::string(after))).ok());
  }
  for (const char* count : {"-1", "1e30", "18446744073709551615", "4294967297",
                            "1.5", "\"2\"", "null"}) {
    CAPTURE(std::string(count));
    const auto result =
        DecodeSubmission(kId, Step(R"("count":)" + std::string(count)));
    if (result.ok()) CHECK(result.value().steps[1].count == 1);
  }
}

// Guards against times whose arithmetic overflows: a far due time that counts
// as past, or an estimate that counts as negative.
TEST_CASE("times of a submission are bounded") {
  for (const char* value : {"1e18", "1e30", "9223372036854775807",
                            "18446744073709551615", "-1e30", "-5"}) {
    CAPTURE(std::string(value));
    const std::string number(value);
    const auto step = DecodeSubmission(
        kId, Step(Fill(R"("estimate-ms":#,"target-ms":#,"anti-affinity":#,)"
                       R"("max-unavailable":#)",
                       number)));
    if (step.ok()) {
      const auto& spec = step.value().steps[1];
      CHECK(spec.estimate >= Milliseconds(0));
      CHECK(spec.estimate <= std::chrono::hours(24 * 365));
      CHECK(spec.latency_target >= Milliseconds(0));
      CHECK(spec.latency_target <= std::chrono::hours(24 * 365));
      CHECK(spec.max_per_worker >= 0);
      CHECK(spec.max_unavailable >= 0);
    }
    for (const char* field : {"start-at-ms", "interval-ms"}) {
      CAPTURE(std::string(field));
      const auto timed =
          DecodeSubmission(kId, R"({"steps":[{}],"times":200,")" +
                                    std::string(field) + "\":" + number + "}");
      if (!timed.ok()) continue;
      const auto& submission = timed.value();
      CHECK(submission.first_due >= Milliseconds(0));
      CHECK(submission.interval >= Milliseconds(0));
      const auto last =
          submission.first_due + submission.interval * submission.occurrences;
      CHECK(last <
            std::chrono::duration_cast<Milliseconds>(MonotonicTime::max()));
    }
  }
  const auto usual = DecodeSubmission(
      kId, R"({"steps":[{}],"times":3,"start-at-ms":1796446800000,)"
           R"("interval-ms":60000})");
  REQUIRE(usual.ok());
  CHECK(usual.value().first_due == Milliseconds(1'796'446'800'000));
}

// Guards against a configuration whose numbers are converted to arbitrary ones.
TEST_CASE("numbers of a route are bounded") {
  for (const char* value : {"1e18", "1e30", "1e308", "-1e30", "4294967296",
                            "18446744073709551615", "-5"}) {
    CAPTURE(std::string(value));
    const std::string number(value);
    const auto catalog = DecodeCatalog(
        Fill(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
             R"("service":"s","priority":#,"attempts":#,"stretch":#,)"
             R"("target-latency-ms":#}]})",
             number));
    REQUIRE(catalog.ok());
    REQUIRE(catalog.value().routes.size() == 1);
    const auto& policy = catalog.value().routes[0].policy;
    CHECK(policy.priority >= 0);
    CHECK(policy.attempts >= 1);
    CHECK(policy.stretch >= 0);
    CHECK(policy.stretch <= 1e6);
    CHECK(policy.latency_target >= Milliseconds(0));
    CHECK(policy.latency_target <= std::chrono::hours(24 * 365));
    const bool large = number[0] != '-';
    CHECK((policy.attempts > 1'000) == large);
  }
}

// Guards against a lease end that wraps around, a run number that is cut off
// and measurements that make the interference model useless.
TEST_CASE("numbers of a renewal reply are bounded") {
  const auto running = [](const std::string& row) {
    return DecodeRenewReply(R"({"clock-ms":1,"running":[)" + row + "]}");
  };
  for (const char* clock :
       {"-1", "1e30", "1.5", "\"1\"", "null", "18446744073709551615",
        "9223372036854775807", "18446744073709551616"}) {
    CAPTURE(std::string(clock));
    CHECK_FALSE(
        DecodeRenewReply(R"({"clock-ms":)" + std::string(clock) + "}").ok());
  }
  for (const char* run : {"-1", "4294967296", "18446744073709551615", "1e3"}) {
    CAPTURE(std::string(run));
    CHECK_FALSE(running(R"(["t",)" + std::string(run) + R"(,"",1])").ok());
    CHECK_FALSE(DecodeRenewReply(R"({"clock-ms":1,"ended":[[1,"t",)" +
                                 std::string(run) + R"(,"done",""]]})")
                    .ok());
  }
  for (const char* value : {"1e30", "-1e30", "1e308", "-1e308", "1e18", "-5",
                            "4294967296", "18446744073709551615"}) {
    CAPTURE(std::string(value));
    const auto renewal = running(R"(["t",1,"",)" + std::string(value) + "," +
                                 std::string(value) + "]");
    REQUIRE(renewal.ok());
    const auto& run = renewal.value().running.at(0);
    CHECK(run.percent >= 0);
    CHECK(run.percent <= 100);
    CHECK(run.measured >= 0);
    CHECK(run.measured <= 1e9);
  }
}

// Guards against stored rows whose numbers are cut off to arbitrary ones.
TEST_CASE("numbers of stored rows are bounded") {
  const auto job = [](const std::string& fields) {
    return dispatch::DecodeJobRow(
        R"({"queue":"q","service":"s","payload":"{}",)" + fields + "}");
  };
  CHECK(job(R"("attempts":3,"target_ms":1000)").ok());
  CHECK_FALSE(job(R"("attempts":4294967296)").ok());
  CHECK_FALSE(job(R"("priority":4294967296)").ok());
  CHECK_FALSE(job(R"("target_ms":9223372036854775807)").ok());
  CHECK_FALSE(job(R"("stretch":1e400)").ok());
  const auto progress = [](const std::string& task) {
    return dispatch::DecodeProgressRow(
        R"({"queue":"q","state":"running","tasks":[)" + task + "]}");
  };
  CHECK(progress(R"([0,0,false,1,[],""])").ok());
  for (const char* task :
       {R"([4294967296,0,true,1,[],""])", R"([0,4294967296,true,1,[],""])",
        R"([-1,0,true,1,[],""])", R"([0,0,true,4294967296,[],""])",
        R"([0,0,true,1,[4294967296],""])",
        R"([0,0,true,1,[],"",[[4294967296,1,true]]])"}) {
    CAPTURE(std::string(task));
    CHECK_FALSE(progress(task).ok());
  }
  CHECK(dispatch::DecodeInterference(R"([["i",1,0.5,0.1,[["b",0.1,0.1]]]])")
            .ok());
  // A variance that rounding errors have made negative.
  CHECK(dispatch::DecodeInterference(R"([["i",1,0.5,0,[["b",0.1,-1e-6]]]])")
            .ok());
  for (const char* row :
       {R"([["i",-1,0.5,0.1,[]]])", R"([["i",1,0.5,-0.1,[]]])",
        R"([["i",1e300,0.5,0.1,[]]])", R"([["i",1,1e300,0.1,[]]])",
        R"([["i",1,0.5,0.1,[["b",1e300,0.1]]]])",
        R"([["i",1,0.5,0.1,[["b",0.1,-2]]]])"}) {
    CAPTURE(std::string(row));
    CHECK_FALSE(dispatch::DecodeInterference(row).ok());
  }
}

// Guards against reads beyond the end of a value whose length is not a multiple
// of a group; an address sanitizer finds them.
TEST_CASE("base64 does not read beyond its input") {
  for (std::size_t size = 0; size < 9; ++size) {
    const std::vector<char> bytes(size, 'x');
    const std::string encoded = EncodeBase64({bytes.data(), bytes.size()});
    const std::vector<char> text(encoded.begin(), encoded.end());
    const auto decoded = DecodeBase64({text.data(), text.size()});
    REQUIRE(decoded.ok());
    CHECK(decoded.value() == std::string(bytes.begin(), bytes.end()));
    const std::vector<char> cut(text.begin(),
                                text.end() - (text.empty() ? 0 : 1));
    (void)DecodeBase64({cut.data(), cut.size()}).ok();
  }
  for (const char* text : {"=", "====", "A", "AA", "AAA", "A===", "A=AA",
                           "AA AA", "\xff\xff\xff\xff", "\xc3\xa4\xc3\xa4"}) {
    CAPTURE(std::string(text));
    (void)DecodeBase64(text).ok();
  }
}

}  // namespace
}  // namespace mangospread::platform
