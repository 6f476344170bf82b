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
constexpr double kLeaseMarginS = 0.05;  // safety margin on the lease
constexpr unsigned kWatchTimeoutMs = 10000;
constexpr double kStoreRetryPauseS = 0.3;     // after the key-value store did not reply
constexpr double kMalformedKeysPauseS = 1.0;  // after the leadership keys could not be parsed
constexpr double kRecheckPauseS = 0.3;        // before the leadership keys are read again
constexpr double kLeaseRetryPauseS = 0.2;
constexpr double kIsolationBackoffS = 4.0;  // of an isolated leader that handed over, before it campaigns again
constexpr double kMaxVacancyS = 3.0;        // without any leader for this long, a controller campaigns despite its backoff
constexpr double kMaxCampaignJitterS = 0.05;
constexpr double kLagSmoothing = 0.7;         // weight of the previous average of the renewal lag, at each renewal
constexpr double kFinalCommitTimeoutS = 0.4;  // for committing the queued records before a hand-over
constexpr double kOwnKeyBackoffS = 0.3;       // after removing the key of an earlier process of this controller
constexpr double kRenewalsPerLease = 4.0;
}  // namespace

LeaderElection::LeaderElection(SharedState& shared, CommitQueue& commit_queue, LedgerRecovery& recovery, HeartbeatRelay& relay,
                               ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), recovery_(recovery), relay_(relay), metrics_(metrics) {}

