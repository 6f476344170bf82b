// Which team quotas come into force when the controllers' settings files differ. Each team is decided by itself. The leader
// asks before it writes team quota records to the ledger. Pure.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster_state/quota_accounts.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The quotas in one controller's settings file, by team.
using TeamQuotas = std::map<std::string, TeamQuota>;
// Differs between files with different quotas; never 0.
std::uint64_t digest_of(const TeamQuotas& file);

// The records to be written now. `files`: by label of every controller in the settings; nullopt where a file is not known
// (never received, or changed and not received since). `own`: the leader's file, which is in force at first.
//
// While all files give a team the same quota, that one is in force. While some differ, the quota in force stays, narrowed by
// the different ones. A team that is in no file has no more jobs accepted, and keeps its last quota for those that it has.
std::vector<TeamQuotaRecord> next_quota_records(const QuotaAccounts& quota_accounts, const TeamQuotas& own,
                                                const std::map<std::string, std::optional<TeamQuotas>>& files);

}  // namespace thistlefront
