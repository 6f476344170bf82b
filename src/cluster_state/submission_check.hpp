// Checks whether a submission can be accepted. The leader calls these before it writes the acceptance to the ledger; the returned
// texts are sent to the user. The functions have no side effects.
#pragma once
#include <optional>
#include <string>

#include "model/job.hpp"

namespace thistlefront {

class ClusterState;
class MachineTypeCatalogue;
class QuotaAccounts;

// Why a job could never run with the offered machine types and its team's quota; nullopt if it could. The machine types must be
// known: with none offered, every job is rejected.
std::optional<std::string> rejection_reason(const JobSpec& spec, const MachineTypeCatalogue& machine_types,
                                            const QuotaAccounts& quota_accounts);

// Why the dependencies of a job are invalid; nullopt if they are valid. The whole ledger must have been read.
std::optional<std::string> dependency_rejection_reason(const JobSpec& spec, const ClusterState& cluster_state);

}  // namespace thistlefront
