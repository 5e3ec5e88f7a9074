/// @file
/// Commands that change a resource in several requests.
#pragma once

#include <string>

#include "cli/http_call.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::cli {

/// Revision of an accepted change.
/// @param body body of a successful response to PUT or DELETE.
/// @errors kMalformed if the body has no version.
[[nodiscard]] Result<Revision> AcceptedRevision(const std::string& body);

/// Waits until every live node has applied the revision. Prints the revisions
/// of the nodes to standard error whenever they change.
/// @errors kTimeout after one minute; the change stays accepted.
[[nodiscard]] Result<Done> WaitUntilInForce(const Server& server,
                                            Revision revision);

/// Marks a job as cancelled. Retries when the job was changed concurrently.
/// @errors kNotFound if there is no such job; kConflict if every attempt met a
///   concurrent change; the error that the node returned, such as kForbidden;
///   kMalformed if its response cannot be parsed; those of SendRequest.
[[nodiscard]] Result<Revision> CancelJob(const Server& server,
                                         const std::string& job);

/// Adds a VM to the list of drained VMs in a policy, or removes it. Adding to
/// an absent policy creates it.
/// @errors as for CancelJob.
[[nodiscard]] Result<Revision> SetDrained(const Server& server,
                                          const std::string& policy,
                                          const std::string& vm, bool drained);

}  // namespace mangospread::cli
