// The ledger: a sequence of entries in the state service, written by the leader alone. Many records go in one
// transaction; each transaction is conditional on the leader's stamp, so that a deposed leader's late one fails.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "controller/controller.hpp"
#include "ledger/ledger_reader.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {

constexpr double kLingerWrites = 2.5;  // records that can wait do so for the time of this many writes
constexpr double kRewriteShare = 0.2;  // of the writes: for entries of another level, while nothing else is to be written
constexpr double kLeastValueKb = 1;
constexpr std::size_t kLeastOps = 4;
constexpr double kReadAgain = 1.0;   // seconds
constexpr double kAskAgain = 0.1;    // where the state service does not answer
constexpr double kKeepUnread = 8.0;  // so long one keeps the lead that can't read, where nobody can

double cores_on_plain_machines(const ClusterState& cluster_state, const TasksCompletedRecord& done) {
  const JobIndex j = cluster_state.find(done.uid);
  if (!j.valid()) return 0;
  const Job& job = cluster_state.job(j);
  double cores = 0;
  for (const auto& range : done.tasks) {
    for (auto it = job.placed.lower_bound(range.first); it != job.placed.end() && it->first < range.last; ++it) {
      const MachineType* f = cluster_state.machine_type(cluster_state.node(it->second.node).machine_type);
      if (f && f->capacity.accelerators <= 0) cores += job.spec.demand.cores;
    }
  }
  return cores;
}

}  // namespace

std::uint64_t Controller::enqueue(std::vector<Record> records, CommitPriority commit_priority) {
  const double at = steady_now() + (commit_priority == CommitPriority::deferrable ? kLingerWrites / write_limiter_.rate() : 0);
  commit_at_ = queue_.empty() ? at : std::min(commit_at_, at);
  if (commit_priority == CommitPriority::user_waiting) users_wait_ = true;
  for (auto& r : records)
    if (!merge_completions(queue_, r)) queue_.push_back({std::move(r), ++tickets_});
  queue_filled_.notify_all();
  return tickets_;
}

bool Controller::wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s) {
  const auto term = term_number_;
  applied_.wait_for(lock, std::chrono::duration<double>(timeout_s), [&] { return term_number_ != term || applied_ticket_ >= ticket; });
  return term_number_ == term && applied_ticket_ >= ticket;
}

void Controller::await_write(Lock& lock, std::stop_token stop, bool for_users) {
  const auto number = term_number_;
  while (!stop.stop_requested() && term_number_ == number) {
    const bool users = for_users || users_wait_;
    const double wait = write_limiter_.delay_s(steady_now(), users);
    if (wait == 0) return;
    queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(wait),
                           [&] { return term_number_ != number || (users_wait_ && !users); });
  }
}

void Controller::record_starts(const TasksStartedRecord& start) {
  const JobIndex j = term_->cluster_state->find(start.uid);
  if (!j.valid() || term_->cluster_state->job(j).ended()) return;
  const Job& job = term_->cluster_state->job(j);
  if (job.attempts == 0)
    spdlog::debug("{}: begins, {} {} of {} tasks, after {:.1f} s", job.uid, job.spec.job_class,
                  job.spec.job_type == JobType::gang ? "gang" : "job", job.tasks.size(), wall_now() - job.eligible_since);
  if (term_->within.contains(j)) guarantee_waits_.add(wall_now() - job.eligible_since);
  // One for each start: a job's tasks that start together waited alike.
  start_waits_[service_levels_.class_label(job.spec.job_class)].add(wall_now() - job.eligible_since);
}

