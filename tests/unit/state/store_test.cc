#include "config/store.hpp"

#include <doctest/doctest.h>

namespace mangospread::config {
namespace {

constexpr char kSpec[] = R"({"team":"t","pool":"p"})";

Change MakeChange(std::uint64_t revision, const std::string& name) {
  return {Revision(revision), {ResourceKind::kService, name}, false, kSpec};
}

// Guards against a late push that takes a node back to older configuration.
TEST_CASE("store never moves back") {
  Store store;
  CHECK(store.Install(MakeChange(1, "a")) == InstallResult::kGap);
  REQUIRE(store.InstallSnapshot(Revision(4), {}) == InstallResult::kInstalled);
  CHECK(store.Install(MakeChange(4, "a")) == InstallResult::kStale);
  CHECK(store.Install(MakeChange(6, "a")) == InstallResult::kGap);
  CHECK(store.Install(MakeChange(5, "a")) == InstallResult::kInstalled);
  CHECK(store.InstallSnapshot(Revision(5), {}) == InstallResult::kStale);
  CHECK(store.FindService(ServiceName("a")) != nullptr);
  CHECK(store.revision() == Revision(5));
}

// Guards against a watch or peer that silently misses trimmed changes.
TEST_CASE("changes before the log are reported as unknown") {
  Store store(2);
  store.InstallSnapshot(Revision(), {});
  for (std::uint64_t r = 1; r <= 4; ++r) {
    REQUIRE(store.Install(MakeChange(r, "a")) == InstallResult::kInstalled);
  }
  CHECK_FALSE(store.Since(Revision(1)).has_value());
  REQUIRE(store.Since(Revision(2)).has_value());
  CHECK(store.Since(Revision(2))->size() == 2);
  CHECK(store.Since(Revision(4))->empty());
}

}  // namespace
}  // namespace mangospread::config
