/// @file
/// The operator's requests that the workers of a data centre get no more work.
#pragma once

#include <map>

#include "mangospread/ids.hpp"

namespace mangospread::dispatch {

/// The data centres under evacuation, and the version of the row that requests
/// it. A request holds until its row is deleted.
using Evacuations = std::map<DataCenter, RowVersion>;

}  // namespace mangospread::dispatch
