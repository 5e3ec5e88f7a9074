// Guards against an evacuation that a node misses, or that it keeps after it
// was taken back while the node read no changes.
#include "platform/operator_requests.hpp"

#include <doctest/doctest.h>

namespace mangospread::platform {
namespace {

const DataCenter kNorth("north");

ChangedRow Requested(const char* key, std::uint64_t version) {
  return {key, "{}", RowVersion(version)};
}

TEST_CASE("an evacuation holds from its row until the row is deleted") {
  dispatch::Evacuations evacuations;
  CHECK(UpdateEvacuations({Requested("evacuate/north", 5)}, evacuations));
  REQUIRE(evacuations.contains(kNorth));
  CHECK(evacuations.at(kNorth) == RowVersion(5));
  CHECK_FALSE(UpdateEvacuations({Requested("evacuate/north", 5)}, evacuations));
  CHECK_FALSE(UpdateEvacuations({Requested("config", 6)}, evacuations));
  CHECK(UpdateEvacuations({{"evacuate/north", std::nullopt, RowVersion(7)}},
                          evacuations));
  CHECK(evacuations.empty());
}

TEST_CASE("a row whose value cannot be read counts") {
  dispatch::Evacuations evacuations;
  CHECK(UpdateEvacuations({{"evacuate/north", "\xff", RowVersion(5)}},
                          evacuations));
  CHECK(evacuations.contains(kNorth));
  CHECK_FALSE(UpdateEvacuations({Requested("evacuate/", 6)}, evacuations));
}

TEST_CASE("reading all rows again replaces the evacuations") {
  dispatch::Evacuations evacuations = {{kNorth, RowVersion(5)}};
  CHECK_FALSE(
      ReplaceEvacuations({Requested("evacuate/north", 5)}, evacuations));
  CHECK(ReplaceEvacuations({Requested("evacuate/south", 8)}, evacuations));
  CHECK_FALSE(evacuations.contains(kNorth));
  CHECK(evacuations.contains(DataCenter("south")));
}

}  // namespace
}  // namespace mangospread::platform
