// The ledger: a sequence of entries in the state service, written by the leader alone. Many records go in one
// transaction; each transaction is conditional on the leader's stamp, so that a deposed leader's late one fails.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/controller.hpp"
#include "ledger/reader.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {

constexpr double kLingerWrites = 2.5;  // records that can wait do so for the time of this many writes
constexpr double kRewriteShare = 0.2;  // of the writes: for entries of another level, while nothing else is to be written
constexpr double kLeastValueKb = 1;
constexpr std::size_t kLeastOps = 4;
constexpr double kReadAgain = 1.0;   // seconds
constexpr double kAskAgain = 0.1;    // where the state service does not answer
constexpr double kKeepUnread = 8.0;  // so long one keeps the lead that can't read, where nobody can

double cores_on_plain_machines(const Book& book, const DoneRecord& done) {
  const JobIdx j = book.find(done.uid);
  if (!j.valid()) return 0;
  const Job& job = book.job(j);
  double cores = 0;
  for (const auto& range : done.tasks) {
    for (auto it = job.placed.lower_bound(range.first); it != job.placed.end() && it->first < range.last; ++it) {
      const Flavor* f = book.flavor(book.host(it->second.host).machine_type);
      if (f && f->capacity.accelerators <= 0) cores += job.spec.demand.cores;
    }
  }
  return cores;
}

}  // namespace

std::uint64_t Controller::enqueue(std::vector<Record> records, Haste haste) {
  const double at = steady_now() + (haste == Haste::soon ? kLingerWrites / writes_.rate() : 0);
  commit_at_ = queue_.empty() ? at : std::min(commit_at_, at);
  if (haste == Haste::user) users_wait_ = true;
  for (auto& r : records)
    if (!join_ends(queue_, r)) queue_.push_back({std::move(r), ++tickets_});
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
    const double wait = writes_.delay_s(steady_now(), users);
    if (wait == 0) return;
    queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(wait),
                           [&] { return term_number_ != number || (users_wait_ && !users); });
  }
}

void Controller::note_starts(const StartRecord& start) {
  const JobIdx j = term_->book->find(start.uid);
  if (!j.valid() || term_->book->job(j).ended()) return;
  const Job& job = term_->book->job(j);
  if (job.attempts == 0)
    spdlog::debug("{}: begins, {} {} of {} tasks, after {:.1f} s", job.uid, job.spec.job_class,
                  job.spec.shape == Shape::group ? "gang" : "job", job.tasks.size(), wall_now() - job.eligible_since);
  if (term_->within.contains(j)) guarantee_waits_.add(wall_now() - job.eligible_since);
  // One for each start: a job's tasks that start together waited alike.
  start_waits_[served_.class_label(job.spec.job_class)].add(wall_now() - job.eligible_since);
}

void Controller::tell_blame() {
  Book& book = *term_->book;
  for (const auto& n : book.blame().take_verdicts()) {
    const std::string& uid = book.job(n.job).uid;
    const double pause = std::max(0.0, n.until - wall_now());
    switch (n.kind) {
      case Blame::Verdict::Kind::suspected:
        ++counters_.suspected;
        spdlog::info("{}: suspected, it failed on {} machines and succeeded on none; tries with one task", uid, n.count);
        break;
      case Blame::Verdict::Kind::cleared: spdlog::info("{}: no longer suspected, a task of it succeeded", uid); break;
      case Blame::Verdict::Kind::cordoned:
        ++counters_.set_aside;
        spdlog::info("{}: set aside for {:.0f} s, several jobs failed there, the last one {}", book.host(n.host).name, pause, uid);
        break;
      case Blame::Verdict::Kind::uncordoned:
        spdlog::info("{}: in use again, by what is known now of {}", book.host(n.host).name, uid);
        break;
    }
  }
}

