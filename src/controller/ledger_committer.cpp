#include "controller/ledger_committer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "protocol/messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kRewriteFraction = 0.2;  // of the allowed writes, for rewriting entries of another format version
constexpr double kRetryPauseS = 0.15;
constexpr double kRecoveryPauseS = 0.2;
constexpr double kRaisePauseS = 0.2;
constexpr double kMinWaitS = 0.001;

// CPU cores that the completed tasks released on nodes without accelerators.
double released_cores(const ClusterState& cluster_state, const TasksCompletedRecord& completion) {
  const JobIndex index = cluster_state.find(completion.uid);
  if (!index.valid()) return 0;
  const Job& job = cluster_state.job(index);
  double cores = 0;
  for (const auto& range : completion.tasks) {
    for (auto it = job.placed.lower_bound(range.first); it != job.placed.end() && it->first < range.end; ++it) {
      const MachineType* type = cluster_state.machine_type(cluster_state.node(it->second.node).machine_type);
      if (type && type->capacity.accelerators <= 0) cores += job.spec.demand.cores;
    }
  }
  return cores;
}
}  // namespace

LedgerCommitter::LedgerCommitter(SharedState& shared, CommitQueue& commit_queue, LedgerRecovery& recovery, RolloutManager& rollout,
                                 ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), recovery_(recovery), rollout_(rollout), metrics_(metrics) {}

