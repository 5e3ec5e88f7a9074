#include "cli/explain_log.hpp"

#include <doctest/doctest.h>

#include <sstream>

namespace mangospread::cli {
namespace {

// Guards against output with lines of another submission, or with lines of
// several nodes in the wrong order.
TEST_CASE(
    "explain-log shows the lines of one submission in chronological order") {
  std::istringstream logs(
      "time=2026-12-04T08:30:01.250000+00:00 level=info node=b event=1804 "
      "name=run_decided request=aa task=aa.0.0.1 vm=w decision=placed\n"
      "3.2 x time=2026-12-04T08:30:01.000000+00:00 level=info node=a "
      "event=1801 name=submission_accepted request=aa queue=q\n"
      "time=2026-12-04T08:30:01.100000+00:00 level=info node=a event=1805 "
      "name=order_unanswered task=aa.0.0.1 run=1 vm=w\n"
      "time=2026-12-04T08:30:01.100000+00:00 level=info node=a event=1801 "
      "name=submission_accepted request=aab queue=q\n"
      "not a log line\n");
  CHECK(ExplainLog(logs, "aa") ==
        "+0 ms a name=submission_accepted request=aa queue=q\n"
        "+100 ms a name=order_unanswered task=aa.0.0.1 run=1 vm=w\n"
        "+250 ms b name=run_decided request=aa task=aa.0.0.1 vm=w "
        "decision=placed\n");
  std::istringstream unrelated_logs("time=x request=aa name=y\n");
  CHECK(ExplainLog(unrelated_logs, "zz").empty());
}

// Guards against a waiting task whose reason is logged but not shown for its
// submission.
TEST_CASE("explain-log shows why the tasks of a submission wait") {
  std::istringstream logs(
      "time=2026-12-06T08:30:05.000000+00:00 level=info node=a event=1826 "
      "name=task_waits request=aa task=aa.0.1.3 tasks=2 reason=no_room "
      "waited_ms=5100 workers=processors:40,headroom:7 beside=i-1\n");
  CHECK(ExplainLog(logs, "aa") ==
        "+0 ms a name=task_waits request=aa task=aa.0.1.3 tasks=2 "
        "reason=no_room waited_ms=5100 workers=processors:40,headroom:7 "
        "beside=i-1\n");
}

}  // namespace
}  // namespace mangospread::cli