void Controller::charge_writes(std::size_t changes) {
  writes_.charge(static_cast<double>(changes));
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
      const double rewrite_period = 1 / (writes_.rate() * kRewriteShare);
      const auto rewrite_due = [&] { return term_->tail.has_old_entries() && steady_now() >= term_->rewrote_at + rewrite_period; };
      const auto due = [&] {
        return term_number_ != number || (term_ && (term_->bump_wanted || term_->step || rewrite_due())) ||
               (!queue_.empty() && steady_now() >= commit_at_);
      };
      // First for something to write, then for the moment when it must go: with one wait for both, a record that can
      // wait a little would wait for the next one to come (a gang's end, told late on a quiet machine).
      const auto something = [&] {
        return term_number_ != number || (term_ && (term_->bump_wanted || term_->step || rewrite_due())) || !queue_.empty();
      };
      if (term_->tail.has_old_entries()) {
        queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(rewrite_period), something);
      } else {
        queue_filled_.wait(lock, stop, something);
      }
      if (!stop.stop_requested() && !due())
        queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(std::max(commit_at_ - steady_now(), 0.001)), due);
      if (stop.stop_requested() || term_number_ != number) break;
      if (!due()) continue;
      if (term_->bump_wanted && !bump_epoch(store, stop, lock)) continue;
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
  out.book = std::make_unique<Book>(teams, most_record_bytes(entry_bytes()));
  Reader reader(*out.book, able_.least, able_.most);
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
    give_back_unread(unreadable);
    pause_for(stop, kReadAgain);
    return false;
  }
  Lock lock(mutex_);
  if (term_number_ != number) return false;
  unread_since_ = 0;
  const auto entries = ledger->entries;
  term_->first_of_all = entries == 0;
  term_->tail = Tail(std::move(ledger->contents), term_->level.writes());
  term_->book = std::move(ledger->book);
  for (const auto& [name, at] : early_answers_) term_->book->host(term_->book->host_named(name)).agent.last_answered_at = at;
  early_answers_.clear();
  custody_.revoke();
  queue_.clear();
  users_wait_ = false;
  accepting_.clear();
  term_->book->blame().take_verdicts();  // what was judged then was told then
  role_ = Role::leading;
  if (const auto p = term_->book->pipelines().counts(); p.unresolved_names > 0)
    spdlog::error("{} jobs that others wait for are not in the ledger: what waits for them does not start", p.unresolved_names);
  spdlog::info("ledger read: {} entries, {} live jobs, {:.0f} ms after the takeover", entries, term_->book->live().size(),
               (steady_now() - began) * 1000);
  role_changed_.notify_all();
  applied_.notify_all();
  want_pass();
  return true;
}