void LedgerCommitter::run(std::stop_token stop) {
  StoreClient store(shared_.config.settings.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  while (!stop.stop_requested()) {
    Lock lock(shared_.mutex);
    shared_.role_changed.wait(lock, stop, [&] { return shared_.role == Role::recovering; });
    if (stop.stop_requested()) return;
    const auto term = shared_.term_number;
    lock.unlock();
    if (!recovery_.recover(store, stop, term)) {
      if (!pause_for(stop, kRecoveryPauseS)) return;
      continue;
    }
    lock.lock();
    run_term(store, stop, lock, term);
  }
}

void LedgerCommitter::run_term(StoreClient& store, std::stop_token stop, Lock& lock, std::uint64_t term) {
  while (!stop.stop_requested() && shared_.is_term(term)) {
    if (!wait_for_due_work(lock, stop, term)) return;
    if (!has_urgent_change(term) && !is_rewrite_due() && !commit_queue_.is_due(steady_now())) continue;
    if (shared_.term->raise_token_requested && !raise_fencing_token(store, stop, lock)) continue;
    if (!shared_.is_term(term)) return;
    if (shared_.term->rollout_step && !rollout_.send_step(store, stop, lock)) continue;
    if (!shared_.is_term(term)) return;
    if (commit_queue_.is_due(steady_now()) || is_rewrite_due()) {
      commit(store, stop, lock);
      commit_queue_.set_committing(false);
      commit_queue_.notify_progress();
    }
  }
}

// Waits first for work, then until it is due. With a single wait for both, a deferrable record would not be committed before the
// next record is queued.
bool LedgerCommitter::wait_for_due_work(Lock& lock, std::stop_token stop, std::uint64_t term) {
  const auto has_work = [&] {
    return !shared_.is_term(term) || has_urgent_change(term) || is_rewrite_due() || !commit_queue_.records().empty();
  };
  const auto is_due = [&] {
    return !shared_.is_term(term) || has_urgent_change(term) || is_rewrite_due() || commit_queue_.is_due(steady_now());
  };
  if (shared_.term->ledger_writer.has_old_entries()) {
    commit_queue_.wait_for_work(lock, stop, rewrite_period_s(), has_work);
  } else {
    commit_queue_.wait_for_work(lock, stop, has_work);
  }
  if (!stop.stop_requested() && !is_due())
    commit_queue_.wait_for_work(lock, stop, std::max(commit_queue_.due_at() - steady_now(), kMinWaitS), is_due);
  return !stop.stop_requested() && shared_.is_term(term);
}

bool LedgerCommitter::has_urgent_change(std::uint64_t term) const {
  return shared_.is_term(term) && shared_.term && (shared_.term->raise_token_requested || shared_.term->rollout_step);
}

bool LedgerCommitter::is_rewrite_due() const {
  return shared_.term && shared_.term->ledger_writer.has_old_entries() && steady_now() >= shared_.term->last_commit_at + rewrite_period_s();
}

double LedgerCommitter::rewrite_period_s() const {
  return 1 / (commit_queue_.allowed_writes_per_s() * kRewriteFraction);
}

void LedgerCommitter::commit(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto term = shared_.term_number;
  commit_queue_.wait_for_write_permit(lock, stop, false);
  if (stop.stop_requested() || !shared_.is_term(term)) return;
  auto transaction = prepare();
  if (!transaction) return;
  commit_queue_.set_committing(true);
  lock.unlock();
  charge_writes(transaction->pending.changes());
  const double began = steady_now();
  const Outcome outcome = send_until_resolved(store, stop, *transaction);
  lock.lock();
  if (!shared_.is_term(term)) return;
  if (const auto* deposed = std::get_if<Deposed>(&outcome)) {
    shared_.step_down(lock, deposed->reason);
  } else if (std::holds_alternative<Refused>(outcome)) {
    handle_refusal(lock, *transaction);
  } else if (const auto* committed = std::get_if<Committed>(&outcome)) {
    apply(*transaction, committed->revision);
    Counters& counters = metrics_.counters;
    ++counters.commits;
    counters.commit_seconds = counters.commit_seconds + (steady_now() - began);
    shared_.request_pass();
  }
}

std::optional<LedgerCommitter::Transaction> LedgerCommitter::prepare() {
  Term& term = *shared_.term;
  term.last_commit_at = steady_now();
  Transaction out;
  out.term = shared_.term_number;
  out.pending = term.ledger_writer.prepare_commit(*term.cluster_state, commit_queue_.records(), commit_queue_.transaction_limits());
  auto& pending = out.pending;
  for (const auto& description : pending.too_large) spdlog::error("ledger: record too large for any entry: {}", description);
  commit_queue_.handle_records_taken();
  if (pending.changes() == 0) return std::nullopt;
  out.leader_key = term.leader_key();
  out.only_leader_key_guards =
      std::all_of(pending.conditions.begin(), pending.conditions.end(), [](const Condition& c) { return c.mod_revision == 0; });
  pending.conditions.insert(pending.conditions.begin(), {out.leader_key, term.fencing_token});
  out.body = txn_body(pending.conditions, pending.puts, pending.removes);
  for (const auto& put : pending.puts) out.largest_value = std::max(out.largest_value, put.value.size());
  out.last_key = pending.puts.empty() ? out.leader_key : pending.puts.back().key;
  return out;
}

LedgerCommitter::Outcome LedgerCommitter::send_until_resolved(StoreClient& store, std::stop_token stop, Transaction& transaction) {
  for (;;) {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
    const auto status = store.commit(transaction.body, revision, failed);
    if (status == StoreStatus::ok) return Committed{revision};
    if (status == StoreStatus::indeterminate) transaction.has_unacknowledged_attempt = true;
    if (status == StoreStatus::refused)
      spdlog::error("key-value store: transaction refused, {} bytes, {} changes, largest value {} bytes", transaction.body.size(),
                    transaction.pending.changes(), transaction.largest_value);
    // A store that lowered its limits may refuse the transaction although it committed an earlier attempt.
    const bool maybe_committed =
        status == StoreStatus::conflict || (status == StoreStatus::refused && transaction.has_unacknowledged_attempt);
    if (maybe_committed)
      if (auto outcome = resolve_conflict(store, status, failed, transaction)) return *outcome;
    if (status == StoreStatus::refused) return Refused{};
    if (!pause_before_retry(stop, transaction.term)) return Abandoned{};
  }
}

std::optional<LedgerCommitter::Outcome> LedgerCommitter::resolve_conflict(StoreClient& store, StoreStatus status,
                                                                          const std::vector<std::string>& failed,
                                                                          const Transaction& transaction) {
  const bool leader_key_failed = std::find(failed.begin(), failed.end(), transaction.leader_key) != failed.end();
  Row row;
  const auto got = leader_key_failed ? StoreStatus::missing : store.get(transaction.last_key, row);
  const bool refused = status == StoreStatus::refused;
  if (got == StoreStatus::ok) {
    const auto& puts = transaction.pending.puts;
    if (!puts.empty() && matches_put(puts.back(), row.value)) return Committed{row.mod_revision};
    if (!refused) return Deposed{"ledger holds entries it did not write"};
    return std::nullopt;
  }
  if (!refused && got == StoreStatus::missing) return Deposed{"ledger has another leader"};
  return std::nullopt;
}

bool LedgerCommitter::pause_before_retry(std::stop_token stop, std::uint64_t term) {
  {
    Lock lock(shared_.mutex);
    if (!shared_.is_term(term)) return false;
    if (commit_queue_.record_failure(steady_now())) spdlog::info("ledger: not writable");
  }
  if (!pause_for(stop, kRetryPauseS)) return false;
  Lock lock(shared_.mutex);
  return shared_.is_term(term);
}

void LedgerCommitter::handle_refusal(const Lock& lock, Transaction& transaction) {
  if (!commit_queue_.shrink_writes()) {
    shared_.step_down(lock, "key-value store refused a transaction");
    return;
  }
  // The records are committed again in smaller transactions, in the same order.
  commit_queue_.requeue(std::move(transaction.pending.batch));
}

void LedgerCommitter::apply(Transaction& transaction, std::uint64_t revision) {
  Term& term = *shared_.term;
  if (const double failed_for = commit_queue_.record_success(steady_now()); failed_for > 0)
    spdlog::info("ledger: writable again after {:.1f} s", failed_for);
  term.ledger_writer.record_committed(transaction.pending, revision);
  // The store may execute an earlier attempt later, after the entry was trimmed. A higher token fences it off.
  if (transaction.has_unacknowledged_attempt && transaction.only_leader_key_guards) term.raise_token_requested = true;
  const auto& batch = transaction.pending.batch;
  for (std::size_t i = 0; i < batch.size(); ++i) apply_record(batch[i], transaction.pending.batch_entries[i]);
  log_attribution_decisions();
}

void LedgerCommitter::apply_record(const QueuedRecord& queued, std::uint64_t entry) {
  Term& term = *shared_.term;
  ClusterState& cluster_state = *term.cluster_state;
  const Record& record = queued.record;
  const auto jobs = cluster_state.job_count();
  observe_before_apply(record);
  metrics_.service_levels.before_apply(record, cluster_state);
  cluster_state.apply(record);
  metrics_.service_levels.after_apply(record, cluster_state, wall_now());
  if (const auto* cancelled = std::get_if<JobCancelledRecord>(&record))
    if (const JobIndex job = cluster_state.find(cancelled->uid); job.valid()) cluster_state.job(job).cancelled_at = steady_now();
  if (cluster_state.job_count() > jobs) term.ledger_writer.record_first_entry(entry, JobIndex{static_cast<std::uint32_t>(jobs)});
  if (const auto singleton = LedgerCompactor::singleton_key_of(record, cluster_state))
    term.ledger_writer.record_first_entry(entry, *singleton);
  commit_queue_.set_applied(queued.ticket);
}

void LedgerCommitter::observe_before_apply(const Record& record) {
  if (const auto* accepted = std::get_if<JobAcceptedRecord>(&record)) commit_queue_.remove_submission(accepted->job.uid);
  if (const auto* start = std::get_if<TasksStartedRecord>(&record)) record_task_start(*start);
  if (const auto* completion = std::get_if<TasksCompletedRecord>(&record)) record_task_completion(*completion);
}

void LedgerCommitter::record_task_start(const TasksStartedRecord& start) {
  Term& term = *shared_.term;
  shared_.start_stall_detector.record_started();
  if (!std::exchange(term.first_start_committed, true))
    spdlog::info("leader: first task start {:.1f} s after the takeover", steady_now() - term.taken_over_at);
  const ClusterState& cluster_state = *term.cluster_state;
  const JobIndex index = cluster_state.find(start.uid);
  if (!index.valid() || cluster_state.job(index).ended()) return;
  const Job& job = cluster_state.job(index);
  const double waited = wall_now() - job.eligible_since;
  if (job.attempts == 0)
    spdlog::debug("job {}: started, {} {} of {} tasks, after {:.1f} s", job.uid, job.spec.job_class,
                  job.spec.job_type == JobType::gang ? "gang" : "job", job.tasks.size(), waited);
  if (term.within_guarantee.contains(index)) metrics_.guarantee_waits.add(waited);
  // One sample for each record: tasks of a job that start together have waited equally long.
  metrics_.start_waits[metrics_.service_levels.class_label(job.spec.job_class)].add(waited);
}

void LedgerCommitter::record_task_completion(const TasksCompletedRecord& completion) {
  for (const auto& range : completion.tasks) metrics_.counters.finished += range.end - range.first;
  shared_.capacity_release_rate.add(released_cores(*shared_.term->cluster_state, completion), steady_now());
}

void LedgerCommitter::log_attribution_decisions() {
  ClusterState& cluster_state = *shared_.term->cluster_state;
  using Type = FailureAttribution::Decision::Type;
  for (const auto& decision : cluster_state.failure_attribution().take_decisions()) {
    const std::string& uid = cluster_state.job(decision.job).uid;
    switch (decision.type) {
      case Type::suspected:
        ++metrics_.counters.suspected;
        spdlog::info("job {}: suspected, failed on {} nodes and succeeded on none, retried with one task", uid, decision.count);
        break;
      case Type::cleared: spdlog::info("job {}: no longer suspected, one of its tasks succeeded", uid); break;
      case Type::cordoned:
        ++metrics_.counters.cordoned;
        spdlog::info("node {}: cordoned for {:.0f} s, several jobs failed on it, last {}", cluster_state.node(decision.node).name,
                     std::max(0.0, decision.until - wall_now()), uid);
        break;
      case Type::uncordoned:
        spdlog::info("node {}: uncordoned, its failures are attributed to job {}", cluster_state.node(decision.node).name, uid);
        break;
    }
  }
}

void LedgerCommitter::charge_writes(std::size_t changes) {
  commit_queue_.charge_writes(changes);
  metrics_.counters.writes += changes;
}

bool LedgerCommitter::raise_fencing_token(StoreClient& store, std::stop_token stop, Lock& lock) {
  const auto term_number = shared_.term_number;
  commit_queue_.wait_for_write_permit(lock, stop, true);
  if (!shared_.is_term(term_number)) return false;
  Term& term = *shared_.term;
  const auto old_token = term.fencing_token;
  const auto& config = shared_.config;
  const auto step =
      rollout::raise_token_step(term.active_version, {config.settings.label, config.incarnation}, old_token, term.session_lease);
  const std::string key = term.leader_key();
  charge_writes(1);
  term.leader_key_update_unacknowledged = true;
  lock.unlock();
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(step.body(), revision, failed);
  std::optional<std::uint64_t> token;
  if (status == StoreStatus::ok) token = revision;
  bool deposed = status == StoreStatus::refused;
  if (status == StoreStatus::conflict) read_back_raised_token(store, key, old_token, token, deposed);
  if (!deposed && !token) pause_for(stop, kRaisePauseS);
  lock.lock();
  if (!shared_.is_term(term_number)) return false;
  if (deposed) {
    shared_.step_down(lock, "leader key belongs to another controller");
    return false;
  }
  if (!token) return false;
  term.fencing_token = *token;
  term.raise_token_requested = term.leader_key_update_unacknowledged = false;
  term.token_raised_at = steady_now();
  ++metrics_.counters.token_raises;
  shared_.observe_leader(*token, config.settings.label);
  spdlog::info("leader: fencing token raised to {} to fence earlier commands", *token);
  return true;
}

void LedgerCommitter::read_back_raised_token(StoreClient& store, const std::string& key, std::uint64_t old_token,
                                             std::optional<std::uint64_t>& token, bool& deposed) const {
  Row row;
  const auto got = store.get(key, row);
  if (got == StoreStatus::missing) deposed = true;
  if (got != StoreStatus::ok) return;
  try {
    const bool own = parse_leader_value(row.value).incarnation == shared_.config.incarnation;
    if (own && row.mod_revision > old_token) {
      token = row.mod_revision;
    } else {
      deposed = true;
    }
  } catch (const std::exception&) {
    deposed = true;
  }
}

}  // namespace thistlefront