void Controller::log_verdicts() {
  ClusterState& cluster_state = *term_->cluster_state;
  for (const auto& n : cluster_state.failure_attribution().take_verdicts()) {
    const std::string& uid = cluster_state.job(n.job).uid;
    const double pause = std::max(0.0, n.until - wall_now());
    switch (n.kind) {
      case FailureAttribution::Verdict::Kind::suspected:
        ++counters_.suspected;
        spdlog::info("{}: suspected, it failed on {} machines and succeeded on none; tries with one task", uid, n.count);
        break;
      case FailureAttribution::Verdict::Kind::cleared: spdlog::info("{}: no longer suspected, a task of it succeeded", uid); break;
      case FailureAttribution::Verdict::Kind::cordoned:
        ++counters_.cordoned;
        spdlog::info("{}: set aside for {:.0f} s, several jobs failed there, the last one {}", cluster_state.node(n.node).name, pause, uid);
        break;
      case FailureAttribution::Verdict::Kind::uncordoned:
        spdlog::info("{}: in use again, by what is known now of {}", cluster_state.node(n.node).name, uid);
        break;
    }
  }
}

void Controller::charge_writes(std::size_t changes) {
  write_limiter_.charge(static_cast<double>(changes));
  counters_.writes += changes;
}

void Controller::ledger_duty(std::stop_token stop) {
  StoreClient store(settings_.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  while (!stop.stop_requested()) {
    Lock lock(mutex_);
    role_changed_.wait(lock, stop, [&] { return role_ == Role::recovering; });
    if (stop.stop_requested()) return;
    const auto number = term_number_;
    lock.unlock();
    if (!recover(store, stop, number)) {
      if (!pause_for(stop, 0.2)) return;
      continue;
    }
    lock.lock();
    while (!stop.stop_requested() && term_number_ == number) {
      // Entries of another level are written anew also while nothing else is to be written.
      const double rewrite_period = 1 / (write_limiter_.rate() * kRewriteShare);
      const auto rewrite_due = [&] { return term_->ledger_writer.has_old_entries() && steady_now() >= term_->rewrote_at + rewrite_period; };
      const auto due = [&] {
        return term_number_ != number || (term_ && (term_->raise_token_requested || term_->step || rewrite_due())) ||
               (!queue_.empty() && steady_now() >= commit_at_);
      };
      // First for something to write, then for the moment when it must go: with one wait for both, a record that can
      // wait a little would wait for the next one to come (a gang's end, told late on a quiet machine).
      const auto something = [&] {
        return term_number_ != number || (term_ && (term_->raise_token_requested || term_->step || rewrite_due())) || !queue_.empty();
      };
      if (term_->ledger_writer.has_old_entries()) {
        queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(rewrite_period), something);
      } else {
        queue_filled_.wait(lock, stop, something);
      }
      if (!stop.stop_requested() && !due())
        queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(std::max(commit_at_ - steady_now(), 0.001)), due);
      if (stop.stop_requested() || term_number_ != number) break;
      if (!due()) continue;
      if (term_->raise_token_requested && !raise_fencing_token(store, stop, lock)) continue;
      if (term_number_ != number) break;
      if (term_->step && !take_step(store, stop, lock)) continue;
      if (term_number_ != number) break;
      if ((!queue_.empty() && steady_now() >= commit_at_) || rewrite_due()) {
        commit(store, stop, lock);
        committing_ = false;
        applied_.notify_all();
      }
    }
  }
}

std::optional<ReadLedger> Controller::read_ledger(StoreClient& store, std::stop_token stop, const std::function<bool()>& again,
                                                  std::string& unreadable) {
  std::vector<Team> teams;
  for (const auto& t : settings_.teams) teams.push_back({t.name, t.guarantee, t.limit, {}});
  ReadLedger out;
  out.cluster_state = std::make_unique<ClusterState>(teams, max_record_bytes(entry_bytes()));
  LedgerReader reader(*out.cluster_state, supported_versions_.least, supported_versions_.most);
  std::string from;
  for (bool first = true;; first = false) {
    EntryPage page;
    while (store.list_entries(kLedgerPrefix, from, page) != StoreStatus::ok)
      if (stop.stop_requested() || !again() || !pause_for(stop, kAskAgain)) return std::nullopt;
    if (first) out.revision = page.revision;
    bool readable = true;
    for (auto& row : page.rows) {
      from = row.key;
      readable = readable && reader.add_entry(std::move(row));
    }
    if (readable && !page.truncated) readable = reader.finish();
    if (!readable) {
      unreadable = reader.error();
      return std::nullopt;
    }
    if (!page.truncated) break;
  }
  out.entries = reader.entries();
  out.contents = std::move(reader).contents();
  return out;
}