void LeaderElection::run(std::stop_token stop) {
  StoreClient store(shared_.config.settings.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  while (!stop.stop_requested()) {
    if (!run_once(store, stop)) return;
  }
}

bool LeaderElection::run_once(StoreClient& store, std::stop_token stop) {
  std::uint64_t revision = 0;
  const auto snapshot = read_snapshot(store, stop, revision);
  if (!snapshot) return !stop.stop_requested();
  log_unreadable_version(snapshot->active);
  if (!snapshot->leader) return campaign(store, stop, *snapshot);
  no_leader_since_ = 0;
  {
    Lock lock(shared_.mutex);
    shared_.observe_leader(snapshot->leader_mod_revision, snapshot->leader->label);
  }
  if (snapshot->leader->label == shared_.config.settings.label && !remove_key_of_earlier_process(store, stop, *snapshot)) return true;
  return store.watch(kLeadershipPrefix, revision, kWatchTimeoutMs) == StoreStatus::ok || pause_for(stop, kStoreRetryPauseS);
}

std::optional<LeaderElection::Snapshot> LeaderElection::read_snapshot(StoreClient& store, std::stop_token stop, std::uint64_t& revision) {
  Rows rows;
  if (store.list(kLeadershipPrefix, rows) != StoreStatus::ok) {
    pause_for(stop, kStoreRetryPauseS);
    return std::nullopt;
  }
  revision = rows.revision;
  try {
    return rollout::parse_leadership_keys(rows.rows);
  } catch (const std::exception& e) {
    spdlog::error("key-value store: leader keys malformed: {}", e.what());
    pause_for(stop, kMalformedKeysPauseS);
    return std::nullopt;
  }
}

// The active format version may be newer than this build supports. The controller then only forwards requests, as a follower.
void LeaderElection::log_unreadable_version(const ActiveVersion& active) {
  const auto& supported = shared_.config.supported_versions;
  if (active.format_version != last_logged_version_ && active.format_version > supported.max_version)
    spdlog::error("format version {}: active, this build reads {} to {}, so it never leads and only forwards", active.format_version,
                  supported.min_version, supported.max_version);
  last_logged_version_ = active.format_version;
}

bool LeaderElection::campaign(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const double now = steady_now();
  if (no_leader_since_ == 0) no_leader_since_ = now;
  // After a hand-over, the other controllers campaign first. The wait is bounded: a leader that few agents reach is better than none.
  const double backoff = backoff_.remaining_s(now);
  if (backoff > 0 && now - no_leader_since_ < kMaxVacancyS) return pause_for(stop, std::min(backoff, kRecheckPauseS));
  // The jitter keeps controllers that saw the key disappear at the same moment from campaigning simultaneously.
  const double jitter = std::uniform_real_distribution<double>(0, kMaxCampaignJitterS)(random_);
  if (!pause_for(stop, jitter)) return false;
  if (acquire_leadership(store, stop, snapshot)) {
    hold_leadership(store, stop);
    no_leader_since_ = 0;
  }
  return true;
}

bool LeaderElection::acquire_leadership(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const auto& config = shared_.config;
  const LeaderValue value{config.settings.label, config.incarnation};
  if (!rollout::acquire_leadership_step(snapshot, config.supported_versions, value, 0)) {
    pause_for(stop, kRecheckPauseS);
    return false;
  }
  // The ledger is read before the key is acquired; it does not change while there is no leader. If a store outage begins now, the
  // agents keep the earlier leader, which knows the cancelled jobs although its leadership is uncertain. If the key were acquired
  // first, the new leader would not know them and would have to let the leases of all nodes expire.
  auto result = recovery_.read(store, stop, [] { return false; });
  if (std::holds_alternative<ReadAborted>(result)) {
    pause_for(stop, kRecheckPauseS);
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
    pause_for(stop, kLeaseRetryPauseS);
    return std::nullopt;
  }
  const LeaderValue value{config.settings.label, config.incarnation};
  const auto transaction = rollout::acquire_leadership_step(snapshot, config.supported_versions, value, lease.session_lease);
  std::vector<std::string> failed;
  const auto status = store.commit(transaction->body(), lease.fencing_token, failed);
  if (status == StoreStatus::ok) return lease;
  // The transaction may have been committed nevertheless: the key shows it.
  if (status == StoreStatus::indeterminate || status == StoreStatus::conflict) {
    if (const auto token = find_own_fencing_token(store, leader_key_for(snapshot.active.format_version), lease.session_lease)) {
      lease.fencing_token = *token;
      return lease;
    }
  }
  store.revoke_lease(lease.session_lease);
  return std::nullopt;
}

// The key must be attached to this session lease: a late transaction of an earlier attempt of this process may have attached it to
// a lease that nobody renews. The key would expire with that lease while this controller continued to lead.
std::optional<std::uint64_t> LeaderElection::find_own_fencing_token(StoreClient& store, const char* key,
                                                                    std::uint64_t session_lease) const {
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

double LeaderElection::session_lease_valid_until(double requested_at) const {
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
  term->taken_over_at = steady_now();
  term->session_lease_valid_until = session_lease_valid_until(lease.requested_at);
  term->quorum = QuorumTracker(settings.other_controllers(), term->taken_over_at, quorum_grace_s(settings.cancel_s, settings.lease_s));
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
  // Continues the relay mode of the earlier leader, so that agents stay connected to their controllers.
  term.accepts_heartbeat_batches = config.options.relay_mode != RelayMode::off && relay_.is_in_use();
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
  leadership_uncertain_ = false;
  const double period = shared_.config.options.leader_lease_ms / 1000.0 / kRenewalsPerLease;
  for (double sleep_started_at = steady_now(); pause_for(stop, period); sleep_started_at = steady_now()) {
    const double wake_up_lag_s = std::max(0.0, steady_now() - sleep_started_at - period);
    auto& lag = metrics_.counters.renewal_lag_s;
    lag = wake_up_lag_s + kLagSmoothing * (lag - wake_up_lag_s);
    if (!renew_lease(store, session_lease, term, sleep_started_at)) break;
  }
  if (stop.stop_requested()) release_on_stop(session_lease, term);
}

bool LeaderElection::renew_lease(StoreClient& store, std::uint64_t session_lease, std::uint64_t term, double sleep_started_at) {
  const double woken_at = steady_now();
  const auto is_over = [&] { return !shared_.is_term(term) || shared_.role == Role::follower; };
  {
    Lock lock(shared_.mutex);
    if (is_over()) return false;
  }
  const double requested_at = steady_now();
  const auto status = store.renew_lease(session_lease);
  const double replied_at = steady_now();
  Lock lock(shared_.mutex);
  const double period = shared_.config.options.leader_lease_ms / 1000.0 / kRenewalsPerLease;
  const double wake_up_lag_s = woken_at - sleep_started_at - period;
  if (const double total_lag_s = steady_now() - sleep_started_at - period; total_lag_s > period)
    spdlog::debug("leader: lease renewal {:.0f} ms late: wake-up {:.0f}, lock {:.0f}, answer {:.0f}, lock {:.0f}", total_lag_s * 1000,
                  wake_up_lag_s * 1000, (requested_at - woken_at) * 1000, (replied_at - requested_at) * 1000,
                  (steady_now() - replied_at) * 1000);
  if (is_over()) return false;
  return apply_renewal_result(lock, store, session_lease, status, requested_at);
}

bool LeaderElection::apply_renewal_result(Lock& lock, StoreClient& store, std::uint64_t session_lease, StoreStatus status,
                                          double requested_at) {
  const auto& settings = shared_.config.settings;
  Term& term = *shared_.term;
  if (status == StoreStatus::missing || status == StoreStatus::refused) {
    shared_.step_down(lock, "lease expired");
    return false;
  }
  if (status != StoreStatus::ok) {
    if (leadership_uncertain_ || steady_now() < term.session_lease_valid_until) return true;
    // Either the store has an outage or it is out of reach of this controller alone; the controller cannot tell which. It goes on
    // replying to agents under its token, so that their leases do not expire, and makes no decisions until a renewal succeeds.
    leadership_uncertain_ = true;
    spdlog::info("leader: lease could not be renewed, leadership uncertain");
    return true;
  }
  term.session_lease_valid_until = session_lease_valid_until(requested_at);
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
  if (leadership_uncertain_) {
    spdlog::info("leader: lease renewed, leadership certain again");
    shared_.request_pass();
  }
  leadership_uncertain_ = false;
  return true;
}

// Steps down before the lease is revoked: in the other order, this controller and its successor both replied to users for some
// milliseconds.
void LeaderElection::release_on_stop(std::uint64_t session_lease, std::uint64_t term) {
  {
    Lock lock(shared_.mutex);
    if (shared_.is_term(term)) shared_.step_down(lock, "stopping");
    wait_for_outstanding_replies(lock);
  }
  // A new client: the thread's own client refuses calls once a stop is requested.
  StoreClient store(shared_.config.settings.store_address);
  store.revoke_lease(session_lease);
}

void LeaderElection::hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* reason, double backoff_s) {
  const auto term = shared_.term_number;
  shared_.term->hand_over_reason = reason;  // no decisions are made from here on
  commit_queue_.wait_for_progress(lock, kFinalCommitTimeoutS, [&] { return !shared_.is_term(term) || commit_queue_.is_idle(); });
  if (shared_.is_term(term)) shared_.step_down(lock, reason);
  ++metrics_.counters.hand_overs;
  backoff_.extend_until(steady_now() + backoff_s);
  wait_for_outstanding_replies(lock);
  lock.unlock();
  store.revoke_lease(session_lease);
}

void LeaderElection::wait_for_outstanding_replies(Lock& lock) const {
  const double left = shared_.replies_valid_until - steady_now();
  if (left <= 0) return;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::duration<double>(left));
  lock.lock();
}

bool LeaderElection::remove_key_of_earlier_process(StoreClient& store, std::stop_token stop, const Snapshot& snapshot) {
  const auto& config = shared_.config;
  if (snapshot.leader->incarnation == config.incarnation) return true;
  // Replies of the earlier process may still be on their way to users.
  if (const double left = config.started_at + kReplyLifetimeS + kLeaseMarginS - steady_now(); left > 0) {
    pause_for(stop, left);
    return false;
  }
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(rollout::release_leadership_step(snapshot).body(), revision, failed);
  if (status != StoreStatus::ok) {
    // The key belongs to another controller by now, or the outcome is unknown: the key is read again.
    pause_for(stop, kRecheckPauseS);
    return false;
  }
  spdlog::info("leader: key of an earlier process of this controller removed, fencing token {}", snapshot.leader_mod_revision);
  // Lets other controllers campaign first: a process that crashes whenever it leads must not become the leader every time.
  backoff_.extend_until(std::max(backoff_.ends_at(), steady_now() + kOwnKeyBackoffS));
  return false;
}

}  // namespace thistlefront
