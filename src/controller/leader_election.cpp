#include "controller/leader_election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "controller/leadership_conditions.hpp"
#include "model/clock_drift.hpp"
#include "protocol/messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kLeaseMarginS = 0.05;
constexpr unsigned kWatchMs = 10000;
constexpr double kStorePauseS = 0.3;      // where the key-value store does not answer
constexpr double kMalformedPauseS = 1.0;  // where its keys can't be read
constexpr double kLookAgainS = 0.3;
constexpr double kLeasePauseS = 0.2;
constexpr double kIsolationBackoffS = 4.0;  // of one that was cut off, before it tries to lead again
constexpr double kOthersFirstS = 3.0;       // one that backs off leads all the same when nobody else has for so long
constexpr double kMaxJitterS = 0.05;
constexpr double kLagMemory = 0.7;      // of the lateness before, at each renewal
constexpr double kLastCommitS = 0.4;    // what is queued may go into the ledger before the lease is given back
constexpr double kBehindOthersS = 0.3;  // one that cleared the key of its own earlier process lets the others go first
constexpr double kRenewalsPerLease = 4.0;
}  // namespace

LeaderElection::LeaderElection(SharedState& shared, CommitQueue& commit_queue, LedgerRecovery& recovery, HeartbeatRelay& relay,
                               ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), recovery_(recovery), relay_(relay), metrics_(metrics) {}