bool Controller::recover(StoreClient& store, std::stop_token stop, std::uint64_t number) {
  const double began = steady_now();
  const auto goes_on = [&] {
    Lock lock(mutex_);
    return term_number_ == number;
  };
  std::optional<ReadLedger> ledger;
  {
    Lock lock(mutex_);
    if (term_number_ != number) return false;
    ledger = std::exchange(term_->read, std::nullopt);
  }
  // Read before it took the lead: as it is, unless another one led in between.
  if (ledger) {
    bool changed = true;
    while (store.has_changed(kLedgerPrefix, ledger->revision, changed) != StoreStatus::ok)
      if (!goes_on() || !pause_for(stop, kAskAgain)) return false;
    if (changed) ledger.reset();
  }
  std::string unreadable;
  if (!ledger) ledger = read_ledger(store, stop, goes_on, unreadable);
  if (!ledger) {
    if (unreadable.empty()) return false;
    hand_back_unreadable_ledger(unreadable);
    pause_for(stop, kReadAgain);
    return false;
  }
  Lock lock(mutex_);
  if (term_number_ != number) return false;
  unread_since_ = 0;
  const auto entries = ledger->entries;
  term_->first_of_all = entries == 0;
  term_->ledger_writer = LedgerWriter(std::move(ledger->contents), term_->format_version.writes());
  term_->cluster_state = std::move(ledger->cluster_state);
  for (const auto& [name, at] : early_answers_)
    term_->cluster_state->node(term_->cluster_state->find_or_add_node(name)).agent.last_answered_at = at;
  early_answers_.clear();
  partition_lease_.revoke();
  queue_.clear();
  users_wait_ = false;
  accepting_.clear();
  term_->cluster_state->failure_attribution().take_verdicts();  // what was judged then was told then
  role_ = Role::leading;
  if (const auto p = term_->cluster_state->dependency_graph().counts(); p.unresolved_names > 0)
    spdlog::error("{} jobs that others wait for are not in the ledger: what waits for them does not start", p.unresolved_names);
  spdlog::info("ledger read: {} entries, {} live jobs, {:.0f} ms after the takeover", entries, term_->cluster_state->live().size(),
               (steady_now() - began) * 1000);
  role_changed_.notify_all();
  applied_.notify_all();
  request_pass();
  return true;
}

