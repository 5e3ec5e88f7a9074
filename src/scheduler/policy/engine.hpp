/// @file
/// Factory of the decision engine.
#pragma once

#include <cstdint>
#include <memory>

#include "scheduler/types.hpp"

namespace mangospread::scheduler {

/// Creates a decision engine. Engines created with the same seed return the
/// same decisions for the same sequence of calls.
///
/// @code
/// auto engine = MakeEngine(*policy::PresetWeights("latency-first"), 1);
/// engine->UpdateWorker(worker);
/// engine->Enqueue(task, now);
/// for (const Decision& decision : engine->Decide(now, 100)) Execute(decision);
/// @endcode
[[nodiscard]] std::unique_ptr<DecisionEngine> MakeEngine(const Weights& weights,
                                                         std::uint64_t seed);

}  // namespace mangospread::scheduler
