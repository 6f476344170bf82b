// Whether a submission can be accepted. The leader asks before it writes the acceptance to the ledger; the texts go back to
// the user. Pure functions: they change nothing.
#pragma once
#include <optional>
#include <string>

#include "model/job.hpp"

namespace thistlefront {

class ClusterState;
class MachineTypeCatalogue;
class QuotaAccounts;

// Why a job could never run with the offered machine types and its team's quota; nullopt: it could. Call it only while the
// machine types are known: with none offered, every job is rejected.
std::optional<std::string> rejection_reason(const JobSpec& spec, const MachineTypeCatalogue& machine_types,
                                            const QuotaAccounts& quota_accounts);

// Why a job may not depend on the jobs that it names; nullopt: it may. Call it only once the whole ledger has been read.
std::optional<std::string> dependency_rejection_reason(const JobSpec& spec, const ClusterState& cluster_state);

}  // namespace thistlefront