bool Controller::commit(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  const auto ops = static_cast<std::size_t>(settings_.txn_ops) / shrunk_;
  const LedgerWriter::Limits limits{entry_bytes(), std::max<std::size_t>(2, std::min<std::size_t>(ops - 1, 6)), ops,
                                    write_limiter_.length_factor(entry_bytes())};
  await_write(lock, stop, false);
  if (stop.stop_requested() || term_number_ != number) return false;
  Term& term = *term_;
  term.rewrote_at = steady_now();
  auto pending_commit = term.ledger_writer.prepare_commit(*term.cluster_state, queue_, limits);
  for (const auto& what : pending_commit.too_large) spdlog::error("a ledger record fits into no entry: {}", what);
  commit_at_ = 0;
  if (queue_.empty()) users_wait_ = false;
  if (pending_commit.changes() == 0) return true;
  // The first entry of all hangs on nothing but the lead.
  const bool on_lead_alone = std::all_of(pending_commit.conditions.begin(), pending_commit.conditions.end(),
                                         [](const Condition& c) { return c.mod_revision == 0; });
  pending_commit.conditions.insert(pending_commit.conditions.begin(), {term.key(), term.fencing_token});
  const auto body = txn_body(pending_commit.conditions, pending_commit.puts, pending_commit.removes);
  std::size_t largest = 0;
  for (const auto& p : pending_commit.puts) largest = std::max(largest, p.value.size());
  const std::string leader_key = term.key(), last_key = pending_commit.puts.empty() ? leader_key : pending_commit.puts.back().key;
  committing_ = true;
  lock.unlock();
  charge_writes(pending_commit.changes());
  const double began = steady_now();
  std::uint64_t mod_revision = 0;
  bool in_doubt = false;  // an earlier try of it has no answer
  for (;;) {
    std::vector<std::string> failed;
    auto status = store.commit(body, mod_revision, failed);
    if (status == StoreStatus::in_doubt) in_doubt = true;
    if (status == StoreStatus::refused)
      spdlog::error("the state service refused a transaction of {} bytes, {} changes, largest value {} bytes", body.size(),
                    pending_commit.changes(), largest);
    // Refused after its limits were lowered, an earlier try may yet have been applied before.
    if (status == StoreStatus::conflict || (status == StoreStatus::refused && in_doubt)) {
      const bool deposed = std::find(failed.begin(), failed.end(), leader_key) != failed.end();
      Row row;
      // An earlier try of the same transaction may have been applied without an answer: the entry tells.
      const auto got = deposed ? StoreStatus::missing : store.get(last_key, row);
      if (got == StoreStatus::ok) {
        if (!pending_commit.puts.empty() && is_as_written(pending_commit.puts.back(), row.value)) {
          mod_revision = row.mod_revision;
          status = StoreStatus::ok;
        }
        if (status != StoreStatus::ok && status != StoreStatus::refused) {
          lock.lock();
          if (term_number_ == number) step_down(lock, "the ledger holds what it did not write");
          return false;
        }
      } else if (status == StoreStatus::conflict && (deposed || got == StoreStatus::missing)) {
        lock.lock();
        if (term_number_ == number) step_down(lock, "the ledger has another leader");
        return false;
      }
    }
    if (status == StoreStatus::refused) {
      lock.lock();
      if (term_number_ != number) return false;
      if (!shrink_writes()) {
        step_down(lock, "the state service refused a transaction");
        return false;
      }
      // In smaller pieces, in the same order.
      queue_.insert(queue_.begin(), std::make_move_iterator(pending_commit.batch.begin()),
                    std::make_move_iterator(pending_commit.batch.end()));
      users_wait_ = true;
      return false;
    }
    if (status == StoreStatus::ok) break;
    lock.lock();
    if (term_number_ != number) return false;
    if (store_failing_since_ == 0) {
      store_failing_since_ = steady_now();
      spdlog::info("the ledger can't be written");
    }
    lock.unlock();
    if (!pause_for(stop, 0.15)) {
      lock.lock();
      return false;
    }
    lock.lock();
    const bool ours = term_number_ == number;
    lock.unlock();
    if (!ours) {
      lock.lock();
      return false;
    }
  }
  lock.lock();
  if (term_number_ != number) return false;
  if (store_failing_since_ != 0) {
    spdlog::info("the ledger is written again, after {:.1f} s", steady_now() - store_failing_since_);
    store_failing_since_ = 0;
  }
  term.ledger_writer.record_committed(pending_commit, mod_revision);
  // An earlier try of it may be carried out late, when that entry is gone again: fenced by a higher epoch.
  if (in_doubt && on_lead_alone) term.raise_token_requested = true;
  auto& batch = pending_commit.batch;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    auto& q = batch[i];
    const auto jobs = term.cluster_state->job_count();
    if (const auto* accept = std::get_if<JobAcceptedRecord>(&q.record)) accepting_.erase(accept->job.uid);
    if (const auto* start = std::get_if<TasksStartedRecord>(&q.record)) {
      record_starts(*start);
      start_stall_detector_.record_started();
      if (!std::exchange(term.started, true)) spdlog::info("first start {:.1f} s after the takeover", steady_now() - term.taken_over_at);
    }
    if (const auto* done = std::get_if<TasksCompletedRecord>(&q.record)) {
      for (const auto& r : done->tasks) counters_.finished += r.last - r.first;
      release_rate_.add(cores_on_plain_machines(*term.cluster_state, *done), steady_now());
    }
    service_levels_.before_apply(q.record, *term.cluster_state);
    term.cluster_state->apply(q.record);
    service_levels_.after_apply(q.record, *term.cluster_state, wall_now());
    if (const auto* cancel = std::get_if<JobCancelledRecord>(&q.record))
      if (const JobIndex j = term.cluster_state->find(cancel->uid); j.valid()) term.cluster_state->job(j).cancelled_at = steady_now();
    if (term.cluster_state->job_count() > jobs)
      term.ledger_writer.record_first_entry(pending_commit.batch_entries[i], JobIndex{static_cast<std::uint32_t>(jobs)});
    if (const auto fact = LedgerCompactor::singleton_of(q.record, *term.cluster_state))
      term.ledger_writer.record_first_entry(pending_commit.batch_entries[i], *fact);
    applied_ticket_ = q.ticket;
  }
  log_verdicts();
  ++counters_.commits;
  counters_.commit_seconds = counters_.commit_seconds + (steady_now() - began);
  request_pass();
  return true;
}

