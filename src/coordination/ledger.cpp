// The ledger: a sequence of entries in the state service, written by the leader alone. Many records go in one
// transaction; each transaction is conditional on the leader's stamp, so that a deposed leader's late one fails.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/controller.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {

constexpr const char* kLedgerPrefix = "ledger/";
constexpr double kWriteShare = 0.85;  // of the service's writes that the leader uses
constexpr double kWriteBurst = 0.7;  // seconds' worth of them that may be made at once
constexpr double kUsersShare = 0.35; // of those, kept for records that users wait for
constexpr double kLingerWrites = 2.5;           // records that can wait do so for the time of this many writes
constexpr std::size_t kEndedInRecord = 100;
constexpr std::size_t kRemovesACommit = 2;

std::string entry_key(std::uint64_t n) {
  auto digits = std::to_string(n);
  return kLedgerPrefix + std::string(12 - std::min<std::size_t>(12, digits.size()), '0') + digits;
}

double cores_on_plain_machines(const Book& book, const DoneRecord& done) {
  const JobIdx j = book.find(done.uid);
  if (!j.valid()) return 0;
  const Job& job = book.job(j);
  double cores = 0;
  for (const auto& range : done.tasks) {
    for (auto it = job.placed.lower_bound(range.first); it != job.placed.end() && it->first < range.last; ++it) {
      const Flavor* f = book.flavor(book.host(it->second.host).kind);
      if (f && f->room.accelerators <= 0) cores += job.spec.need.cores;
    }
  }
  return cores;
}

}  // namespace

std::uint64_t Controller::enqueue(std::vector<Record> records, Haste haste) {
  const double at = steady_now() + (haste == Haste::soon ? kLingerWrites / write_rate() : 0);
  commit_at_ = queue_.empty() ? at : std::min(commit_at_, at);
  if (haste == Haste::user) users_wait_ = true;
  for (auto& r : records) queue_.push_back({std::move(r), ++tickets_});
  queue_filled_.notify_all();
  return tickets_;
}

bool Controller::wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s) {
  const auto term = term_number_;
  applied_.wait_for(lock, std::chrono::duration<double>(timeout_s),
                    [&] { return term_number_ != term || applied_ticket_ >= ticket; });
  return term_number_ == term && applied_ticket_ >= ticket;
}

double Controller::write_rate() const { return settings_.state_write_rps * kWriteShare; }

void Controller::await_write(Lock& lock, std::stop_token stop, bool for_users) {
  const auto number = term_number_;
  const double rate = write_rate(), burst = std::max(1.0, rate * kWriteBurst);
  while (!stop.stop_requested() && term_number_ == number) {
    const double now = steady_now();
    write_tokens_ = std::min(burst, write_tokens_ + (now - write_tokens_at_) * rate);
    write_tokens_at_ = now;
    const bool users = for_users || users_wait_;
    const double enough = users ? 1 : std::max(1.0, burst * kUsersShare);
    if (write_tokens_ >= enough) return;
    queue_filled_.wait_for(lock, stop, std::chrono::duration<double>((enough - write_tokens_) / rate),
                           [&] { return term_number_ != number || (users_wait_ && !users); });
  }
}

void Controller::note_starts(const StartRecord& start) {
  const JobIdx j = term_->book->find(start.uid);
  if (!j.valid() || term_->book->job(j).ended()) return;
  const Job& job = term_->book->job(j);
  const auto& named = settings_.objectives;
  const bool known = std::any_of(named.begin(), named.end(), [&](const auto& o) { return o.job_class == job.spec.job_class; });
  // One for each start: a job's tasks that start together waited alike.
  start_waits_[known ? job.spec.job_class : "other"].add(wall_now() - job.accepted_at);
}

void Controller::tell_blame() {
  Book& book = *term_->book;
  for (const auto& n : book.blame().take_news()) {
    const std::string& uid = book.job(n.job).uid;
    const double pause = std::max(0.0, n.until - wall_now());
    switch (n.what) {
      case Blame::News::What::suspected:
        ++counters_.suspected;
        spdlog::info("{}: suspected, it failed on {} machines and succeeded on none; tries with one task", uid, n.count);
        break;
      case Blame::News::What::cleared: spdlog::info("{}: no longer suspected, a task of it succeeded", uid); break;
      case Blame::News::What::set_aside:
        ++counters_.set_aside;
        spdlog::info("{}: set aside for {:.0f} s, several jobs failed there, the last one {}", book.host(n.host).name,
                     pause, uid);
        break;
      case Blame::News::What::acquitted:
        spdlog::info("{}: in use again, by what is known now of {}", book.host(n.host).name, uid);
        break;
    }
  }
}

