#include "cluster_state/quota_agreement.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/digest.hpp"

namespace thistlefront {

std::uint64_t digest_of(const TeamQuotas& quotas) {
  std::uint64_t digest = 1;
  for (const auto& [name, quota] : quotas) {
    digest = extend_digest(digest, digest_of_text(name));
    for (const double amount : {quota.guarantee.cores, quota.guarantee.accelerators, quota.limit.cores, quota.limit.accelerators})
      digest = extend_digest(digest, std::bit_cast<std::uint64_t>(amount));
  }
  return digest == 0 ? 1 : digest;
}

namespace {

// The quotas of one team in the known settings files.
struct KnownQuotas {
  bool all_files_known = true;
  bool all_same = true;
  std::vector<std::optional<TeamQuota>> quotas;  // one per known file; nullopt: the file does not contain the team
};

KnownQuotas known_quotas(const std::string& team, const std::map<std::string, std::optional<TeamQuotas>>& files) {
  KnownQuotas known;
  for (const auto& [label, file] : files) {
    if (!file) {
      known.all_files_known = false;
      continue;
    }
    const auto it = file->find(team);
    known.quotas.push_back(it == file->end() ? std::nullopt : std::optional(it->second));
  }
  known.all_same = std::all_of(known.quotas.begin(), known.quotas.end(), [&](const auto& quota) { return quota == known.quotas.front(); });
  return known;
}

TeamQuotaRecord with_agreement(TeamQuotaRecord record, const std::optional<TeamQuota>& quota) {
  record.proposed.reset();
  if (quota) {
    record.agreed = quota;
    record.in_no_settings = false;
  } else {
    record.in_no_settings = record.agreed.has_value();
  }
  return record;
}

TeamQuotaRecord next_record(TeamQuotaRecord record, const KnownQuotas& known) {
  if (known.all_files_known && known.all_same && !known.quotas.empty()) return with_agreement(std::move(record), known.quotas.front());
  std::optional<TeamQuota> narrowed;
  for (const auto& quota : known.quotas) {
    if (!quota || quota == record.agreed) continue;
    narrowed = narrowed ? stricter_quota(*narrowed, *quota) : *quota;
  }
  // An unknown file may still contain the proposed quota, so the proposal is kept until all files are known.
  if (narrowed || known.all_files_known) record.proposed = narrowed;
  return record;
}

std::set<std::string> all_team_names(const QuotaAccounts& quota_accounts, const TeamQuotas& leader_quotas,
                                     const std::map<std::string, std::optional<TeamQuotas>>& files) {
  std::set<std::string> names;
  for (const auto& [name, quota] : leader_quotas) names.insert(name);
  for (const auto& [label, file] : files) {
    if (!file) continue;
    for (const auto& [name, quota] : *file) names.insert(name);
  }
  for (const Team& team : quota_accounts.teams())
    if (team.record) names.insert(team.name);
  return names;
}

// The team's quota record in the ledger; nullptr if there is none.
const TeamQuotaRecord* find_ledger_record(const QuotaAccounts& quota_accounts, const std::string& name) {
  const TeamIndex team = quota_accounts.find(name);
  if (!team.valid()) return nullptr;
  const auto& record = quota_accounts.team(team).record;
  return record ? &*record : nullptr;
}

}  // namespace

std::vector<TeamQuotaRecord> next_quota_records(const QuotaAccounts& quota_accounts, const TeamQuotas& leader_quotas,
                                                const std::map<std::string, std::optional<TeamQuotas>>& files) {
  std::vector<TeamQuotaRecord> records;
  for (const auto& name : all_team_names(quota_accounts, leader_quotas, files)) {
    TeamQuotaRecord before;
    before.name = name;
    const TeamQuotaRecord* recorded = find_ledger_record(quota_accounts, name);
    if (recorded) {
      before = *recorded;
    } else if (!quota_accounts.has_agreed_quotas()) {
      // The ledger contains no quotas yet, so the leader's own file has been in force.
      if (const auto it = leader_quotas.find(name); it != leader_quotas.end()) before.agreed = it->second;
    }
    TeamQuotaRecord after = next_record(before, known_quotas(name, files));
    if (!recorded && !after.agreed && !after.proposed) continue;
    if (!recorded || after != before) records.push_back(std::move(after));
  }
  return records;
}

}  // namespace thistlefront