bool Controller::commit(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  const auto ops = static_cast<std::size_t>(settings_.txn_ops) / shrunk_;
  const Tail::Limits limits{entry_bytes(), std::max<std::size_t>(2, std::min<std::size_t>(ops - 1, 6)), ops,
                            writes_.log_factor(entry_bytes())};
  await_write(lock, stop, false);
  if (stop.stop_requested() || term_number_ != number) return false;
  Term& term = *term_;
  term.rewrote_at = steady_now();
  auto draft = term.tail.prepare_commit(*term.book, queue_, limits);
  for (const auto& what : draft.too_large) spdlog::error("a ledger record fits into no entry: {}", what);
  commit_at_ = 0;
  if (queue_.empty()) users_wait_ = false;
  if (draft.changes() == 0) return true;
  // The first entry of all hangs on nothing but the lead.
  const bool on_lead_alone = std::all_of(draft.conditions.begin(), draft.conditions.end(), [](const Condition& c) { return c.stamp == 0; });
  draft.conditions.insert(draft.conditions.begin(), {term.key(), term.epoch});
  const auto body = txn_body(draft.conditions, draft.puts, draft.removes);
  std::size_t largest = 0;
  for (const auto& p : draft.puts) largest = std::max(largest, p.value.size());
  const std::string leader_key = term.key(), last_key = draft.puts.empty() ? leader_key : draft.puts.back().key;
  committing_ = true;
  lock.unlock();
  charge_writes(draft.changes());
  const double began = steady_now();
  std::uint64_t stamp = 0;
  bool in_doubt = false;  // an earlier try of it has no answer
  for (;;) {
    std::vector<std::string> failed;
    auto status = store.commit(body, stamp, failed);
    if (status == StoreStatus::in_doubt) in_doubt = true;
    if (status == StoreStatus::refused)
      spdlog::error("the state service refused a transaction of {} bytes, {} changes, largest value {} bytes", body.size(), draft.changes(),
                    largest);
    // Refused after its limits were lowered, an earlier try may yet have been applied before.
    if (status == StoreStatus::conflict || (status == StoreStatus::refused && in_doubt)) {
      const bool deposed = std::find(failed.begin(), failed.end(), leader_key) != failed.end();
      Row row;
      // An earlier try of the same transaction may have been applied without an answer: the entry tells.
      const auto got = deposed ? StoreStatus::missing : store.get(last_key, row);
      if (got == StoreStatus::ok) {
        if (!draft.puts.empty() && is_as_written(draft.puts.back(), row.value)) {
          stamp = row.stamp;
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
      queue_.insert(queue_.begin(), std::make_move_iterator(draft.batch.begin()), std::make_move_iterator(draft.batch.end()));
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
  term.tail.record_committed(draft, stamp);
  // An earlier try of it may be carried out late, when that entry is gone again: fenced by a higher epoch.
  if (in_doubt && on_lead_alone) term.bump_wanted = true;
  auto& batch = draft.batch;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    auto& q = batch[i];
    const auto jobs = term.book->job_count();
    if (const auto* accept = std::get_if<AcceptRecord>(&q.record)) accepting_.erase(accept->job.uid);
    if (const auto* start = std::get_if<StartRecord>(&q.record)) {
      note_starts(*start);
      start_watch_.record_started();
      if (!std::exchange(term.started, true)) spdlog::info("first start {:.1f} s after the takeover", steady_now() - term.taken_over_at);
    }
    if (const auto* done = std::get_if<DoneRecord>(&q.record)) {
      for (const auto& r : done->tasks) counters_.finished += r.last - r.first;
      turnover_.add(cores_on_plain_machines(*term.book, *done), steady_now());
    }
    served_.before_apply(q.record, *term.book);
    term.book->apply(q.record);
    served_.after_apply(q.record, *term.book, wall_now());
    if (const auto* cancel = std::get_if<CancelRecord>(&q.record))
      if (const JobIdx j = term.book->find(cancel->uid); j.valid()) term.book->job(j).cancelled_at = steady_now();
    if (term.book->job_count() > jobs) term.tail.record_first_entry(draft.batch_entries[i], JobIdx{static_cast<std::uint32_t>(jobs)});
    if (const auto fact = Rewriter::singleton_of(q.record, *term.book)) term.tail.record_first_entry(draft.batch_entries[i], *fact);
    applied_ticket_ = q.ticket;
  }
  tell_blame();
  ++counters_.commits;
  counters_.commit_seconds = counters_.commit_seconds + (steady_now() - began);
  want_pass();
  return true;
}

bool Controller::shrink_writes() {
  const auto next = shrunk_ * 2;
  if (settings_.value_kb / next < kLeastValueKb || settings_.txn_ops / next < kLeastOps) return false;
  shrunk_ = next;
  spdlog::error("entries and transactions are kept to a {}th of what the settings allow", shrunk_);
  return true;
}

void Controller::give_back_unread(const std::string& why) {
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
bool Controller::bump_epoch(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  await_write(lock, stop, true);
  if (term_number_ != number) return false;
  const auto old = term_->epoch;
  const auto step = rollout::raise_epoch(term_->level, {settings_.label, incarnation_}, old, term_->hold);
  const std::string key = term_->key();
  charge_writes(1);
  term_->lead_in_doubt = true;
  lock.unlock();
  std::uint64_t epoch = 0;
  std::vector<std::string> failed;
  auto status = store.commit(step.body(), epoch, failed);
  bool deposed = status == StoreStatus::refused;
  if (status == StoreStatus::conflict) {
    Row row;
    const auto got = store.get(key, row);
    if (got == StoreStatus::ok) {
      try {
        if (parse_leader(row.value).incarnation == incarnation_ && row.stamp > old) {
          epoch = row.stamp;
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
  term_->epoch = epoch;
  term_->bump_wanted = term_->lead_in_doubt = false;
  term_->bumped_at = steady_now();
  learn(epoch, settings_.label);
  spdlog::info("epoch raised to {} to fence commands in doubt", epoch);
  return true;
}

}  // namespace thistle