void Controller::charge_writes(std::size_t changes) {
  write_tokens_ -= static_cast<double>(changes);
  counters_.writes += changes;
}

void Controller::ledger_duty(std::stop_token stop) {
  StoreClient store(settings_.state);
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
      const auto due = [&] {
        return term_number_ != number || (term_ && term_->bump_wanted) || (!queue_.empty() && steady_now() >= commit_at_);
      };
      // First for something to write, then for the moment when it must go: with one wait for both, a record that can
      // wait a little would wait for the next one to come (a gang's end, told late on a quiet machine).
      queue_filled_.wait(lock, stop, [&] {
        return term_number_ != number || (term_ && term_->bump_wanted) || !queue_.empty();
      });
      if (!stop.stop_requested() && !due())
        queue_filled_.wait_for(lock, stop, std::chrono::duration<double>(std::max(commit_at_ - steady_now(), 0.001)), due);
      if (stop.stop_requested() || term_number_ != number) break;
      if (!due()) continue;
      if (term_->bump_wanted && !bump_epoch(store, stop, lock)) continue;
      if (term_number_ != number) break;
      if (!queue_.empty()) {
        commit(store, stop, lock);
        committing_ = false;
        applied_.notify_all();
      }
    }
  }
}

bool Controller::recover(StoreClient& store, std::stop_token stop, std::uint64_t number) {
  std::vector<Team> teams;
  for (const auto& t : settings_.teams) teams.push_back({t.name, t.guarantee, t.limit, {}});
  auto book = std::make_unique<Book>(teams);
  const double began = steady_now();
  std::uint64_t seq = 0, next = 0, first = UINT64_MAX;
  std::size_t entries = 0, known = 0;
  Rewriter rewriter;
  std::string from;
  for (;;) {
    {
      Lock lock(mutex_);
      if (term_number_ != number || stop.stop_requested()) return false;
    }
    EntryPage page;
    if (store.entries(kLedgerPrefix, from, page) != StoreStatus::ok) {
      if (!pause_for(stop, 0.2)) return false;
      continue;
    }
    for (const auto& row : page.rows) {
      try {
        const auto n = std::stoull(row.key.substr(std::string(kLedgerPrefix).size()));
        if (!row.unreadable.empty()) throw Malformed(row.unreadable);
        const auto& entry = row.entry;
        for (const auto& r : entry.records) {
          book->apply(r);
          if (std::holds_alternative<FlavorsRecord>(r)) rewriter.begins(n, JobIdx{});
        }
        for (; known < book->job_count(); ++known) rewriter.begins(n, JobIdx{static_cast<std::uint32_t>(known)});
        seq = std::max(seq, entry.seq);
        next = n + 1;
        first = std::min<std::uint64_t>(first, n);
        ++entries;
      } catch (const std::exception& e) {
        // Going on without it could lose an accepted job: the leader stays in recovery, and says why.
        spdlog::error("ledger entry {} can't be read: {}", row.key, e.what());
        return false;
      }
      from = row.key;
    }
    if (!page.truncated) break;
  }
  Lock lock(mutex_);
  if (term_number_ != number) return false;
  // The tail found here is left as it is; this leader's records go into entries of its own.
  term_->next_entry = next;
  term_->seq = seq;
  term_->tail_stamp = 0;
  term_->tail.clear();
  term_->first_of_all = entries == 0;
  term_->first_entry = first == UINT64_MAX ? 0 : first;
  term_->rewriter = std::move(rewriter);
  term_->book = std::move(book);
  for (const auto& [name, at] : early_answers_) term_->book->host(term_->book->host_named(name)).answered_at = at;
  early_answers_.clear();
  queue_.clear();
  users_wait_ = false;
  accepting_.clear();
  term_->book->blame().take_news();  // what was judged then was told then
  role_ = Role::leading;
  spdlog::info("ledger read: {} entries, {} live jobs, {:.0f} ms", entries, term_->book->live().size(),
               (steady_now() - began) * 1000);
  role_changed_.notify_all();
  want_pass();
  return true;
}

