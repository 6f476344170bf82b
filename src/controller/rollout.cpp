// Roll-outs: this controller's record in the roster, and, on the leader, the steps towards another state
// level.
#include <spdlog/spdlog.h>

#include "controller/controller.hpp"
#include "controller/registry_view.hpp"
#include "model/ledger_records.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kSettled = 1.0;     // one that ends again sooner, over and over, costs no change for each start
constexpr double kLookPeriod = 5.0;  // seconds between looks at the roster
constexpr double kSoonAgain = 1.0;
constexpr double kAgain = 0.2;
}  // namespace

void Controller::rollout_duty(std::stop_token stop) {
  StoreClient store(settings_.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  std::vector<FramePool*> pools;
  for (auto& link : links_) pools.push_back(link.calls.get());
  RegistryView view(settings_, supported_versions_, team_quotas_, std::move(pools));
  // Before anything else its own record: a switch is conditional on what it says.
  if (!pause_for(stop, kSettled) || !view.register_self(store, stop)) return;
  while (!stop.stop_requested()) {
    {
      Lock lock(mutex_);
      role_changed_.wait(lock, stop, [&] { return role_ == Role::leading; });
      if (stop.stop_requested()) return;
    }
    const bool stepped = plan_step(view, store, stop);
    const bool waits = [&] {
      Lock lock(mutex_);
      return !version_blocked_by_.empty();
    }();
    if (!pause_for(stop, stepped || waits ? kSoonAgain : kLookPeriod)) return;
  }
}

bool Controller::plan_step(RegistryView& view, StoreClient& store, std::stop_token stop) {
  std::uint64_t number = 0;
  {
    Lock lock(mutex_);
    number = term_number_;
  }
  const auto seen = view.observe(store, stop);
  if (!seen) return false;
  const auto& snapshot = seen->snapshot;
  Lock lock(mutex_);
  if (term_number_ != number || !may_decide() || term_->step || snapshot.leader_mod_revision != term_->fencing_token) return false;
  // A change of its own that came late. Found by reading: with what it knew of its entries it could have
  // lowered a ledger that was not written anew.
  if (snapshot.on != term_->format_version) {
    step_down(lock, "the state level is another one than it knows");
    return false;
  }
  rollout::Leading leading{{settings_.label, incarnation_},
                           term_->fencing_token,
                           term_->session_lease,
                           term_->format_version,
                           term_->ledger_writer.has_old_entries(),
                           {}};
  if (const auto team = term_->cluster_state->quota_accounts().changing_team(); team && has_team_quotas(snapshot.on.format_version))
    leading.no_older_format = "the terms of team " + *team;
  if (const auto job = term_->cluster_state->dependencies_without_older_format(); job && has_dependencies(snapshot.on.format_version))
    leading.no_older_format = *job;
  if (term_->ledger_writer.generation() != 0) leading.no_older_format = "generation " + std::to_string(term_->ledger_writer.generation());
  auto step =
      rollout::next_step(snapshot, seen->registry, view.expected(), seen->answers, leading, wall_now(), options_.format_version_soak_s);
  if (step.changes() > settings_.txn_ops) {
    step = {};
    step.blocked_by = "transactions of more changes than the state service allows";
  }
  if (step.blocked_by != version_blocked_by_) {
    version_blocked_by_ = step.blocked_by;
    if (!step.blocked_by.empty())
      spdlog::info("state level {} is on; for another one it waits for: {}", snapshot.on.format_version, step.blocked_by);
  }
  if (step.kind == rollout::Step::Kind::none) return agree_on_quotas(lock, seen->files);
  term_->step = std::move(step);
  queue_filled_.notify_all();
  return true;
}

bool Controller::agree_on_quotas(Lock&, const std::map<std::string, std::optional<TeamQuotas>>& files) {
  if (!has_team_quotas(term_->ledger_writer.format_version()) || term_->format_version.downgrade_to != 0) return false;
  // Asked again while they are on their way, they would be sent once more at each look.
  if (applied_ticket_ < term_->quotas_ticket) return false;
  auto changed = next_quota_records(term_->cluster_state->quota_accounts(), team_quotas_, files);
  if (changed.empty()) return false;
  std::vector<Record> records;
  for (auto& r : changed) {
    spdlog::info("team {}: {}", r.name,
                 r.leaving    ? "in no settings any more, keeps its terms for the jobs that it has"
                 : r.proposed ? "controllers differ; the lower limit and the higher guarantee hold until all have the same"
                              : "its terms are in force, the same on all controllers");
    records.emplace_back(std::move(r));
  }
  term_->quotas_ticket = enqueue(std::move(records));
  return true;
}

void Controller::adopt_version(const ActiveVersion& on, std::uint64_t mod_revision) {
  if (on != term_->format_version) {
    if (on.downgrade_to != 0) {
      spdlog::info("state level {} is on and to be lowered: the ledger is written anew at level {}", on.format_version, on.downgrade_to);
    } else {
      spdlog::info("state level {} is switched on, epoch {}", on.format_version, term_->fencing_token);
    }
  }
  term_->format_version = on;
  term_->version_mod_revision = mod_revision;
  term_->ledger_writer.set_format_version(on.writes());
}

bool Controller::take_step(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  await_write(lock, stop, false);
  if (term_number_ != number || !term_->step) return false;
  const auto step = *term_->step;
  charge_writes(step.changes());
  term_->lead_in_doubt = step.raises_token();
  lock.unlock();
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  auto status = store.commit(step.body(), revision, failed);
  // Without an answer, or where an earlier try may have been applied, the keys tell. Until they do nothing is
  // written, for it is not known at which level, nor under which epoch.
  std::optional<rollout::LeadershipSnapshot> snapshot;
  while (status == StoreStatus::conflict || status == StoreStatus::in_doubt) {
    Rows rows;
    if (store.list(kLeadershipPrefix, rows) == StoreStatus::ok) {
      try {
        snapshot = rollout::parse_leadership_keys(rows.rows);
        break;
      } catch (const std::exception& e) {
        spdlog::error("state service: the leader's keys: {}", e.what());
      }
    }
    const bool goes_on = pause_for(stop, kAgain);
    lock.lock();
    if (!goes_on || term_number_ != number) return false;
    lock.unlock();
  }
  lock.lock();
  if (term_number_ != number) return false;
  term_->lead_in_doubt = false;
  if (status == StoreStatus::unavailable) {
    lock.unlock();
    pause_for(stop, kAgain);
    lock.lock();
    if (term_number_ == number) term_->step.reset();  // planned anew
    return false;
  }
  if (status == StoreStatus::refused) {
    step_down(lock, "the state service refused a change of the state level");
    return false;
  }
  term_->step.reset();
  if (status == StoreStatus::ok) {
    if (step.raises_token()) {
      term_->fencing_token = revision;
      observe_leader(revision, settings_.label);
    }
    if (step.sets_version()) adopt_version(step.after, revision);
    return true;
  }
  if (!snapshot->leader || snapshot->leader->incarnation != incarnation_ || snapshot->leader_mod_revision < term_->fencing_token) {
    step_down(lock, "the leader's key is another's");
    return false;
  }
  if (snapshot->leader_mod_revision > term_->fencing_token) {
    term_->fencing_token = snapshot->leader_mod_revision;
    observe_leader(term_->fencing_token, settings_.label);
  }
  adopt_version(snapshot->on, snapshot->active_mod_revision);
  return true;
}

}  // namespace thistlefront
