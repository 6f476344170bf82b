// Users and teams of the simulated world: submissions, cancellations, and quotas that change.
#include <algorithm>

#include "safety_world.hpp"

namespace thistlefront::safety {

namespace {

// After a quota is lowered, what was decided or ran before may run on for this long.
constexpr double kQuotaSettles = 25;

}  // namespace

std::map<std::string, double> Simulation::used_cores_by_team() const {
  std::map<std::string, double> out;
  for (const auto& w : agents_)
    for (const auto& [k, p] : w.tasks) out[team_of_.at(std::get<0>(k))] += has_valid_lease(w) && p.phase != TaskPhase::exited;
  return out;
}

std::vector<Team> Simulation::teams() const {
  if (!several_teams_) return {{"red", {}, {kTeamLimit, 0, 0}}};
  std::vector<Team> out;
  for (const auto& [team, limit] : kTeams)
    if (limit > 0) out.push_back({team, {}, {limit, 0, 0}});
  return out;
}

double Simulation::quota_of(const std::string& team) const {
  if (!several_teams_) return kTeamLimit;
  double most = 0;
  const auto& changes = quotas_.at(team);
  for (auto it = changes.begin(); it != changes.end(); ++it)
    if (std::next(it) == changes.end() || std::next(it)->first > now_ - kQuotaSettles) most = std::max(most, it->second);
  return most;
}

void Simulation::change_quotas() {
  std::vector<Record> records;
  std::map<std::string, double> next;
  for (const auto& [team, limit] : kTeams) {
    next[team] = 2 + static_cast<double>(random_() % 6);
    records.emplace_back(TeamQuotaRecord{team, TeamQuota{{}, {next[team], 0, 0}}, std::nullopt, false});
  }
  // One that ended meanwhile may have written them all the same, and nobody was told: the higher holds.
  for (const auto& [team, limit] : next) quotas_[team].emplace(now_, std::max(limit, quotas_[team].rbegin()->second));
  leader_->record(std::move(records), [this, next] {
    for (const auto& [team, limit] : next) quotas_[team][now_] = limit;
  });
  schedule(now_ + 6, [this] {
    for (const auto& [team, changes] : quotas_)
      if (!leader_->cluster_state.quota_accounts().find(team).valid() ||
          !leader_->cluster_state.quota_accounts().accepts_jobs(leader_->cluster_state.quota_accounts().find(team)))
        return change_quotas();
  });
}

void Simulation::submit(int i) {
  JobAcceptedRecord record;
  record.job.uid = "j-" + std::to_string(i);
  record.job.owner = exhausted_       ? std::vector<std::string>{"red", "blue", "green"}[static_cast<std::size_t>(i / 4 % 3)]
                     : several_teams_ ? std::next(kTeams.begin(), i % 4)->first
                                      : "red";
  record.job.job_class = "c";
  record.job.image = "i";
  record.job.job_type = i % 4 == 3 ? JobType::gang : JobType::array;
  record.job.task_count = record.job.job_type == JobType::gang ? 2 : 4;
  record.job.demand = {1, 0, 1};
  if (exhausted_ && record.job.job_type == JobType::gang) record.job.checkpoint_interval_s = 1, record.job.checkpoint_duration_s = 1;
  const std::string uid = record.job.uid;
  team_of_[uid] = record.job.owner;
  const auto known = leader_->cluster_state.find(uid);
  if (known.valid()) {
    accepted(i, record);
    return;
  }
  leader_->record({record}, [this, i, record] { accepted(i, record); });
  // Not answered by then: its user asks again.
  schedule(now_ + 3, [this, i, uid] {
    if (!submitted_.contains(uid)) submit(i);
  });
}

void Simulation::accepted(int i, const JobAcceptedRecord& record) {
  const std::string uid = record.job.uid;
  if (!submitted_.emplace(uid, record.job.task_count).second) return;
  if (i % 3 == 2 && !exhausted_) schedule(now_ + uniform(1, 30), [this, uid] { cancel(uid); });
  if (at_fault(uid)) schedule(now_ + uniform(20, 60), [this, uid] { cancel(uid); });
}

void Simulation::cancel(const std::string& uid) {
  if (cancelled_.contains(uid) || leader_->cluster_state.job(leader_->cluster_state.find(uid)).status == JobStatus::done) return;
  leader_->record({JobCancelledRecord{uid}}, [this, uid] {
    Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
    if (job.status == JobStatus::cancelled && job.cancelled_at == 0) job.cancelled_at = now_;
    confirm_cancellation(uid);
  });
  schedule(now_ + 1, [this, uid] { confirm_cancellation(uid), cancel(uid); });
}

void Simulation::confirm_cancellation(const std::string& uid) {
  const Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
  if (job.status == JobStatus::cancelled && (job.placed.empty() || leader_->acked_at >= 0)) cancelled_.try_emplace(uid, now_);
}

}  // namespace thistlefront::safety
