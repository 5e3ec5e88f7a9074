#include <doctest/doctest.h>

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {
namespace {

constexpr int kVms = 30;
constexpr int kServices = 3;

ServiceName ServiceOf(std::uint64_t number) {
  return ServiceName("service-" + std::to_string(number % kServices));
}

std::vector<WorkerSlot> ScanFor(const WorkerRegistry& registry,
                                const ServiceName& service) {
  std::vector<WorkerSlot> slots;
  const auto& workers = registry.workers();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].slot_free || workers[i].info.service != service) continue;
    slots.push_back(static_cast<WorkerSlot>(i));
  }
  return slots;
}

// Guards against a worker that gets no task, or one of a service that it left,
// because the index by service differs from the registry.
TEST_CASE("the slots of a service are those that a scan of all workers finds") {
  std::mt19937_64 random(7);
  WorkerRegistry registry;
  for (int round = 0; round < 2'000; ++round) {
    const VmName vm("vm-" + std::to_string(random() % kVms));
    const WorkerSlot slot = registry.Find(vm);
    if (slot != kNoWorker && random() % 3 == 0) {
      registry.Erase(slot);
    } else {
      WorkerInfo info;
      info.vm = vm;
      info.service = ServiceOf(random());
      info.listed = random() % 4 != 0;
      registry.at(registry.Upsert(info)).attached = random() % 2 == 0;
    }
    for (std::uint64_t number = 0; number < kServices; ++number) {
      const ServiceName service = ServiceOf(number);
      const auto scanned = ScanFor(registry, service);
      REQUIRE(registry.SlotsOf(service) == scanned);
      std::size_t count = 0;
      for (const WorkerSlot found : scanned) {
        const WorkerState& worker = registry.at(found);
        if (worker.attached && !worker.info.leaving()) ++count;
      }
      REQUIRE(registry.CountOf(service) == count);
    }
  }
  CHECK(registry.SlotsOf(ServiceName("unknown")).empty());
}

}  // namespace
}  // namespace mangospread::dispatch
