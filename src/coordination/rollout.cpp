// Roll-outs: this controller's record in the roster, and, on the leader, the steps towards another state
// level.
#include <spdlog/spdlog.h>

#include "coordination/controller.hpp"
#include "coordination/roster_view.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

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
  RosterView view(settings_, able_, teams_file_, std::move(pools));
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
      return !level_waits_for_.empty();
    }();
    if (!pause_for(stop, stepped || waits ? kSoonAgain : kLookPeriod)) return;
  }
}

bool Controller::plan_step(RosterView& view, StoreClient& store, std::stop_token stop) {
  std::uint64_t number = 0;
  {
    Lock lock(mutex_);
    number = term_number_;
  }
  const auto seen = view.observe(store, stop);
  if (!seen) return false;
  const auto& look = seen->look;
  Lock lock(mutex_);
  if (term_number_ != number || !decisive() || term_->step || look.leader_stamp != term_->epoch) return false;
  // A change of its own that came late. Found by reading: with what it knew of its entries it could have
  // lowered a ledger that was not written anew.
  if (look.on != term_->level) {
    step_down(lock, "the state level is another one than it knows");
    return false;
  }
  rollout::Leading leading{{settings_.label, incarnation_}, term_->epoch, term_->hold, term_->level, term_->tail.has_old_entries(), {}};
  if (const auto team = term_->book->accounts().changing_team(); team && teams_at(look.on.level))
    leading.no_older_form = "the terms of team " + *team;
  if (const auto job = term_->book->in_pipeline(); job && pipelines_at(look.on.level)) leading.no_older_form = *job;
  if (term_->tail.generation() != 0) leading.no_older_form = "generation " + std::to_string(term_->tail.generation());
  auto step = rollout::next_step(look, seen->roster, view.expected(), seen->answers, leading, wall_now(), tuning_.state_level_soak_s);
  if (step.changes() > settings_.txn_ops) {
    step = {};
    step.waits_for = "transactions of more changes than the state service allows";
  }
  if (step.waits_for != level_waits_for_) {
    level_waits_for_ = step.waits_for;
    if (!step.waits_for.empty()) spdlog::info("state level {} is on; for another one it waits for: {}", look.on.level, step.waits_for);
  }
  if (step.kind == rollout::Step::Kind::none) return agree_on_teams(lock, seen->files);
  term_->step = std::move(step);
  queue_filled_.notify_all();
  return true;
}

bool Controller::agree_on_teams(Lock&, const std::map<std::string, std::optional<TeamsFile>>& files) {
  if (!teams_at(term_->tail.level()) || term_->level.towards != 0) return false;
  // Asked again while they are on their way, they would be sent once more at each look.
  if (applied_ticket_ < term_->teams_ticket) return false;
  auto changed = next_agreement(term_->book->accounts(), teams_file_, files);
  if (changed.empty()) return false;
  std::vector<Record> records;
  for (auto& r : changed) {
    spdlog::info("team {}: {}", r.name,
                 r.leaving    ? "in no settings any more, keeps its terms for the jobs that it has"
                 : r.proposed ? "controllers differ; the lower limit and the higher guarantee hold until all have the same"
                              : "its terms are in force, the same on all controllers");
    records.emplace_back(std::move(r));
  }
  term_->teams_ticket = enqueue(std::move(records));
  return true;
}

void Controller::adopt_level(const LevelOn& on, std::uint64_t stamp) {
  if (on != term_->level) {
    if (on.towards != 0) {
      spdlog::info("state level {} is on and to be lowered: the ledger is written anew at level {}", on.level, on.towards);
    } else {
      spdlog::info("state level {} is switched on, epoch {}", on.level, term_->epoch);
    }
  }
  term_->level = on;
  term_->level_stamp = stamp;
  term_->tail.set_format_version(on.writes());
}

bool Controller::take_step(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  await_write(lock, stop, false);
  if (term_number_ != number || !term_->step) return false;
  const auto step = *term_->step;
  charge_writes(step.changes());
  term_->lead_in_doubt = step.raises_epoch();
  lock.unlock();
  std::uint64_t rev = 0;
  std::vector<std::string> failed;
  auto status = store.commit(step.body(), rev, failed);
  // Without an answer, or where an earlier try may have been applied, the keys tell. Until they do nothing is
  // written, for it is not known at which level, nor under which epoch.
  std::optional<rollout::Look> look;
  while (status == StoreStatus::conflict || status == StoreStatus::in_doubt) {
    Rows rows;
    if (store.list(kLeadPrefix, rows) == StoreStatus::ok) {
      try {
        look = rollout::look(rows.rows);
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
    if (step.raises_epoch()) {
      term_->epoch = rev;
      learn(rev, settings_.label);
    }
    if (step.sets_level()) adopt_level(step.after, rev);
    return true;
  }
  if (!look->leader || look->leader->incarnation != incarnation_ || look->leader_stamp < term_->epoch) {
    step_down(lock, "the leader's key is another's");
    return false;
  }
  if (look->leader_stamp > term_->epoch) {
    term_->epoch = look->leader_stamp;
    learn(term_->epoch, settings_.label);
  }
  adopt_level(look->on, look->on_stamp);
  return true;
}

}  // namespace thistle
