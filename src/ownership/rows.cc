#include "ownership/rows.hpp"

#include <nlohmann/json.hpp>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::ownership {

std::string OwnershipRowKey(const VmName& vm) {
  return kOwnershipPrefix + vm.str();
}

std::string EncodeOwnership(const OwnershipRow& row) {
  return base::DumpJson(nlohmann::json{{"node", row.node.str()},
                                       {"incarnation", row.incarnation.value()},
                                       {"epoch", row.epoch.value()}});
}

Result<OwnershipRow> DecodeOwnership(const Row& row) {
  auto parsed = base::ParseJson(row.value, row.key);
  if (!parsed.ok()) return parsed.error();
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  base::ObjectReader reader(parsed.value(), row.key);
  reader.String("node", 64, node);
  reader.Integer("incarnation", 0, INT64_MAX, incarnation);
  reader.Integer("epoch", 0, INT64_MAX, epoch, base::Presence::kRequired);
  if (auto error = reader.Finish()) return *error;
  return OwnershipRow{NodeId(std::move(node)), Incarnation(incarnation),
                      Epoch(epoch)};
}

}  // namespace mangospread::ownership
