// Simulated users and teams: submissions, cancellations and changes of quotas.
#include <algorithm>

#include "safety_world.hpp"

namespace thistlefront::safety {

namespace {

// After a quota is lowered, tasks that ran or were planned before may run for this many more seconds.
constexpr double kQuotaSettleTimeS = 25;

}  // namespace

std::map<std::string, double> Simulation::used_cores_by_team() const {
  std::map<std::string, double> out;
  for (const auto& agent : agents_)
    for (const auto& [key, p] : agent.tasks) out[team_of_.at(std::get<0>(key))] += has_valid_lease(agent) && p.phase != TaskPhase::exited;
  return out;
}

std::vector<Team> Simulation::teams() const {
  if (!has_several_teams_) return {{"red", {}, {kSingleTeamQuotaCores, 0, 0}}};
  std::vector<Team> out;
  for (const auto& [team, limit] : kInitialQuotaCores)
    if (limit > 0) out.push_back({team, {}, {limit, 0, 0}});
  return out;
}

double Simulation::highest_recent_quota(const std::string& team) const {
  if (!has_several_teams_) return kSingleTeamQuotaCores;
  double highest = 0;
  const auto& changes = quota_history_.at(team);
  for (auto it = changes.begin(); it != changes.end(); ++it)
    if (std::next(it) == changes.end() || std::next(it)->first > now_ - kQuotaSettleTimeS) highest = std::max(highest, it->second);
  return highest;
}

void Simulation::change_quotas() {
  std::vector<Record> records;
  std::map<std::string, double> new_quotas;
  for (const auto& [team, limit] : kInitialQuotaCores) {
    new_quotas[team] = 2 + static_cast<double>(random_() % 6);
    records.emplace_back(TeamQuotaRecord{team, TeamQuota{{}, {new_quotas[team], 0, 0}}, std::nullopt, false});
  }
  // If this leader stops before the records are confirmed, they may be in the ledger or not: until then the higher quota applies.
  for (const auto& [team, limit] : new_quotas) quota_history_[team].emplace(now_, std::max(limit, quota_history_[team].rbegin()->second));
  leader_->append_records(std::move(records), [this, new_quotas] {
    for (const auto& [team, limit] : new_quotas) quota_history_[team][now_] = limit;
  });
  schedule(now_ + 6, [this] {
    for (const auto& [team, changes] : quota_history_)
      if (!leader_->cluster_state.quota_accounts().find(team).valid() ||
          !leader_->cluster_state.quota_accounts().accepts_jobs(leader_->cluster_state.quota_accounts().find(team)))
        return change_quotas();
  });
}

void Simulation::submit(int i) {
  JobAcceptedRecord record;
  record.job.uid = "j-" + std::to_string(i);
  record.job.owner = has_exhausted_quotas_ ? std::vector<std::string>{"red", "blue", "green"}[static_cast<std::size_t>(i / 4 % 3)]
                     : has_several_teams_  ? std::next(kInitialQuotaCores.begin(), i % 4)->first
                                           : "red";
  record.job.job_class = "c";
  record.job.image = "i";
  record.job.job_type = i % 4 == 3 ? JobType::gang : JobType::array;
  record.job.task_count = record.job.job_type == JobType::gang ? 2 : 4;
  record.job.demand = {1, 0, 1};
  if (has_exhausted_quotas_ && record.job.job_type == JobType::gang)
    record.job.checkpoint_interval_s = 1, record.job.checkpoint_duration_s = 1;
  const std::string uid = record.job.uid;
  team_of_[uid] = record.job.owner;
  const auto existing_job = leader_->cluster_state.find(uid);
  if (existing_job.valid()) {
    on_job_accepted(i, record);
    return;
  }
  leader_->append_records({record}, [this, i, record] { on_job_accepted(i, record); });
  // The user submits the job again if it was not accepted by then.
  schedule(now_ + 3, [this, i, uid] {
    if (!accepted_task_counts_.contains(uid)) submit(i);
  });
}

void Simulation::on_job_accepted(int i, const JobAcceptedRecord& record) {
  const std::string uid = record.job.uid;
  if (!accepted_task_counts_.emplace(uid, record.job.task_count).second) return;
  if (i % 3 == 2 && !has_exhausted_quotas_) schedule(now_ + uniform(1, 30), [this, uid] { cancel(uid); });
  if (is_faulty_job(uid)) schedule(now_ + uniform(20, 60), [this, uid] { cancel(uid); });
}

void Simulation::cancel(const std::string& uid) {
  if (cancellation_confirmed_at_.contains(uid) || leader_->cluster_state.job(leader_->cluster_state.find(uid)).status == JobStatus::done)
    return;
  leader_->append_records({JobCancelledRecord{uid}}, [this, uid] {
    Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
    if (job.status == JobStatus::cancelled && job.cancelled_at == 0) job.cancelled_at = now_;
    confirm_cancellation(uid);
  });
  schedule(now_ + 1, [this, uid] { confirm_cancellation(uid), cancel(uid); });
}

void Simulation::confirm_cancellation(const std::string& uid) {
  const Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
  if (job.status == JobStatus::cancelled && (job.placed.empty() || leader_->sole_leader_since >= 0))
    cancellation_confirmed_at_.try_emplace(uid, now_);
}

}  // namespace thistlefront::safety
