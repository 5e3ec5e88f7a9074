/// @file
/// VMs as the platform lists them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread {

/// State of a VM in the platform's list.
enum class VmState : unsigned char { kLive, kLeaving };

/// Capacity of a worker.
struct WorkerCapacity {
  int slots = 8;         ///< Concurrent requests.
  int connections = 64;  ///< Open connections from all nodes together.
  Millicores cpu{32'000};
  Mebibytes memory{125'000};
  Accelerators accelerators{0};
};

/// A VM as listed by the platform.
struct VmInfo {
  VmName name;
  Address address;
  DataCenter data_center;
  RackName rack;
  std::string pool;  ///< Group of VMs; a service selects one pool.
  VmState state = VmState::kLive;
  WorkerCapacity capacity;
};

/// The platform's list of live and leaving VMs. It may lag behind the state of
/// the VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  /// Fetches the whole list.
  /// @errors kUnavailable, kTimeout, kMalformed.
  virtual void Fetch(std::function<void(Result<std::vector<VmInfo>>)> done) = 0;
};

}  // namespace mangospread