bool Controller::commit(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  const auto value_limit = static_cast<std::size_t>(settings_.value_kb * 1024 * 0.9);
  const auto most_puts = std::max<std::size_t>(2, std::min<std::size_t>(settings_.txn_ops - 1, 6));
  await_write(lock, stop, false);
  if (stop.stop_requested() || term_number_ != number || queue_.empty()) return false;
  Term& term = *term_;
  // The newest entry is written anew with more records until it is full; then the next one begins.
  struct Entry {
    std::uint64_t n, stamp;
    std::string records;
  };
  std::vector<Entry> entries{{term.tail_stamp ? term.next_entry - 1 : term.next_entry, term.tail_stamp, term.tail}};
  const auto fit = [&](const std::string& text) {
    if (text.size() + 64 > value_limit)
      spdlog::error("a ledger record of {} bytes fits into no entry: {}", text.size(), text.substr(0, 60));
    auto& last = entries.back();
    if (!last.records.empty() && last.records.size() + text.size() + 64 > value_limit) {
      if (entries.size() >= most_puts) return false;
      entries.push_back({last.n + 1, 0, {}});
    }
    auto& to = entries.back().records;
    if (!to.empty()) to += ',';
    to += text;
    return true;
  };
  // First what is written anew: it is true at this point of the ledger, before the records that follow.
  auto rewrites = term.rewriter.next(*term.book, term.first_entry, term.next_entry, value_limit);
  std::vector<std::uint64_t> rewritten_in;
  EndedRecord ended[2] = {{JobStatus::done, {}}, {JobStatus::aborted, {}}};
  bool all_fit = true;
  const auto join = [&](EndedRecord& e) {
    if (!e.uids.empty()) all_fit = fit(encode_record(e)) && all_fit;
    e.uids.clear();
  };
  // Ended jobs are joined into few records; where these do not fit, nothing counts as written anew.
  std::stable_partition(rewrites.begin(), rewrites.end(),
                        [](const Rewriter::Item& r) { return std::holds_alternative<EndedRecord>(r.record); });
  for (auto& r : rewrites) {
    if (const auto* e = std::get_if<EndedRecord>(&r.record)) {
      auto& to = ended[e->status == JobStatus::aborted];
      to.uids.push_back(e->uids.front());
      if (to.uids.size() >= kEndedInRecord) join(to);
      rewritten_in.push_back(entries.back().n);
      continue;
    }
    if (!fit(encode_record(r.record))) break;
    rewritten_in.push_back(entries.back().n);
  }
  join(ended[0]);
  join(ended[1]);
  if (!all_fit) rewritten_in.clear();
  std::vector<Queued> batch;
  std::vector<std::uint64_t> batch_in;
  while (!queue_.empty()) {
    if (!fit(encode_record(queue_.front().record))) break;
    batch.push_back(std::move(queue_.front()));
    batch_in.push_back(entries.back().n);
    queue_.pop_front();
  }
  commit_at_ = 0;
  if (queue_.empty()) users_wait_ = false;
  // A tail already full needs no rewriting.
  if (entries.size() > 1 && entries.front().records.size() == term.tail.size()) entries.erase(entries.begin());
  // The oldest entries in which no job begins any more.
  const auto oldest_needed = term.rewriter.oldest_needed(term.next_entry);
  std::vector<std::string> removes;
  auto first_entry = term.first_entry;
  while (first_entry < std::min(oldest_needed, entries.front().n) && removes.size() < kRemovesACommit &&
         entries.size() + removes.size() < settings_.txn_ops)
    removes.push_back(entry_key(first_entry++));
  const auto seq = term.seq + 1;
  std::vector<Condition> conditions{{kLeaderKey, term.epoch}};
  std::vector<Put> puts;
  for (const auto& e : entries) {
    conditions.push_back({entry_key(e.n), e.stamp});
    puts.push_back({entry_key(e.n), entry_value(seq, e.records), 0});
  }
  const auto body = txn_body(conditions, puts, removes);
  const auto last_key = puts.back().key;
  committing_ = true;
  lock.unlock();
  charge_writes(puts.size() + removes.size());
  const double began = steady_now();
  std::uint64_t stamp = 0;
  for (;;) {
    std::vector<std::string> failed;
    auto status = store.txn(body, stamp, failed);
    if (status == StoreStatus::conflict) {
      const bool deposed = std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end();
      Row row;
      // An earlier try of the same transaction may have been applied without an answer: the entry tells.
      const auto got = deposed ? StoreStatus::missing : store.get(last_key, row);
      if (got == StoreStatus::ok) {
        try {
          if (parse_entry(row.value).seq == seq) {
            stamp = row.stamp;
            status = StoreStatus::ok;
          }
        } catch (const std::exception& e) {
          spdlog::error("ledger entry {}: {}", last_key, e.what());
        }
        if (status != StoreStatus::ok) {
          lock.lock();
          if (term_number_ == number) step_down(lock, "the ledger holds what it did not write");
          return false;
        }
      } else if (deposed || got == StoreStatus::missing) {
        lock.lock();
        if (term_number_ == number) step_down(lock, "the ledger has another leader");
        return false;
      }
    } else if (status == StoreStatus::refused) {
      lock.lock();
      if (term_number_ == number) step_down(lock, "the state service refused a transaction");
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
  term.seq = seq;
  term.tail = std::move(entries.back().records);
  term.tail_stamp = stamp;
  term.next_entry = entries.back().n + 1;
  term.first_entry = first_entry;
  term.rewriter.written(rewrites, rewritten_in);
  for (std::size_t i = 0; i < batch.size(); ++i) {
    auto& q = batch[i];
    const auto jobs = term.book->job_count();
    if (const auto* accept = std::get_if<AcceptRecord>(&q.record)) accepting_.erase(accept->job.uid);
    if (const auto* start = std::get_if<StartRecord>(&q.record)) {
      note_starts(*start);
      start_due_since_ = 0;
      stall_told_ = false;
      if (!std::exchange(term.started, true))
        spdlog::info("first start {:.1f} s after the takeover", steady_now() - term.taken_over_at);
    }
    if (const auto* done = std::get_if<DoneRecord>(&q.record)) {
      for (const auto& r : done->tasks) counters_.finished += r.last - r.first;
      turnover_.add(cores_on_plain_machines(*term.book, *done), steady_now());
    }
    term.book->apply(q.record);
    if (const auto* cancel = std::get_if<CancelRecord>(&q.record))
      if (const JobIdx j = term.book->find(cancel->uid); j.valid()) term.book->job(j).cancelled_at = steady_now();
    if (term.book->job_count() > jobs) term.rewriter.begins(batch_in[i], JobIdx{static_cast<std::uint32_t>(jobs)});
    if (std::holds_alternative<FlavorsRecord>(q.record)) term.rewriter.begins(batch_in[i], JobIdx{});
    applied_ticket_ = q.ticket;
  }
  tell_blame();
  ++counters_.commits;
  counters_.commit_seconds = counters_.commit_seconds + (steady_now() - began);
  want_pass();
  return true;
}

// A higher epoch of the same term: commands sent under the lower one are refused by every worker that has seen it.
bool Controller::bump_epoch(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  await_write(lock, stop, true);
  if (term_number_ != number) return false;
  const auto old = term_->epoch;
  const auto body = txn_body({{kLeaderKey, old}},
                             {{kLeaderKey, leader_value({settings_.label, incarnation_}), term_->hold}}, {});
  charge_writes(1);
  lock.unlock();
  std::uint64_t epoch = 0;
  std::vector<std::string> failed;
  auto status = store.txn(body, epoch, failed);
  bool deposed = status == StoreStatus::refused;
  if (status == StoreStatus::conflict) {
    Row row;
    const auto got = store.get(kLeaderKey, row);
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
  term_->bump_wanted = false;
  term_->bumped_at = steady_now();
  learn(epoch, settings_.label);
  spdlog::info("epoch raised to {} to fence commands in doubt", epoch);
  return true;
}

}  // namespace thistle
