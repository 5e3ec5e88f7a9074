#include "base/loop/loop_stall.hpp"

#include <doctest/doctest.h>

#include <thread>

#include "unit/run_until.hpp"

namespace mangospread::base {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a stall that is missing from the second of two metric scrapes,
// and against a stall that is reported forever.
TEST_CASE("a stall is reported for 30 to 60 seconds") {
  StallRecord record;
  record.Add(milliseconds(7), seconds(100));
  record.Add(milliseconds(2), seconds(110));
  CHECK(record.Longest(seconds(115)) == milliseconds(7));
  CHECK(record.Longest(seconds(129)) == milliseconds(7));
  record.Add(milliseconds(3), seconds(131));
  CHECK(record.Longest(seconds(159)) == milliseconds(7));
  CHECK(record.Longest(seconds(162)) == milliseconds(3));
  CHECK(record.Longest(seconds(300)) == MonotonicTime(0));
}

// Guards against a blocked loop that the probe does not detect.
TEST_CASE("a callback that blocks the loop is reported as a stall") {
  EventLoop loop;
  StallRecord record;
  const LoopStallProbe probe(loop, record);
  constexpr milliseconds kBlockTime{200};
  const Timer timer = loop.After(
      MonotonicTime(0), [&] { std::this_thread::sleep_for(kBlockTime); });
  test::RunUntil(loop, [&] {
    return record.Longest(MonotonicNow()) >= kBlockTime - kStallProbePeriod;
  });
}

}  // namespace
}  // namespace mangospread::base
