#include "base/loop/loop_stall.hpp"

#include <doctest/doctest.h>

#include <thread>

#include "unit/run_until.hpp"

namespace mangospread::base {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a stall that a scrape hides from the next one, and against
// one that is reported for ever.
TEST_CASE("a stall is reported for half a minute to a minute") {
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

// Guards against a blocked loop that the probe does not see.
TEST_CASE("a callback that blocks the loop is seen") {
  EventLoop loop;
  StallRecord record;
  const LoopStallProbe probe(loop, record);
  constexpr milliseconds kBlock{200};
  const Timer timer = loop.After(MonotonicTime(0),
                                 [&] { std::this_thread::sleep_for(kBlock); });
  test::RunUntil(loop, [&] {
    return record.Longest(MonotonicNow()) >= kBlock - kStallProbePeriod;
  });
}

}  // namespace
}  // namespace mangospread::base