void LeaderElection::run(std::stop_token stop) {
  StoreClient store(shared_.config.settings.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  while (!stop.stop_requested()) {
    if (!step(store, stop)) return;
  }
}

bool LeaderElection::step(StoreClient& store, std::stop_token stop) {
  std::uint64_t revision = 0;
  const auto snapshot = read_snapshot(store, stop, revision);
  if (!snapshot) return !stop.stop_requested();
  log_unreadable_version(snapshot->active);
  if (!snapshot->leader) return campaign(store, stop, *snapshot);
  vacant_since_ = 0;
  {
    Lock lock(shared_.mutex);
    shared_.observe_leader(snapshot->leader_mod_revision, snapshot->leader->label);
  }
  if (snapshot->leader->label == shared_.config.settings.label && !clear_own_key(store, stop, *snapshot)) return true;
  return store.watch(kLeadershipPrefix, revision, kWatchMs) == StoreStatus::ok || pause_for(stop, kStorePauseS);
}

std::optional<LeaderElection::Snapshot> LeaderElection::read_snapshot(StoreClient& store, std::stop_token stop, std::uint64_t& revision) {
  Rows rows;
  if (store.list(kLeadershipPrefix, rows) != StoreStatus::ok) {
    pause_for(stop, kStorePauseS);
    return std::nullopt;
  }
  revision = rows.revision;
  try {
    return rollout::parse_leadership_keys(rows.rows);
  } catch (const std::exception& e) {
    spdlog::error("key-value store: leader keys malformed: {}", e.what());
    pause_for(stop, kMalformedPauseS);
    return std::nullopt;
  }
}

// What is active may be beyond this build, which then forwards as any follower does.
void LeaderElection::log_unreadable_version(const ActiveVersion& active) {
  const auto& supported = shared_.config.supported_versions;
  if (active.format_version != logged_version_ && active.format_version > supported.max_version)
    spdlog::error("format version {}: active, this build reads {} to {}, so it never leads and only forwards", active.format_version,
                  supported.min_version, supported.max_version);
  logged_version_ = active.format_version;
}

bool LeaderElection::campaign(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const double now = steady_now();
  if (vacant_since_ == 0) vacant_since_ = now;
  // One that handed over lets the others go first; not for long, since a leader that the agents reach badly is better than none.
  const double backoff = backoff_.remaining_s(now);
  if (backoff > 0 && now - vacant_since_ < kOthersFirstS) return pause_for(stop, std::min(backoff, kLookAgainS));
  // Controllers that saw the key go at the same moment try one after the other.
  const double jitter = std::uniform_real_distribution<double>(0, kMaxJitterS)(random_);
  if (!pause_for(stop, jitter)) return false;
  if (take_leadership(store, stop, snapshot)) {
    hold_leadership(store, stop);
    vacant_since_ = 0;
  }
  return true;
}

bool LeaderElection::take_leadership(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const auto& config = shared_.config;
  const LeaderValue value{config.settings.label, config.incarnation};
  if (!rollout::acquire_leadership_step(snapshot, config.supported_versions, value, 0)) {
    pause_for(stop, kLookAgainS);
    return false;
  }
  // While nobody leads, nothing in the ledger changes. Read first, an outage that begins just now leaves the agents with a leader
  // that knows what is cancelled, uncertain as it is; taken first, with one that knows nothing and must let the leases of all
  // nodes expire.
  auto result = recovery_.read(store, stop, [] { return false; });
  if (std::holds_alternative<ReadAborted>(result)) {
    pause_for(stop, kLookAgainS);
    return false;
  }
  std::optional<LedgerSnapshot> ledger;
  if (auto* read = std::get_if<LedgerSnapshot>(&result)) ledger = std::move(*read);
  const auto lease = acquire_lease(store, stop, snapshot);
  if (!lease) return false;
  begin_term(*lease, snapshot, std::move(ledger));
  return true;
}

std::optional<LeaderElection::AcquiredLease> LeaderElection::acquire_lease(StoreClient& store, std::stop_token stop,
                                                                           const Snapshot& snapshot) {
  const auto& config = shared_.config;
  AcquiredLease lease;
  lease.requested_at = steady_now();
  if (store.create_lease(config.options.leader_lease_ms, lease.session_lease) != StoreStatus::ok) {
    pause_for(stop, kLeasePauseS);
    return std::nullopt;
  }
  const LeaderValue value{config.settings.label, config.incarnation};
  const auto transaction = rollout::acquire_leadership_step(snapshot, config.supported_versions, value, lease.session_lease);
  std::vector<std::string> failed;
  const auto status = store.commit(transaction->body(), lease.fencing_token, failed);
  if (status == StoreStatus::ok) return lease;
  // It may have been committed all the same: the key tells.
  if (status == StoreStatus::in_doubt || status == StoreStatus::conflict) {
    if (const auto token = find_own_key(store, leader_key_for(snapshot.active.format_version), lease.session_lease)) {
      lease.fencing_token = *token;
      return lease;
    }
  }
  store.revoke_lease(lease.session_lease);
  return std::nullopt;
}

// With this lease: an earlier try of this process, committed only now, attached the key to one that is not renewed, and the key
// went with that lease while this controller led on under one that held nothing.
std::optional<std::uint64_t> LeaderElection::find_own_key(StoreClient& store, const char* key, std::uint64_t session_lease) const {
  Row row;
  if (store.get(key, row) != StoreStatus::ok) return std::nullopt;
  try {
    const bool own = parse_leader_value(row.value).incarnation == shared_.config.incarnation;
    if (own && row.session_lease == session_lease) return row.mod_revision;
  } catch (const std::exception& e) {
    spdlog::error("key-value store: leader key malformed: {}", e.what());
  }
  return std::nullopt;
}

double LeaderElection::lease_valid_until(double requested_at) const {
  const double lease_s = shared_.config.options.leader_lease_ms / 1000.0;
  return requested_at + lease_s * (1 - kClockDrift) - kLeaseMarginS;
}

std::unique_ptr<Term> LeaderElection::make_term(const AcquiredLease& lease, const Snapshot& snapshot,
                                                std::optional<LedgerSnapshot> ledger) const {
  const auto& settings = shared_.config.settings;
  auto term = std::make_unique<Term>();
  term->preread_ledger = std::move(ledger);
  term->takeover_token = term->fencing_token = lease.fencing_token;
  term->session_lease = lease.session_lease;
  term->active_version = snapshot.active;
  term->version_mod_revision = snapshot.active_mod_revision;
  term->taken_over_at = steady_now();
  term->lease_valid_until = lease_valid_until(lease.requested_at);
  term->quorum = QuorumTracker(shared_.peers.size(), term->taken_over_at, quorum_grace_s(settings.cancel_s, settings.lease_s));
  return term;
}

void LeaderElection::begin_term(const AcquiredLease& lease, const Snapshot& snapshot, std::optional<LedgerSnapshot> ledger) {
  const auto& config = shared_.config;
  Lock lock(shared_.mutex);
  shared_.term = make_term(lease, snapshot, std::move(ledger));
  Term& term = *shared_.term;
  for (auto& link : shared_.peers) {
    link.partition_lease =
        PartitionLeaseGrant(max_partition_lease_s(config.settings.cancel_s, config.settings.lease_s), term.taken_over_at);
    link.last_ack_process = link.last_ack_clock_ms = 0;
    link.last_acked_sent_at = 0;
  }
  ++shared_.term_number;
  shared_.role = Role::recovering;
  shared_.observe_leader(lease.fencing_token, config.settings.label);
  // What the leader before did is gone on with, so that workers stay where they are.
  term.accepts_batches = config.options.relay_mode != RelayMode::off && relay_.is_in_use();
  relay_.fail_waiting();
  spdlog::info("leader: this controller takes over, fencing token {}", lease.fencing_token);
  shared_.role_changed.notify_all();
}

void LeaderElection::hold_leadership(StoreClient& store, std::stop_token stop) {
  std::uint64_t session_lease = 0, term = 0;
  {
    Lock lock(shared_.mutex);
    if (!shared_.term) return;
    session_lease = shared_.term->session_lease;
    term = shared_.term_number;
  }
  uncertain_ = false;
  const double period = shared_.config.options.leader_lease_ms / 1000.0 / kRenewalsPerLease;
  for (double slept_at = steady_now(); pause_for(stop, period); slept_at = steady_now()) {
    const double late = std::max(0.0, steady_now() - slept_at - period);
    auto& lag = metrics_.counters.renewal_lag_s;
    lag = late + kLagMemory * (lag - late);
    if (!renew(store, session_lease, term, slept_at)) break;
  }
  if (stop.stop_requested()) give_back_on_stop(session_lease, term);
}

bool LeaderElection::renew(StoreClient& store, std::uint64_t session_lease, std::uint64_t term, double slept_at) {
  const double woken_at = steady_now();
  const auto is_over = [&] { return !shared_.is_term(term) || shared_.role == Role::follower; };
  {
    Lock lock(shared_.mutex);
    if (is_over()) return false;
  }
  const double requested_at = steady_now();
  const auto status = store.renew_lease(session_lease);
  const double answered_at = steady_now();
  Lock lock(shared_.mutex);
  const double period = shared_.config.options.leader_lease_ms / 1000.0 / kRenewalsPerLease;
  const double late = woken_at - slept_at - period;
  if (const double whole = steady_now() - slept_at - period; whole > period)
    spdlog::debug("leader: lease renewal {:.0f} ms late: wake-up {:.0f}, lock {:.0f}, answer {:.0f}, lock {:.0f}", whole * 1000,
                  late * 1000, (requested_at - woken_at) * 1000, (answered_at - requested_at) * 1000, (steady_now() - answered_at) * 1000);
  if (is_over()) return false;
  return apply_renewal(lock, store, session_lease, status, requested_at);
}

bool LeaderElection::apply_renewal(Lock& lock, StoreClient& store, std::uint64_t session_lease, StoreStatus status, double requested_at) {
  const auto& settings = shared_.config.settings;
  Term& term = *shared_.term;
  if (status == StoreStatus::missing || status == StoreStatus::refused) {
    shared_.step_down(lock, "lease expired");
    return false;
  }
  if (status != StoreStatus::ok) {
    if (uncertain_ || steady_now() < term.lease_valid_until) return true;
    // An outage, or a refusal of this controller alone: it can't tell. It answers agents under its token, so that their leases
    // do not expire, and decides nothing until it knows.
    uncertain_ = true;
    spdlog::info("leader: lease could not be renewed, leadership uncertain");
    return true;
  }
  term.lease_valid_until = lease_valid_until(requested_at);
  if (shared_.role == Role::leading) {
    const double oldest_cancellation_s = oldest_pending_cancellation_s(*term.cluster_state, settings.site, steady_now(), settings.cancel_s);
    shared_.partition_lease.grant(term.fencing_token, requested_at, oldest_cancellation_s);
  }
  if (is_isolated(shared_)) {
    hand_over(lock, store, session_lease, "isolated from its peers and most workers", kIsolationBackoffS);
    return false;
  }
  if (term.hand_over_reason) {
    hand_over(lock, store, session_lease, term.hand_over_reason, backoff_.record_hand_over(steady_now()));
    return false;
  }
  if (uncertain_) {
    spdlog::info("leader: lease renewed, leadership certain again");
    shared_.request_pass();
  }
  uncertain_ = false;
  return true;
}

// First it ceases to decide and to answer, and then another may lead: with the lease dropped before, there were some milliseconds
// in which both told users what they knew.
void LeaderElection::give_back_on_stop(std::uint64_t session_lease, std::uint64_t term) {
  {
    Lock lock(shared_.mutex);
    if (shared_.is_term(term)) shared_.step_down(lock, "stopping");
    wait_out_answers(lock);
  }
  // The other client refuses calls once the duty is asked to stop.
  StoreClient store(shared_.config.settings.store_address);
  store.revoke_lease(session_lease);
}

void LeaderElection::hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* reason, double backoff_s) {
  const auto term = shared_.term_number;
  shared_.term->hand_over_reason = reason;  // from here on nothing is decided
  commit_queue_.wait_for_progress(lock, kLastCommitS, [&] { return !shared_.is_term(term) || commit_queue_.is_idle(); });
  if (shared_.is_term(term)) shared_.step_down(lock, reason);
  ++metrics_.counters.handed_over;
  backoff_.extend_until(steady_now() + backoff_s);
  wait_out_answers(lock);
  lock.unlock();
  store.revoke_lease(session_lease);
}

void LeaderElection::wait_out_answers(Lock& lock) const {
  const double left = shared_.answers_valid_until - steady_now();
  if (left <= 0) return;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::duration<double>(left));
  lock.lock();
}

bool LeaderElection::clear_own_key(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const auto& config = shared_.config;
  if (snapshot.leader->incarnation == config.incarnation) return true;
  // What that process told the others may be on its way to users for a moment yet.
  if (const double left = config.started_at + kAnswerLifeS + kLeaseMarginS - steady_now(); left > 0) {
    pause_for(stop, left);
    return false;
  }
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(rollout::release_leadership_step(snapshot).body(), revision, failed);
  if (status != StoreStatus::ok) {
    // Another one's key by now, or no answer: it is looked at once more.
    pause_for(stop, kLookAgainS);
    return false;
  }
  spdlog::info("leader: key of an earlier process of this controller removed, fencing token {}", snapshot.leader_mod_revision);
  // A process that ends as soon as it leads must not be the next one again and again.
  backoff_.extend_until(std::max(backoff_.ends_at(), steady_now() + kBehindOthersS));
  return false;
}

}  // namespace thistlefront
