#include "cluster_state/quota_accounts.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
double lower_limit(double a, double b) {
  return a <= 0 ? b : b <= 0 ? a : std::min(a, b);
}
double within(double guarantee, double limit) {
  return limit > 0 ? std::min(guarantee, limit) : guarantee;
}
}  // namespace

TeamQuota stricter_quota(const TeamQuota& a, const TeamQuota& b) {
  TeamQuota out;
  out.limit = {lower_limit(a.limit.cores, b.limit.cores), lower_limit(a.limit.accelerators, b.limit.accelerators), 0};
  out.guarantee = {within(std::max(a.guarantee.cores, b.guarantee.cores), out.limit.cores),
                   within(std::max(a.guarantee.accelerators, b.guarantee.accelerators), out.limit.accelerators), 0};
  return out;
}

QuotaAccounts::QuotaAccounts(const std::vector<Team>& of_settings) : teams_(of_settings) {
  for (const auto& t : teams_) names_.intern(t.name);
}

TeamIndex QuotaAccounts::find_or_add(std::string_view name) {
  const TeamIndex team = names_.intern(name);
  if (team.value < teams_.size()) return team;
  teams_.emplace_back();
  teams_.back().name = name;
  teams_.back().lacks_quota = true;
  return team;
}

void QuotaAccounts::apply_record(const TeamQuotaRecord& record) {
  agreed_ = true;
  Team& team = teams_[find_or_add(record.name).value];
  team.record = record;
  team.lacks_quota = !record.agreed && !record.proposed;
  const TeamQuota none;
  const TeamQuota quota = record.agreed && record.proposed ? stricter_quota(*record.agreed, *record.proposed)
                                                           : record.agreed.value_or(record.proposed.value_or(none));
  team.guarantee = quota.guarantee;
  team.limit = quota.limit;
}

bool QuotaAccounts::accepts_jobs(TeamIndex team) const {
  const Team& t = teams_[team.value];
  return !t.lacks_quota && (agreed_ ? t.record && !t.record->leaving : true);
}

void QuotaAccounts::raise_usage(TeamIndex team, const Resources& used) {
  Resources& now = teams_[team.value].used;
  now.cores = std::max(now.cores, used.cores);
  now.accelerators = std::max(now.accelerators, used.accelerators);
}

void QuotaAccounts::clear_unplaced() {
  for (auto& t : teams_) t.unplaced = {};
}

Resources QuotaAccounts::headroom(TeamIndex team, double unlimited) const {
  const Team& t = teams_[team.value];
  // Below nothing: also a task that needs none of what is limited does not fit.
  if (t.lacks_quota) return {-1, -1, -1};
  const auto of = [&](double limit, double used) { return limit > 0 ? limit - used : unlimited; };
  return {of(t.limit.cores, t.used.cores + t.unplaced.cores), of(t.limit.accelerators, t.used.accelerators + t.unplaced.accelerators),
          unlimited};
}

std::optional<std::string> QuotaAccounts::changing_team() const {
  for (const auto& t : teams_)
    if (t.record && (t.record->proposed || t.record->leaving)) return t.name;
  return std::nullopt;
}

}  // namespace thistlefront
