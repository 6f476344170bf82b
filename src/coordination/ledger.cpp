// The ledger: a sequence of entries in the state service, written by the leader alone. Many records go in one
// transaction; each transaction is conditional on the leader's stamp, so that a deposed leader's late one fails.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/controller.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {

constexpr const char* kLedgerPrefix = "ledger/";
constexpr double kWriteShare = 0.7;  // of the service's writes that the leader uses
constexpr std::size_t kEntriesToSnapshot = 48;
constexpr std::size_t kSnapshotFactor = 4;

std::string entry_key(std::uint64_t n) {
  auto digits = std::to_string(n);
  return kLedgerPrefix + std::string(12 - std::min<std::size_t>(12, digits.size()), '0') + digits;
}

}  // namespace

std::uint64_t Controller::enqueue(std::vector<Record> records) {
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

void Controller::pace_writes(std::size_t puts, std::stop_token stop) {
  const double rate = settings_.state_write_rps * kWriteShare;
  const double now = steady_now();
  write_tokens_ = std::min(rate, write_tokens_ + (now - write_tokens_at_) * rate);
  write_tokens_at_ = now;
  write_tokens_ -= static_cast<double>(puts);
  if (write_tokens_ < 0) pause_for(stop, -write_tokens_ / rate);
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
      queue_filled_.wait(lock, stop, [&] {
        return term_number_ != number || !queue_.empty() || (term_ && term_->bump_wanted);
      });
      if (stop.stop_requested() || term_number_ != number) break;
      if (term_->bump_wanted && !bump_epoch(store, stop, lock)) continue;
      if (term_number_ != number) break;
      if (!queue_.empty() && !commit(store, stop, lock)) continue;
      // Written when the entries since the last one are several times what it would take.
      if (term_number_ == number && term_->entries > kEntriesToSnapshot + kSnapshotFactor * term_->snapshot_entries &&
          !snapshot(store, stop, lock))
        continue;
    }
  }
}

