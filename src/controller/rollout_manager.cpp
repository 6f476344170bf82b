#include "controller/rollout_manager.hpp"

#include <spdlog/spdlog.h>

#include <utility>
#include <vector>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kRegistrationDelayS = 1.0;    // a process that crashes repeatedly within this time writes nothing to the store
constexpr double kRegistryCheckPeriodS = 5.0;  // between checks of the registry
constexpr double kRolloutCheckPeriodS = 1.0;   // between checks while a rollout is in progress or blocked
constexpr double kRetryPauseS = 0.2;

const char* describe(const TeamQuotaRecord& record) {
  if (record.in_no_settings) return "in no settings file any more, keeps its quotas for the jobs it has";
  if (record.proposed) return "quotas differ between controllers, the lower limit and the higher guarantee apply until they agree";
  return "quotas in force, the same on all controllers";
}
}  // namespace

RolloutManager::RolloutManager(SharedState& shared, CommitQueue& commit_queue, ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), metrics_(metrics) {
  shared_.add_step_down_listener([this] { blocked_by_.clear(); });
}

void RolloutManager::run(std::stop_token stop) {
  const auto& config = shared_.config;
  StoreClient store(config.settings.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  std::vector<FrameConnectionPool*> pools;
  pools.reserve(shared_.peers.size());
  for (auto& link : shared_.peers) pools.push_back(link.calls.get());
  RegistryView view(config.settings, config.supported_versions, config.team_quotas, std::move(pools));
  // The controller's own record comes first: a change of the format version is conditional on it.
  if (!pause_for(stop, kRegistrationDelayS) || !view.register_self(store, stop)) return;
  while (!stop.stop_requested()) {
    {
      Lock lock(shared_.mutex);
      shared_.role_changed.wait(lock, stop, [&] { return shared_.role == Role::leading; });
      if (stop.stop_requested()) return;
    }
    const bool stepped = plan_step(view, store, stop);
    const bool blocked = [&] {
      Lock lock(shared_.mutex);
      return !blocked_by_.empty();
    }();
    if (!pause_for(stop, stepped || blocked ? kRolloutCheckPeriodS : kRegistryCheckPeriodS)) return;
  }
}

bool RolloutManager::plan_step(RegistryView& view, StoreClient& store, std::stop_token stop) {
  std::uint64_t term = 0;
  {
    Lock lock(shared_.mutex);
    term = shared_.term_number;
  }
  const auto observation = view.observe(store, stop);
  if (!observation) return false;
  const auto& snapshot = observation->snapshot;
  Lock lock(shared_.mutex);
  if (!shared_.is_term(term) || !shared_.may_decide() || shared_.term->rollout_step) return false;
  if (snapshot.leader_mod_revision != shared_.term->fencing_token) return false;
  // A late transaction of this leader changed the version. What this leader knows of its entries is outdated: it could activate a lower
  // version before all entries were rewritten.
  if (snapshot.active != shared_.term->active_version) {
    shared_.step_down(lock, "active format version is not the one it knows");
    return false;
  }
  auto step = rollout::next_step(snapshot, observation->registry, view.controller_labels(), observation->peer_versions,
                                 describe_leader(snapshot.active), wall_now(), shared_.config.options.format_version_soak_s);
  if (step.changes() > shared_.config.settings.max_txn_ops) {
    step = {};
    step.blocked_by = "transactions of more changes than the state service allows";
  }
  set_blocked_by(step.blocked_by, snapshot.active.format_version);
  if (step.kind == rollout::Step::Kind::none) return queue_quota_changes(observation->quotas_by_controller);
  shared_.term->rollout_step = std::move(step);
  commit_queue_.wake_committer();
  return true;
}

rollout::LeaderState RolloutManager::describe_leader(const ActiveVersion& active) const {
  const Term& term = *shared_.term;
  const auto& config = shared_.config;
  rollout::LeaderState leading{{config.settings.label, config.incarnation},
                               term.fencing_token,
                               term.session_lease,
                               term.active_version,
                               term.ledger_writer.has_old_entries(),
                               {}};
  const auto version = active.format_version;
  if (const auto team = term.cluster_state->quota_accounts().changing_team(); team && has_team_quotas(version))
    leading.downgrade_blocker = "the terms of team " + *team;
  if (const auto reason = term.cluster_state->describe_blocked_jobs(); reason && has_dependencies(version))
    leading.downgrade_blocker = *reason;
  if (const auto generation = term.ledger_writer.generation(); generation != 0)
    leading.downgrade_blocker = "generation " + std::to_string(generation);
  return leading;
}

void RolloutManager::set_blocked_by(const std::string& reason, std::uint32_t active_version) {
  if (reason == blocked_by_) return;
  blocked_by_ = reason;
  if (!reason.empty()) spdlog::info("format version {}: active, a change waits for: {}", active_version, reason);
}

bool RolloutManager::queue_quota_changes(const std::map<std::string, std::optional<TeamQuotas>>& quotas_by_controller) {
  Term& term = *shared_.term;
  if (!has_team_quotas(term.ledger_writer.format_version()) || term.active_version.downgrade_to != 0) return false;
  // Queued quotas that are not applied yet would be queued again at each check.
  if (!commit_queue_.is_applied(term.quotas_ticket)) return false;
  auto changed = next_quota_records(term.cluster_state->quota_accounts(), shared_.config.team_quotas, quotas_by_controller);
  if (changed.empty()) return false;
  std::vector<Record> records;
  for (auto& record : changed) {
    spdlog::info("team {}: {}", record.name, describe(record));
    records.emplace_back(std::move(record));
  }
  term.quotas_ticket = commit_queue_.enqueue(std::move(records));
  return true;
}

bool RolloutManager::send_step(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto term = shared_.term_number;
  commit_queue_.wait_for_write_permit(lock, stop, false);
  if (!shared_.is_term(term) || !shared_.term->rollout_step) return false;
  const rollout::Step step = *shared_.term->rollout_step;
  commit_queue_.charge_writes(step.changes());
  metrics_.counters.writes += step.changes();
  shared_.term->leader_key_update_unacknowledged = step.raises_token();
  lock.unlock();
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(step.body(), revision, failed);
  // If the outcome is unknown, or an earlier attempt may have been committed, nothing is written until the keys have been read: neither
  // the format version nor the fencing token is known.
  std::optional<rollout::LeadershipSnapshot> snapshot;
  if (status == StoreStatus::conflict || status == StoreStatus::indeterminate) {
    snapshot = read_keys(store, stop, term);
    if (!snapshot) {
      lock.lock();
      return false;
    }
  }
  lock.lock();
  if (!shared_.is_term(term)) return false;
  shared_.term->leader_key_update_unacknowledged = false;
  if (status == StoreStatus::unavailable) {
    lock.unlock();
    pause_for(stop, kRetryPauseS);
    lock.lock();
    if (shared_.is_term(term)) shared_.term->rollout_step.reset();  // it is planned again
    return false;
  }
  if (status == StoreStatus::refused) {
    shared_.step_down(lock, "key-value store refused a change of the format version");
    return false;
  }
  shared_.term->rollout_step.reset();
  return snapshot ? apply_snapshot(lock, *snapshot) : apply_committed_step(step, revision);
}

std::optional<rollout::LeadershipSnapshot> RolloutManager::read_keys(StoreClient& store, std::stop_token stop, std::uint64_t term) const {
  for (;;) {
    Rows rows;
    if (store.list(kLeadershipPrefix, rows) == StoreStatus::ok) {
      try {
        return rollout::parse_leadership_keys(rows.rows);
      } catch (const std::exception& e) {
        spdlog::error("key-value store: leader keys malformed: {}", e.what());
      }
    }
    const bool may_retry = pause_for(stop, kRetryPauseS);
    Lock lock(shared_.mutex);
    if (!may_retry || !shared_.is_term(term)) return std::nullopt;
  }
}

bool RolloutManager::apply_committed_step(const rollout::Step& step, std::uint64_t revision) {
  if (step.raises_token()) {
    shared_.term->fencing_token = revision;
    shared_.observe_leader(revision, shared_.config.settings.label);
  }
  if (step.sets_version()) adopt_version(step.active_after);
  return true;
}

bool RolloutManager::apply_snapshot(const Lock& lock, const rollout::LeadershipSnapshot& snapshot) {
  Term& term = *shared_.term;
  const bool own = snapshot.leader && snapshot.leader->incarnation == shared_.config.incarnation;
  if (!own || snapshot.leader_mod_revision < term.fencing_token) {
    shared_.step_down(lock, "leader key belongs to another controller");
    return false;
  }
  if (snapshot.leader_mod_revision > term.fencing_token) {
    term.fencing_token = snapshot.leader_mod_revision;
    shared_.observe_leader(term.fencing_token, shared_.config.settings.label);
  }
  adopt_version(snapshot.active);
  return true;
}

void RolloutManager::adopt_version(const ActiveVersion& active) {
  Term& term = *shared_.term;
  if (active != term.active_version) {
    if (active.downgrade_to != 0) {
      spdlog::info("format version {}: to be lowered, ledger is being rewritten at version {}", active.format_version, active.downgrade_to);
    } else {
      spdlog::info("format version {}: activated, fencing token {}", active.format_version, term.fencing_token);
    }
  }
  term.active_version = active;
  term.ledger_writer.set_format_version(active.written_version());
}

}  // namespace thistlefront
