#include "cluster_state/quota_agreement.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <string_view>

#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "protocol/digest.hpp"

namespace thistlefront {

std::uint64_t digest_of(const TeamQuotas& file) {
  std::uint64_t digest = 1;
  for (const auto& [name, quota] : file) {
    digest = digest_with(digest, digest_of_text(name));
    for (const double v : {quota.guarantee.cores, quota.guarantee.accelerators, quota.limit.cores, quota.limit.accelerators})
      digest = digest_with(digest, std::bit_cast<std::uint64_t>(v));
  }
  return digest == 0 ? 1 : digest;
}

namespace {

// What the controllers' files say of one team.
struct Said {
  bool all_known = true, all_same = true;
  std::vector<std::optional<TeamQuota>> known;
};

Said said_of(const std::string& team, const std::map<std::string, std::optional<TeamQuotas>>& files) {
  Said out;
  for (const auto& [label, file] : files) {
    if (!file) {
      out.all_known = false;
      continue;
    }
    const auto it = file->find(team);
    out.known.push_back(it == file->end() ? std::nullopt : std::optional(it->second));
  }
  out.all_same = std::all_of(out.known.begin(), out.known.end(), [&](const auto& t) { return t == out.known.front(); });
  return out;
}

TeamQuotaRecord next_of(TeamQuotaRecord record, const Said& said) {
  if (said.all_known && said.all_same && !said.known.empty()) {
    record.proposed.reset();
    if (const auto& quota = said.known.front()) {
      record.agreed = quota;
      record.leaving = false;
    } else {
      record.leaving = record.agreed.has_value();
    }
    return record;
  }
  std::optional<TeamQuota> narrowed;
  for (const auto& quota : said.known) {
    if (!quota || quota == record.agreed) continue;
    narrowed = narrowed ? stricter_quota(*narrowed, *quota) : *quota;
  }
  // A controller that can't be asked may still have what was proposed.
  if (narrowed || said.all_known) record.proposed = narrowed;
  return record;
}

}  // namespace

std::vector<TeamQuotaRecord> next_quota_records(const QuotaAccounts& quota_accounts, const TeamQuotas& own,
                                                const std::map<std::string, std::optional<TeamQuotas>>& files) {
  std::set<std::string> names;
  for (const auto& [name, quota] : own) names.insert(name);
  for (const auto& [label, file] : files)
    if (file)
      for (const auto& [name, quota] : *file) names.insert(name);
  for (const auto& t : quota_accounts.teams())
    if (t.record) names.insert(t.name);
  std::vector<TeamQuotaRecord> out;
  for (const auto& name : names) {
    TeamQuotaRecord before;
    before.name = name;
    const TeamIndex t = quota_accounts.find(name);
    const bool recorded = t.valid() && quota_accounts.team(t).record;
    if (recorded) {
      before = *quota_accounts.team(t).record;
    } else if (!quota_accounts.agreed()) {
      // Nothing is in the ledger yet: what this leader decided by so far.
      if (const auto it = own.find(name); it != own.end()) before.agreed = it->second;
    }
    auto after = next_of(before, said_of(name, files));
    if (!recorded && !after.agreed && !after.proposed) continue;
    if (!recorded || after != before) out.push_back(std::move(after));
  }
  return out;
}

}  // namespace thistlefront
