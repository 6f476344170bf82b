// Teams by agreement: which terms of teams come into force when controllers' settings files differ. Each team
// for itself. Pure; the leader asks it, and what comes out goes into the ledger.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster_state/quota_accounts.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The teams of one controller's settings file.
using TeamQuotas = std::map<std::string, TeamQuota>;
// Tells one file's teams from another's; never 0.
std::uint64_t digest_of(const TeamQuotas& file);

// The records that are to be written now. `files`: of every controller of the settings, by label; nullopt
// where a file is not known (never seen, or changed and not heard of since). `own`: the leader's, whose terms
// are in force at first.
//
// All have the same terms for a team: they are in force. Some differ: what is in force holds, narrowed by
// theirs. All are without the team: it takes no more jobs, and keeps its last terms for those that it has.
std::vector<TeamQuotaRecord> next_quota_records(const QuotaAccounts& quota_accounts, const TeamQuotas& own,
                                                const std::map<std::string, std::optional<TeamQuotas>>& files);

}  // namespace thistlefront
