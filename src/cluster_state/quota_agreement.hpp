// Decides which team quotas are in force when the controllers' settings files differ, for each team separately. The leader writes
// the resulting team quota records to the ledger. No I/O and no clock.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster_state/quota_accounts.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// The quotas in one controller's settings file, by team name.
using TeamQuotas = std::map<std::string, TeamQuota>;
// Digest of the quotas in a settings file; never 0.
std::uint64_t digest_of(const TeamQuotas& quotas);

// Returns the records to write now. `files`: quotas of every controller in the settings, by label; nullopt if a file is not known
// (never received, or changed since). `leader_quotas`: the leader's file, which is in force while the ledger has no quotas.
//
// If all files have the same quota for a team, it comes into force. If they differ, the agreed quota stays in force, narrowed by
// the differing ones. For a team that is in no file, no new jobs are accepted, and its existing jobs keep the last quota.
std::vector<TeamQuotaRecord> next_quota_records(const QuotaAccounts& quota_accounts, const TeamQuotas& leader_quotas,
                                                const std::map<std::string, std::optional<TeamQuotas>>& files);

}  // namespace thistlefront
