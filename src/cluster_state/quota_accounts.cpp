#include "cluster_state/quota_accounts.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
// A limit of 0 means no limit.
double lower_limit(double a, double b) {
  if (a <= 0) return b;
  if (b <= 0) return a;
  return std::min(a, b);
}

double guarantee_within(double guarantee, double limit) {
  return limit > 0 ? std::min(guarantee, limit) : guarantee;
}

TeamQuota quota_in_force(const TeamQuotaRecord& record) {
  if (record.agreed && record.proposed) return stricter_quota(*record.agreed, *record.proposed);
  if (record.agreed) return *record.agreed;
  return record.proposed.value_or(TeamQuota{});
}
}  // namespace

TeamQuota stricter_quota(const TeamQuota& a, const TeamQuota& b) {
  TeamQuota out;
  out.limit = {lower_limit(a.limit.cores, b.limit.cores), lower_limit(a.limit.accelerators, b.limit.accelerators), 0};
  out.guarantee = {guarantee_within(std::max(a.guarantee.cores, b.guarantee.cores), out.limit.cores),
                   guarantee_within(std::max(a.guarantee.accelerators, b.guarantee.accelerators), out.limit.accelerators), 0};
  return out;
}

QuotaAccounts::QuotaAccounts(const std::vector<Team>& configured_teams) : teams_(configured_teams) {
  for (const Team& team : teams_) names_.intern(team.name);
}

TeamIndex QuotaAccounts::find_or_add(std::string_view name) {
  const TeamIndex index = names_.intern(name);
  if (index.value < teams_.size()) return index;
  Team& team = teams_.emplace_back();
  team.name = name;
  team.lacks_quota = true;
  return index;
}

void QuotaAccounts::apply_record(const TeamQuotaRecord& record) {
  has_agreed_quotas_ = true;
  Team& team = teams_[find_or_add(record.name).value];
  team.record = record;
  team.lacks_quota = !record.agreed && !record.proposed;
  const TeamQuota quota = quota_in_force(record);
  team.guarantee = quota.guarantee;
  team.limit = quota.limit;
}

bool QuotaAccounts::accepts_jobs(TeamIndex index) const {
  const Team& team = teams_[index.value];
  if (team.lacks_quota) return false;
  return !has_agreed_quotas_ || (team.record && !team.record->in_no_settings);
}

void QuotaAccounts::raise_usage(TeamIndex team, const Resources& used) {
  Resources& account = teams_[team.value].used;
  account.cores = std::max(account.cores, used.cores);
  account.accelerators = std::max(account.accelerators, used.accelerators);
}

void QuotaAccounts::clear_unplaced() {
  for (Team& team : teams_) team.unplaced = {};
}

Resources QuotaAccounts::headroom(TeamIndex index, double unlimited) const {
  const Team& team = teams_[index.value];
  // Negative, so that not even a task without any demand fits.
  if (team.lacks_quota) return {-1, -1, -1};
  const Resources used = team.used + team.unplaced;
  const auto remaining = [&](double limit, double amount_used) { return limit > 0 ? limit - amount_used : unlimited; };
  return {remaining(team.limit.cores, used.cores), remaining(team.limit.accelerators, used.accelerators), unlimited};
}

std::optional<std::string> QuotaAccounts::changing_team() const {
  for (const Team& team : teams_)
    if (team.record && (team.record->proposed || team.record->in_no_settings)) return team.name;
  return std::nullopt;
}

}  // namespace thistlefront
