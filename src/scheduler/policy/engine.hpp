/// @file
/// The scheduler's decisions.
#pragma once

#include <cstdint>
#include <memory>

#include "scheduler/types.hpp"

namespace mangospread::scheduler {

/// Creates the engine. With equal calls and an equal seed it decides equally.
///
/// @code
/// auto engine = MakeEngine(*policy::PresetWeights("latency-first"), 1);
/// engine->UpdateWorker(worker);
/// engine->Enqueue(task, now);
/// for (const Decision& decision : engine->Decide(now, 100)) Carry(decision);
/// @endcode
[[nodiscard]] std::unique_ptr<DecisionEngine> MakeEngine(const Weights& weights,
                                                         std::uint64_t seed);

}  // namespace mangospread::scheduler