bool Controller::shrink_writes() {
  const auto next = shrunk_ * 2;
  if (settings_.value_kb / next < kLeastValueKb || settings_.txn_ops / next < kLeastOps) return false;
  shrunk_ = next;
  spdlog::error("entries and transactions are kept to a {}th of what the settings allow", shrunk_);
  return true;
}

void Controller::hand_back_unreadable_ledger(const std::string& why) {
  Lock lock(mutex_);
  if (role_ != Role::recovering) return;
  spdlog::error("{}", why);
  const double now = steady_now();
  const bool again = unread_since_ != 0;
  if (!again) unread_since_ = now;
  // Nobody else could read it either: for the workers' leases one keeps the lead for a while, and then lets others try.
  if (again && now < term_->taken_over_at + kKeepUnread) return;
  term_->hand_over = "it can't read the ledger";
}

// A higher epoch of the same term: commands sent under the lower one are refused by every worker that has seen it.
bool Controller::raise_fencing_token(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  await_write(lock, stop, true);
  if (term_number_ != number) return false;
  const auto old = term_->fencing_token;
  const auto step = rollout::raise_token_step(term_->format_version, {settings_.label, incarnation_}, old, term_->session_lease);
  const std::string key = term_->key();
  charge_writes(1);
  term_->lead_in_doubt = true;
  lock.unlock();
  std::uint64_t fencing_token = 0;
  std::vector<std::string> failed;
  auto status = store.commit(step.body(), fencing_token, failed);
  bool deposed = status == StoreStatus::refused;
  if (status == StoreStatus::conflict) {
    Row row;
    const auto got = store.get(key, row);
    if (got == StoreStatus::ok) {
      try {
        if (parse_leader(row.value).incarnation == incarnation_ && row.mod_revision > old) {
          fencing_token = row.mod_revision;
          status = StoreStatus::ok;
        } else {
          deposed = true;
        }
      } catch (const std::exception&) {
        deposed = true;
      }
    } else if (got == StoreStatus::missing) {
      deposed = true;
    }
  }
  if (!deposed && status != StoreStatus::ok) pause_for(stop, 0.2);
  lock.lock();
  if (term_number_ != number) return false;
  if (deposed) {
    step_down(lock, "the leader's key is another's");
    return false;
  }
  if (status != StoreStatus::ok) return false;
  term_->fencing_token = fencing_token;
  term_->raise_token_requested = term_->lead_in_doubt = false;
  term_->token_raised_at = steady_now();
  observe_leader(fencing_token, settings_.label);
  spdlog::info("epoch raised to {} to fence commands in doubt", fencing_token);
  return true;
}

}  // namespace thistlefront