bool Controller::recover(StoreClient& store, std::stop_token stop, std::uint64_t number) {
  std::vector<Team> teams;
  for (const auto& t : settings_.teams) teams.push_back({t.name, t.guarantee, t.limit, {}});
  auto book = std::make_unique<Book>(teams);
  const double began = steady_now();
  std::uint64_t seq = 0, next = 0, first = UINT64_MAX;
  std::size_t entries = 0;
  std::string from;
  for (;;) {
    {
      Lock lock(mutex_);
      if (term_number_ != number || stop.stop_requested()) return false;
    }
    RowPage page;
    if (store.list(kLedgerPrefix, from, page) != StoreStatus::ok) {
      if (!pause_for(stop, 0.2)) return false;
      continue;
    }
    for (const auto& row : page.rows) {
      try {
        const auto n = std::stoull(row.key.substr(std::string(kLedgerPrefix).size()));
        const auto entry = parse_entry(row.value);
        for (const auto& r : entry.records) book->apply(r);
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
  term_->entries = entries;
  term_->first_entry = first == UINT64_MAX ? 0 : first;
  term_->book = std::move(book);
  for (const auto& [name, at] : early_answers_) term_->book->host(term_->book->host_named(name)).answered_at = at;
  early_answers_.clear();
  queue_.clear();
  accepting_.clear();
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
  const auto most_puts = std::min<std::size_t>(settings_.txn_ops, 6);
  Term& term = *term_;
  // The newest entry is written anew with more records until it is full; then the next one begins.
  struct Entry {
    std::uint64_t n, stamp;
    std::string records;
  };
  std::vector<Entry> entries{{term.tail_stamp ? term.next_entry - 1 : term.next_entry, term.tail_stamp, term.tail}};
  std::vector<Queued> batch;
  while (!queue_.empty()) {
    auto text = encode_record(queue_.front().record);
    auto& last = entries.back();
    if (!last.records.empty() && last.records.size() + text.size() + 64 > value_limit) {
      if (entries.size() >= most_puts) break;
      entries.push_back({last.n + 1, 0, {}});
    }
    auto& to = entries.back().records;
    if (!to.empty()) to += ',';
    to += text;
    batch.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  // A tail already full needs no rewriting.
  if (entries.size() > 1 && entries.front().records.size() == term.tail.size()) entries.erase(entries.begin());
  const auto seq = term.seq + 1;
  std::vector<Condition> conditions{{kLeaderKey, term.epoch}};
  std::vector<Put> puts;
  for (const auto& e : entries) {
    conditions.push_back({entry_key(e.n), e.stamp});
    puts.push_back({entry_key(e.n), entry_value(seq, e.records), 0});
  }
  const auto body = txn_body(conditions, puts, {});
  const auto last_key = puts.back().key;
  lock.unlock();
  pace_writes(puts.size(), stop);
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
  term.entries += entries.back().n + 1 - term.next_entry;
  term.next_entry = entries.back().n + 1;
  for (auto& q : batch) {
    if (const auto* accept = std::get_if<AcceptRecord>(&q.record)) accepting_.erase(accept->job.uid);
    if (const auto* done = std::get_if<DoneRecord>(&q.record))
      for (const auto& r : done->tasks) counters_.finished += r.last - r.first;
    term.book->apply(q.record);
    applied_ticket_ = q.ticket;
  }
  ++counters_.commits;
  counters_.commit_seconds = counters_.commit_seconds + (steady_now() - began);
  applied_.notify_all();
  want_pass();
  return true;
}

// A higher epoch of the same term: commands sent under the lower one are refused by every worker that has seen it.
bool Controller::bump_epoch(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  const auto old = term_->epoch;
  const auto body = txn_body({{kLeaderKey, old}},
                             {{kLeaderKey, leader_value({settings_.label, incarnation_}), term_->hold}}, {});
  lock.unlock();
  pace_writes(1, stop);
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

// The snapshot is itself written as entries, behind those that it replaces, so that reading stays one pass in order:
// replaying an old entry before it is harmless. Only when all of it is in place do the old entries go, oldest first.
bool Controller::snapshot(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto number = term_number_;
  const auto records = term_->book->records();
  const auto value_limit = static_cast<std::size_t>(settings_.value_kb * 1024 * 0.9);
  const auto first_old = term_->first_entry, first_new = term_->next_entry;
  auto next = first_new;
  auto seq = term_->seq;
  lock.unlock();
  // Sends one transaction until its fate is known; false when it is not this leader's to make any more.
  const auto send = [&](const std::string& body, std::size_t changes, const std::string& probe, std::uint64_t& stamp) {
    pace_writes(changes, stop);
    for (;;) {
      std::vector<std::string> failed;
      auto status = store.txn(body, stamp, failed);
      if (status == StoreStatus::ok) return true;
      if (status == StoreStatus::refused) return false;
      if (status == StoreStatus::conflict) {
        if (std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end()) return false;
        Row row;
        try {
          return store.get(probe, row) == StoreStatus::ok && parse_entry(row.value).seq == seq;
        } catch (const Malformed& e) {
          spdlog::error("ledger entry {}: {}", probe, e.what());
          return false;
        }
      }
      if (!pause_for(stop, 0.2)) return false;
      Lock again(mutex_);
      if (term_number_ != number) return false;
    }
  };
  std::uint64_t epoch = 0, stamp = 0;
  // 0 when this leader's term is over
  const auto current_epoch = [&]() -> std::uint64_t {
    const std::lock_guard again(mutex_);
    if (term_number_ != number || !term_) return 0;
    return term_->epoch;
  };
  std::string text;
  bool ok = true;
  const auto flush = [&] {
    if (text.empty()) return;
    epoch = current_epoch();
    ++seq;
    const auto key = entry_key(next++);
    const std::vector<Condition> conditions{{kLeaderKey, epoch}, {key, 0}};
    const std::vector<Put> puts{{key, entry_value(seq, text), 0}};
    if (epoch == 0 || !send(txn_body(conditions, puts, {}), 1, key, stamp)) ok = false;
    text.clear();
  };
  for (const auto& r : records) {
    auto encoded = encode_record(r);
    if (!text.empty() && text.size() + encoded.size() + 64 > value_limit) flush();
    if (!ok) break;
    if (!text.empty()) text += ',';
    text += encoded;
  }
  if (ok) flush();
  lock.lock();
  if (term_number_ != number) return false;
  if (!ok) {
    if (!stop.stop_requested()) step_down(lock, "a snapshot could not be written");
    return false;
  }
  term_->seq = seq;
  term_->next_entry = next;
  term_->tail.clear();
  term_->tail_stamp = 0;
  term_->entries = term_->snapshot_entries = next - first_new;
  lock.unlock();
  const auto step = std::min<std::size_t>(settings_.txn_ops, 8);
  auto n = first_old;
  for (; n < first_new; n += step) {
    std::vector<std::string> removes;
    for (auto i = n; i < std::min<std::uint64_t>(n + step, first_new); ++i) removes.push_back(entry_key(i));
    epoch = current_epoch();
    if (epoch == 0) break;
    pace_writes(removes.size(), stop);
    std::vector<std::string> failed;
    if (store.txn(txn_body({{kLeaderKey, epoch}}, {}, removes), stamp, failed) != StoreStatus::ok) break;
  }
  lock.lock();
  if (term_number_ != number) return false;
  // Where this stopped short, the next snapshot goes on from here: what is left must always be a suffix. A gap would
  // leave an old acceptance without the ends that came after it, and the snapshot's own record would be passed over.
  term_->first_entry = std::min<std::uint64_t>(n, first_new);
  spdlog::info("ledger snapshot: {} entries replace {}", next - first_new, first_new - first_old);
  return true;
}

}  // namespace thistle
