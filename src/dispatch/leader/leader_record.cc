#include "dispatch/leader/leader_record.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::dispatch {
namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxCounter = INT64_MAX;
constexpr std::size_t kMaxNameBytes = 200;

}  // namespace

std::string EncodeLeader(const LeaderRecord& leader) {
  return base::DumpJson({{"node", leader.node.str()},
                         {"incarnation", leader.incarnation.value()},
                         {"ip", leader.address.ip},
                         {"port", leader.address.port},
                         {"epoch", leader.epoch.value()}});
}

Result<LeaderRecord> DecodeLeader(std::string_view value) {
  const auto json = base::ParseJson(value, "leader");
  if (!json.ok()) return json.error();
  base::ObjectReader reader(json.value(), "leader");
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  LeaderRecord leader;
  reader.String("node", kMaxNameBytes, node, base::Presence::kRequired);
  reader.Integer("incarnation", 0, kMaxCounter, incarnation,
                 base::Presence::kRequired);
  reader.String("ip", kMaxNameBytes, leader.address.ip,
                base::Presence::kRequired);
  reader.Integer("port", 0, kMaxPort, leader.address.port,
                 base::Presence::kRequired);
  reader.Integer("epoch", 1, kMaxCounter, epoch, base::Presence::kRequired);
  if (const auto error = reader.Finish()) return *error;
  leader.node = NodeId(std::move(node));
  leader.incarnation = Incarnation(incarnation);
  leader.epoch = Epoch(epoch);
  return leader;
}

}  // namespace mangospread::dispatch
