// The check that work does not wait beside free workers.
#include "cli/check_waits.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

#include "cli/commands.hpp"

namespace mangospread::cli {
namespace {

/// One line of event 1826, as a leader writes it.
struct Line {
  double second = 0;
  std::string node = "a";
  std::string request = "aa";
  std::string reason = "no_room";
  int running = 0;
  int idle_ms = 0;  ///< Negative: no step is ready.
  double reserved = 0.2;
  int fits = 5;

  [[nodiscard]] std::string Text() const {
    std::ostringstream text;
    text << "time=2026-12-06T08:30:" << std::setw(9) << std::setfill('0')
         << std::fixed << std::setprecision(6) << second
         << "+00:00 level=info node=" << node
         << " event=1826 name=task_waits request=" << request
         << " task=" << request << ".0.0.0 tasks=1 reason=" << reason
         << " running=" << running
         << " paused=0 idle_ms=" << (idle_ms < 0 ? "" : std::to_string(idle_ms))
         << " reserved=" << reserved << " fits=" << fits
         << " confirmed=1 cause=idle left_out=0\n";
    return text.str();
  }
};

/// Lines of a submission that is idle, 0.8 s apart, the first one after 1.2 s.
std::string Idle(double from, double until, const Line& like = {}) {
  std::string text;
  for (double second = from + 1.2; second <= until; second += 0.8) {
    Line line = like;
    line.second = second;
    line.idle_ms = static_cast<int>(std::lround((second - from) * 1'000));
    text += line.Text();
  }
  return text;
}

WaitCheck Check(const std::string& text) {
  std::istringstream lines(text);
  return CheckWaits(lines);
}

// Guards against a check that finds nothing.
TEST_CASE("check-waits lists a submission that starves beside free workers") {
  Line other;
  other.request = "bb";
  other.reason = "not_tried";
  const WaitCheck check =
      Check(Idle(10, 14.5) + Idle(11, 30, other) + "not a log line\n");
  REQUIRE(check.spans.size() == 2);
  CHECK(check.spans[0].submission == "aa");
  CHECK(check.spans[0].duration_ms() == doctest::Approx(4'400));
  CHECK(check.spans[0].reasons == std::map<std::string, int>{{"no_room", 5}});
  CHECK(check.spans[1].submission == "bb");
  CHECK(check.spans[1].reasons.contains("not_tried"));
  CHECK(FormatWaitCheck(check).find(
            "bb idle_s=18.8 until=2026-12-06T08:30:29.800000+00:00 "
            "reasons=not_tried:23 fits=5 reserved=0.20") != std::string::npos);
}

// Guards against a check that lists submissions that are not idle for 3 s, or
// that nothing is promised to.
TEST_CASE("check-waits lists nothing else") {
  CHECK(Check("").spans.empty());
  // Idle for 2.9 s, several times.
  CHECK(Check(Idle(0, 2.9) + Idle(4.5, 7.4) + Idle(10, 12.9)).spans.empty());
  Line full;
  full.reserved = 0.5;
  CHECK(Check(Idle(0, 50, full)).spans.empty());
  Line large;
  large.fits = 1;
  CHECK(Check(Idle(0, 50, large)).spans.empty());
  large.second = 12.4;
  large.idle_ms = 2'400;
  CHECK(Check(Idle(10, 12.3) + large.Text() +
              Idle(10, 14.6).substr(Idle(10, 12.9).size()))
            .spans.empty());
  Line not_ready;
  not_ready.reason = "due_later";
  CHECK(Check(Idle(0, 50, not_ready)).spans.empty());
  Line lost;
  lost.reason = "worker_silent";
  CHECK(Check(Idle(0, 50, lost)).spans.empty());
  Line beside;
  beside.running = 1;
  CHECK(Check(Idle(0, 50, beside)).spans.empty());
  // It runs in between.
  Line runs = beside;
  runs.second = 12.4;
  runs.idle_ms = -1;
  CHECK(Check(Idle(10, 12.3) + runs.Text() + Idle(12.5, 14.6)).spans.empty());
}

// Guards against two waits that count as one since a run between them was
// shorter than the time between two lines.
TEST_CASE("check-waits notices a run between two lines") {
  const std::string before = Idle(10, 12.3);  // The last line is at 12.0.
  CHECK(Check(before + Idle(12.2, 14.9)).spans.empty());
  CHECK(Check(before + Idle(11.9, 14.9)).spans.size() == 1);
}

// Guards against a wait that counts from before there was room: only the time
// since the first line is known to be without a reason.
TEST_CASE("check-waits counts from the time at which the tasks fit") {
  Line line;
  std::string text;
  for (int i = 0; i < 4; ++i) {
    line.second = 20 + 0.8 * i;
    line.idle_ms = 20'000 + 800 * i;
    text += line.Text();
  }
  CHECK(Check(text).spans.empty());
  line.second = 23.2;
  line.idle_ms = 23'200;
  REQUIRE(Check(text + line.Text()).spans.size() == 1);
}

// Guards against a wait that seems to end with its leader, and against one that
// seems to go on although nobody has seen it.
TEST_CASE("check-waits follows a submission over a takeover") {
  const std::string before = Idle(10, 12.5);  // The last line is at 12.0.
  // The next leader was elected at 13.5 and knows at 17 what runs.
  Line next;
  next.node = "b";
  Line takeover = next;
  takeover.reason = "takeover";
  takeover.second = 16.5;
  takeover.idle_ms = 3'000;
  takeover.reserved = 1;
  next.second = 17;
  next.idle_ms = 3'500;
  const WaitCheck check =
      Check(next.Text() + takeover.Text() + before);  // In any order.
  REQUIRE(check.spans.size() == 1);
  CHECK(check.spans[0].duration_ms() == doctest::Approx(7'000));
  CHECK(check.spans[0].nodes == std::set<std::string>{"a", "b"});
  // Nobody led from 12 to 14.5 s.
  next.idle_ms = 2'500;
  CHECK(Check(before + next.Text()).spans.empty());
  // One that is known to have run meanwhile.
  Line runs = next;
  runs.second = 16.8;
  runs.running = 1;
  next.idle_ms = 3'500;
  CHECK(Check(before + runs.Text() + next.Text()).spans.empty());
}

// Guards against logs that pass since they do not say what is judged.
TEST_CASE("check-waits fails for lines that it cannot judge") {
  const std::string former =
      "time=2026-12-06T08:30:01.000000+00:00 level=info node=a event=1826 "
      "name=task_waits request=aa task=aa.0.0.0 tasks=1 reason=no_room "
      "waited_ms=5100 workers=headroom:3\n";
  CHECK(Check(former).unknown == 1);
  const std::string path = "check_waits_test.log";
  const auto status = [&](const std::string& text) {
    std::ofstream(path) << text;
    return RunCheckWaits({path});
  };
  CHECK(status(former) == kExitFailure);
  CHECK(status(Idle(10, 20)) == kExitFailure);
  CHECK(status(Idle(10, 12)) == kExitOk);
  std::remove(path.c_str());
  CHECK(RunCheckWaits({path}) == kExitUsage);
}

// Guards against lines that the leaders left out, of which the result does not
// tell.
TEST_CASE("check-waits counts what the leaders left out once for a check") {
  std::string text = Idle(10, 12);
  text.replace(text.find("left_out=0"), 10, "left_out=7");
  Line same;
  same.request = "bb";
  same.second = 11.201;
  std::string line = same.Text();
  line.replace(line.find("left_out=0"), 10, "left_out=7");
  CHECK(Check(text + line).left_out == 7);
}

}  // namespace
}  // namespace mangospread::cli
