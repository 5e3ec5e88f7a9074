/// @file
/// Commands that change a resource in steps.
#pragma once

#include <string>

#include "cli/http_call.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::cli {

/// Revision of an accepted change.
/// @param body of a successful answer to PUT or DELETE.
/// @errors kMalformed.
[[nodiscard]] Result<Revision> AcceptedRevision(const std::string& body);

/// Waits until every live node has the revision, with a line of progress on
/// standard error for each change.
/// @errors kTimeout after a minute; the change stays accepted.
[[nodiscard]] Result<Done> WaitInForce(const Server& server, Revision revision);

/// Marks a job as cancelled. Tries again when another change came between.
/// @errors kNotFound, kConflict, kForbidden, those of Call.
[[nodiscard]] Result<Revision> CancelJob(const Server& server,
                                         const std::string& job);

/// Adds a VM to the list of drained ones in a policy, or takes it out. The
/// policy is created when it is absent.
/// @errors as for CancelJob.
[[nodiscard]] Result<Revision> SetDrained(const Server& server,
                                          const std::string& policy,
                                          const std::string& vm, bool drained);

}  // namespace mangospread::cli
