#include "dispatch/leader/agents_row.hpp"

#include <charconv>
#include <cstdint>
#include <utility>

#include "dispatch/leader/lines.hpp"

namespace mangospread::dispatch {
namespace {

using detail::TakeLine;

/// Epoch in the first line of a row with more than agents.
constexpr const char* kNoEpoch = "0";
/// Begin the lines of a former leader whose agents may all follow it, of one
/// that has lost an agent, and of an agent that has been elected.
constexpr char kUndivided = 'u';
constexpr char kDivided = 'd';
constexpr char kElected = 'e';
/// Follow the incarnation of a former leader.
constexpr char kUnmarked = ' ';
constexpr char kMarked = '=';

/// Removes a number from the front of `line`.
std::optional<std::uint64_t> TakeNumber(std::string_view& line) {
  std::uint64_t number = 0;
  const char* const last = line.data() + line.size();
  const auto [end, error] = std::from_chars(line.data(), last, number);
  if (error != std::errc()) return std::nullopt;
  line.remove_prefix(static_cast<std::size_t>(end - line.data()));
  return number;
}

/// A line that holds nothing but a number.
std::optional<std::uint64_t> TakeNumberLine(std::string_view& text) {
  const std::string_view line = TakeLine(text);
  std::string_view rest = line;
  const auto number = TakeNumber(rest);
  const bool whole = number && std::to_string(*number) == line;
  return whole ? number : std::nullopt;
}

/// Adds the leader of "u<incarnation> <node>" or "d<incarnation> <node>", with
/// "=" in place of the space if it is marked.
/// @return false for a malformed line.
bool AddFormerLeader(std::string_view line, AgentsRow& row) {
  if (line.empty() || (line[0] != kUndivided && line[0] != kDivided)) {
    return false;
  }
  FormerLeader leader;
  leader.undivided = line[0] == kUndivided;
  line.remove_prefix(1);
  const auto incarnation = TakeNumber(line);
  if (!incarnation || line.size() < 2) return false;
  const bool marked = line[0] == kMarked;
  if (!marked && line[0] != kUnmarked) return false;
  leader.incarnation = Incarnation(*incarnation);
  leader.node = NodeId(std::string(line.substr(1)));
  if (marked) {
    (leader.undivided ? row.agents_of : row.newly_divided).insert(leader.node);
  }
  row.former_leaders.push_back(std::move(leader));
  return true;
}

}  // namespace

std::string EncodeAgentsRow(const AgentsRow& row) {
  const std::string epoch = std::to_string(row.epoch.value()) + "\n";
  const bool only_agents = row.former_leaders.empty() && row.elected.empty();
  std::string text = only_agents ? epoch : std::string(kNoEpoch) + "\n";
  for (const NodeId& agent : row.agents) text += agent.str() + "\n";
  if (only_agents) return text;
  text += "\n" + epoch;
  for (const NodeId& agent : row.elected) text += kElected + agent.str() + "\n";
  for (const FormerLeader& leader : row.former_leaders) {
    text += leader.undivided ? kUndivided : kDivided;
    const auto& marks = leader.undivided ? row.agents_of : row.newly_divided;
    text += std::to_string(leader.incarnation.value());
    text += marks.contains(leader.node) ? kMarked : kUnmarked;
    text += leader.node.str() + "\n";
  }
  return text;
}

std::optional<AgentsRow> DecodeAgentsRow(std::string_view text) {
  const auto first = TakeNumberLine(text);
  if (!first) return std::nullopt;
  AgentsRow row{Epoch(*first), {}, {}, {}, {}, {}};
  while (!text.empty()) {
    const std::string_view agent = TakeLine(text);
    if (agent.empty()) break;
    row.agents.emplace(std::string(agent));
  }
  if (text.empty()) return row;
  const auto epoch = TakeNumberLine(text);
  if (!epoch) return std::nullopt;
  row.epoch = Epoch(*epoch);
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    if (line.size() > 1 && line[0] == kElected) {
      row.elected.emplace(std::string(line.substr(1)));
      continue;
    }
    if (!AddFormerLeader(line, row)) return std::nullopt;
  }
  return row;
}

std::optional<AgentsRow> ClaimAgentsRow(const AgentsRow& stored,
                                        const FormerLeader& former,
                                        const LeaderRecord& claim) {
  if (stored.epoch.next() != claim.epoch) return std::nullopt;
  AgentsRow row = stored;
  row.epoch = claim.epoch;
  row.newly_divided.clear();
  // Its earlier processes had ended before this one was elected.
  std::erase_if(row.former_leaders, [&](const FormerLeader& earlier) {
    return earlier.node == former.node;
  });
  row.former_leaders.push_back(former);
  row.agents_of.insert(former.node);
  if (row.agents.erase(claim.node) == 0) return row;
  row.elected.insert(claim.node);
  row.newly_divided = std::exchange(row.agents_of, {});
  for (FormerLeader& leader : row.former_leaders) {
    if (row.newly_divided.contains(leader.node)) leader.undivided = false;
  }
  return row;
}

}  // namespace mangospread::dispatch
