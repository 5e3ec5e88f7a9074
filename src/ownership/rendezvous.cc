#include "ownership/rendezvous.hpp"

#include <xxhash.h>

#include <cmath>
#include <string>

namespace mangospread::ownership {
namespace {

/// Weight of a candidate in the VM's own data centre; others have weight 1. The
/// preference is not absolute, since the only node in a data centre would then
/// own all VMs of that data centre.
constexpr double kSameDataCenterWeight = 4.0;

double Score(const VmName& vm, const DataCenter& data_center,
             const Candidate& candidate) {
  const std::string key = vm.str() + "\n" + candidate.node.str();
  const XXH64_hash_t hash = XXH64(key.data(), key.size(), 0);
  // Weighted rendezvous hashing: the score is -weight / ln(u), where u is the
  // hash as a uniform value in (0, 1).
  constexpr double kTwoTo53 = 9007199254740992.0;
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) / kTwoTo53;
  const double weight =
      candidate.data_center == data_center ? kSameDataCenterWeight : 1.0;
  return -weight / std::log(uniform);
}

}  // namespace

NodeId ProposeOwner(const VmName& vm, const DataCenter& data_center,
                    const std::vector<Candidate>& candidates) {
  NodeId best;
  double best_score = -1;
  for (const Candidate& candidate : candidates) {
    const double score = Score(vm, data_center, candidate);
    if (score > best_score || (score == best_score && candidate.node < best)) {
      best = candidate.node;
      best_score = score;
    }
  }
  return best;
}

}  // namespace mangospread::ownership
