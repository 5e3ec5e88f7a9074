#include "config/store.hpp"

#include <doctest/doctest.h>

namespace mangospread::config {
namespace {

constexpr char kSpec[] = R"({"team":"t","pool":"p"})";

Change MakeChange(std::uint64_t revision, const std::string& name) {
  return {Revision(revision), {ResourceKind::kService, name}, false, kSpec};
}

// Guards against a delayed push that reverts a node to an older configuration.
TEST_CASE("revision of the store never decreases") {
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

// Guards against a watch or peer that misses changes removed from the log
// without an error.
TEST_CASE("changes older than the log are reported as unavailable") {
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
