// Entry point of the integration tests. Records whether a check failed, so that
// the logs of the child processes are kept.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "integration/harness/failure.hpp"

namespace mangospread::testing {
namespace {

bool check_failed = false;

struct FailureListener : doctest::IReporter {
  explicit FailureListener(const doctest::ContextOptions& /*options*/) {}
  void report_query(const doctest::QueryData& /*data*/) override {}
  void test_run_start() override {}
  void test_run_end(const doctest::TestRunStats& /*stats*/) override {}
  void test_case_start(const doctest::TestCaseData& /*data*/) override {}
  void test_case_reenter(const doctest::TestCaseData& /*data*/) override {}
  void test_case_end(const doctest::CurrentTestCaseStats& /*s*/) override {}
  void test_case_exception(const doctest::TestCaseException& /*e*/) override {
    check_failed = true;
  }
  void subcase_start(const doctest::SubcaseSignature& /*s*/) override {}
  void subcase_end() override {}
  void log_assert(const doctest::AssertData& data) override {
    if (data.m_failed) check_failed = true;
  }
  void log_message(const doctest::MessageData& data) override {
    if (data.m_severity != doctest::assertType::is_warn) check_failed = true;
  }
  void test_case_skipped(const doctest::TestCaseData& /*data*/) override {}
};

}  // namespace

bool AnyCheckFailed() { return check_failed; }

}  // namespace mangospread::testing

DOCTEST_REGISTER_LISTENER("failure", 1, mangospread::testing::FailureListener);
