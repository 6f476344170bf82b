// Leadership: one key attached to a hold; its stamp is the epoch.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"
#include "model/clock_drift.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kValidMargin = 0.05;
constexpr double kPeerHeartbeatPeriod = 0.5;
constexpr unsigned kFollowMs = 10000;
constexpr double kPeersLost = 3.0;         // no peer has answered for this long
constexpr double kIsolationBackoff = 4.0;  // before it tries to lead again
constexpr double kLookAgain = 0.3;
constexpr double kOthersFirst = 3.0;   // one that stands back leads all the same when nobody else has for this long
constexpr double kLagMemory = 0.7;     // of the lateness before, at each renewal
constexpr double kLastCommit = 0.4;    // what is queued may go into the ledger before the hold is given back
constexpr double kBehindOthers = 0.3;  // one that cleared the key of its own earlier process lets the others go first
}  // namespace

void Controller::leadership_duty(std::stop_token stop) {
  StoreClient store(settings_.store_address);
  std::stop_callback abort(stop, [&] { store.abort(); });
  std::uint32_t told_level = 0;
  double missing_since = 0;  // steady seconds; 0: some controller leads, as far as is known
  while (!stop.stop_requested()) {
    Rows rows;
    rollout::LeadershipSnapshot snapshot;
    const auto got = store.list(kLeadershipPrefix, rows);
    if (got != StoreStatus::ok) {
      if (!pause_for(stop, 0.3)) return;
      continue;
    }
    try {
      snapshot = rollout::parse_leadership_keys(rows.rows);
    } catch (const std::exception& e) {
      spdlog::error("state service: the leader's keys: {}", e.what());
      if (!pause_for(stop, 1)) return;
      continue;
    }
    // What is on may be beyond this build, which then forwards as any follower does.
    if (snapshot.on.format_version != told_level && snapshot.on.format_version > supported_versions_.most)
      spdlog::error("state level {} is on, and this build reads {} to {}: it never takes the lead, and forwards",
                    snapshot.on.format_version, supported_versions_.least, supported_versions_.most);
    told_level = snapshot.on.format_version;
    if (snapshot.leader) missing_since = 0;
    if (!snapshot.leader) {
      // Controllers that saw the key go at the same moment try one after the other.
      double jitter = 0;
      {
        Lock lock(mutex_);
        jitter = std::uniform_real_distribution<double>(0, 0.05)(random_);
      }
      // One that handed over lets the others go first.
      double backoff_s = 0;
      {
        Lock lock(mutex_);
        backoff_s = leadership_backoff_.remaining(steady_now());
      }
      // Not for long: where nobody does, a leader that the workers reach badly is better than none.
      if (missing_since == 0) missing_since = steady_now();
      if (backoff_s > 0 && steady_now() - missing_since < kOthersFirst) {
        if (!pause_for(stop, std::min(backoff_s, kLookAgain))) return;
        continue;
      }
      if (!pause_for(stop, jitter)) return;
      if (take_leadership(store, stop, snapshot)) lead(store, stop), missing_since = 0;
      continue;
    }
    {
      Lock lock(mutex_);
      observe_leader(snapshot.leader_mod_revision, snapshot.leader->label);
    }
    if (snapshot.leader->label == settings_.label && !clear_own_lead(store, stop, snapshot)) continue;
    if (store.watch(kLeadershipPrefix, rows.revision, kFollowMs) != StoreStatus::ok && !pause_for(stop, 0.3)) return;
  }
}

bool Controller::take_leadership(StoreClient& store, std::stop_token stop, const rollout::LeadershipSnapshot& snapshot) {
  const LeaderValue value{settings_.label, incarnation_};
  if (!rollout::acquire_leadership_step(snapshot, supported_versions_, value, 0)) {
    pause_for(stop, kLookAgain);
    return false;
  }
  // While nobody leads, nothing in the ledger changes. Read first, an outage that begins just now leaves the workers with a
  // leader that knows what is cancelled, uncertain as it is; taken first, with one that knows nothing and must let the
  // leases of all machines end (gap-lienzo, seed 12: 11,054 tasks).
  std::string unreadable;
  auto read = read_ledger(store, stop, [] { return false; }, unreadable);
  if (!read && unreadable.empty()) {
    pause_for(stop, kLookAgain);
    return false;
  }
  std::uint64_t session_lease = 0;
  const double asked = steady_now();
  if (store.create_lease(options_.leader_lease_ms, session_lease) != StoreStatus::ok) {
    pause_for(stop, 0.2);
    return false;
  }
  const char* key = leader_key_for(snapshot.on.format_version);
  std::uint64_t fencing_token = 0;
  std::vector<std::string> failed;
  auto status =
      store.commit(rollout::acquire_leadership_step(snapshot, supported_versions_, value, session_lease)->body(), fencing_token, failed);
  if (status == StoreStatus::in_doubt || status == StoreStatus::conflict) {
    // It may have been applied all the same: the key tells.
    Row row;
    if (store.get(key, row) == StoreStatus::ok) {
      try {
        // With this hold: an earlier try of this process, applied only now, attached the key to one that is not renewed. It went
        // with that while this controller led on, under a hold that held nothing.
        if (parse_leader(row.value).incarnation == incarnation_ && row.session_lease == session_lease) {
          status = StoreStatus::ok;
          fencing_token = row.mod_revision;
        }
      } catch (const std::exception& e) {
        spdlog::error("state service: leader key: {}", e.what());
      }
    }
  }
  if (status != StoreStatus::ok) {
    store.revoke_lease(session_lease);
    return false;
  }
  Lock lock(mutex_);
  term_ = std::make_unique<Term>();
  term_->read = std::move(read);
  term_->takeover_token = term_->fencing_token = fencing_token;
  term_->session_lease = session_lease;
  term_->format_version = snapshot.on;
  term_->version_mod_revision = snapshot.active_mod_revision;
  term_->taken_over_at = steady_now();
  term_->valid_until = asked + options_.leader_lease_ms / 1000.0 * (1 - kClockDrift) - kValidMargin;
  term_->quorum = QuorumTracker(links_.size(), term_->taken_over_at, quorum_grace_s(settings_.cancel_s, settings_.lease_s));
  for (auto& link : links_) {
    link.partition_lease = PartitionLeaseGrant(max_partition_lease_s(settings_.cancel_s, settings_.lease_s), term_->taken_over_at);
    link.last_ack_process = link.last_ack_clock_ms = 0;
    link.last_acked_sent_at = 0;
  }
  ++term_number_;
  role_ = Role::recovering;
  observe_leader(fencing_token, settings_.label);
  // What the lead before took is taken on, so that workers stay where they are.
  term_->accepts_batches = options_.relay_mode != RelayMode::off && heartbeat_relay_.is_in_use();
  heartbeat_relay_.fail_waiting();
  spdlog::info("takes over as leader, epoch {}", fencing_token);
  role_changed_.notify_all();
  return true;
}

void Controller::lead(StoreClient& store, std::stop_token stop) {
  std::uint64_t session_lease = 0, number = 0;
  {
    Lock lock(mutex_);
    if (!term_) return;
    session_lease = term_->session_lease;
    number = term_number_;
  }
  bool uncertain = false;
  const double period = options_.leader_lease_ms / 1000.0 / 4;
  for (double slept_at = steady_now(); pause_for(stop, period); slept_at = steady_now()) {
    const double late = std::max(0.0, steady_now() - slept_at - period);
    lag_ = late + kLagMemory * (lag_ - late);
    {
      Lock lock(mutex_);
      if (term_number_ != number || role_ == Role::follower) break;
    }
    const double asked = steady_now();
    const auto status = store.renew_lease(session_lease);
    const double answered = steady_now();
    Lock lock(mutex_);
    if (const double whole = steady_now() - slept_at - period; whole > period)
      spdlog::debug("renewal {:.0f} ms late: woken {:.0f}, lock {:.0f}, answer {:.0f}, lock {:.0f}", whole * 1000, late * 1000,
                    (asked - slept_at - period - late) * 1000, (answered - asked) * 1000, (steady_now() - answered) * 1000);
    if (term_number_ != number || role_ == Role::follower) break;
    if (status == StoreStatus::ok) {
      term_->valid_until = asked + options_.leader_lease_ms / 1000.0 * (1 - kClockDrift) - kValidMargin;
      if (role_ == Role::leading)
        partition_lease_.grant(term_->fencing_token, asked,
                               oldest_pending_cancellation_s(*term_->cluster_state, settings_.site, steady_now(), settings_.cancel_s));
      if (is_isolated()) {
        hand_over(lock, store, session_lease, "cut off from its peers and most workers", kIsolationBackoff);
        break;
      }
      if (term_->hand_over) {
        hand_over(lock, store, session_lease, term_->hand_over, leadership_backoff_.record_hand_over(steady_now()));
        break;
      }
      if (uncertain) {
        spdlog::info("leadership is certain again");
        request_pass();
      }
      uncertain = false;
    } else if (status == StoreStatus::missing || status == StoreStatus::refused) {
      step_down(lock, "its hold ended");
      break;
    } else if (!uncertain && steady_now() >= term_->valid_until) {
      // An outage, or a refusal of this controller alone: it can't tell. It answers workers with its epoch, so
      // that their leases do not lapse, and decides nothing until it knows.
      uncertain = true;
      spdlog::info("the hold could not be renewed: leadership is uncertain");
    }
  }
  if (stop.stop_requested()) {
    // First it ceases to decide and to answer, and then another may lead: dropped before, the hold left some milliseconds in
    // which both told users what they knew.
    {
      Lock lock(mutex_);
      if (term_number_ == number) step_down(lock, "stopping");
      wait_out_answers(lock);
    }
    StoreClient last(settings_.store_address);
    last.revoke_lease(session_lease);
  }
}

bool Controller::clear_own_lead(StoreClient& store, std::stop_token stop, const rollout::LeadershipSnapshot& snapshot) {
  if (snapshot.leader->incarnation == incarnation_) return true;
  // What that process told the others may be on its way to users for a moment yet.
  if (const double left = began_ + kAnswerLife + kValidMargin - steady_now(); left > 0) {
    pause_for(stop, left);
    return false;
  }
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(rollout::release_leadership_step(snapshot).body(), revision, failed);
  // Another one's key by now, or no answer: it is looked at once more.
  if (status != StoreStatus::ok) pause_for(stop, kLookAgain);
  if (status == StoreStatus::ok) {
    spdlog::info("the lead of an earlier process of this controller is given back, epoch {}", snapshot.leader_mod_revision);
    Lock lock(mutex_);
    // A process that ends as soon as it leads must not be the next one again and again.
    leadership_backoff_.extend_until(std::max(leadership_backoff_.ends_at(), steady_now() + kBehindOthers));
  }
  return false;
}

// A leader inside a cut would keep its workers' leases alive for as long as the cut lasts, while its successor tells
// users that their jobs are cancelled (kaubaalus grown, rough: ran_cancelled). A majority that knows of the successor
// leaves it without one, so the successor can count on its silence soon after.
LeadershipEvidence Controller::leadership_evidence(const Heartbeat& heartbeat, double now) const {
  const bool read = term_->cluster_state != nullptr, certain = now < term_->valid_until;
  const bool granted = read ? keeps(heartbeat, now) : heartbeat.zone == settings_.site && partition_lease_.is_granted(now);
  return {read, certain, term_->quorum.has_quorum(now), granted};
}

std::vector<Command> Controller::due_commands(NodeIndex h) const {
  return may_decide() ? pending_commands(*term_->cluster_state, h, term_->takeover_token)
                      : kills_for_cancelled_jobs(*term_->cluster_state, h);
}

bool Controller::may_confirm(const Job& job) const {
  return job.status != JobStatus::cancelled || job.placed.empty() || term_->quorum.is_takeover_known(term_->takeover_token);
}

bool Controller::is_isolated() const {
  const double now = steady_now();
  if (links_.empty() || role_ != Role::leading || now - term_->taken_over_at < settings_.lease_s) return false;
  if (!term_->quorum.is_isolated(now, kPeersLost)) return false;
  const auto heard = measure_reachability(*term_->cluster_state, now, kPeersLost + settings_.heartbeat_interval_s);
  return heard.known > 2 * heard.recent;
}

bool Controller::are_workers_heard_through_peers() const {
  const double now = steady_now();
  if (links_.empty() || role_ != Role::leading || now - term_->taken_over_at < settings_.lease_s / 2) return false;
  const auto heard = measure_reachability(*term_->cluster_state, now, kPeersLost + settings_.heartbeat_interval_s);
  return heard.via_peers > 2 * heard.direct && 4 * heard.via_peers > heard.known;
}

void Controller::hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* why, double backoff_s) {
  const auto number = term_number_;
  term_->hand_over = why;  // from here on nothing is decided
  applied_.wait_for(lock, std::chrono::duration<double>(kLastCommit),
                    [&] { return term_number_ != number || (queue_.empty() && !committing_); });
  if (term_number_ == number) step_down(lock, why);
  ++counters_.handed_over;
  leadership_backoff_.extend_until(steady_now() + backoff_s);
  wait_out_answers(lock);
  lock.unlock();
  store.revoke_lease(session_lease);
}

void Controller::step_down(Lock&, const char* why) {
  if (role_ == Role::follower) return;
  spdlog::info("no longer leader (epoch {}): {}", term_->fencing_token, why);
  role_ = Role::follower;
  partition_lease_.revoke();
  follower_since_ = steady_now();
  ++term_number_;
  queue_.clear();
  users_wait_ = false;
  accepting_.clear();
  early_answers_.clear();
  unserved_.clear();
  starting_.clear();
  version_blocked_by_.clear();
  start_stall_detector_.record_started();
  refused_offers_.clear();  // kinds are numbered anew by the next book
  term_.reset();
  command_queue_.clear();
  worker_connections_.clear();
  store_failing_since_ = 0;  // of the writes of this term: a later one must not refuse users for it
  if (known_leader_ == settings_.label) known_leader_.clear();
  role_changed_.notify_all();
  queue_filled_.notify_all();
  applied_.notify_all();
  pass_wanted_.notify_all();
}

void Controller::observe_leader(std::uint64_t fencing_token, const std::string& label) {
  if (fencing_token < known_token_) return;
  if (fencing_token > known_token_ || known_leader_.empty()) {
    // Until the leader says when it took over, only a raised epoch of the same leader leaves that as it was.
    if (label != known_leader_) {
      known_takeover_token_ = fencing_token;
      on_leader_change(!label.empty());
    }
    if (label != known_leader_ && !label.empty()) spdlog::info("leader is {}, epoch {}", label, fencing_token);
    known_token_ = fencing_token;
    known_leader_ = label;
  }
}

void Controller::on_leader_change(bool known) {
  ++leads_known_;
  leader_since_ = steady_now();
  // But for its own takeover: what it was granted holds until it has read the ledger.
  if (role_ == Role::follower) partition_lease_.revoke();
  // Which workers can't reach the earlier leader says nothing of this one.
  redirects_.clear();
  // Calls that still wait for the earlier one are better asked of this one.
  if (FramePool* pool = leader_pool(); pool && known) pool->interrupt();
}

void Controller::wait_out_answers(Lock& lock) const {
  const double left = answers_valid_until_ - steady_now();
  if (left <= 0) return;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::duration<double>(left));
  lock.lock();
}

// A raise that is carried out at once and whose answer is lost is seen by the peers first. The leader took it for another one's lead,
// and gave up a lead that nobody else had (state levels switched on while answers are lost: a takeover each time). While its hold
// lasts nobody else can lead, and its ledger is not written before the key has been looked at.
bool Controller::raised_in_doubt(const PeerHeartbeatAck& ack) const {
  return term_->lead_in_doubt && ack.leader == settings_.label && steady_now() < term_->valid_until;
}

void Controller::peer_duty(std::stop_token stop, std::size_t peer) {
  auto& link = links_[peer];
  bool reached = true;
  while (pause_for(stop, kPeerHeartbeatPeriod)) {
    PeerHeartbeat peer_heartbeat;
    double echoed_sent_at = 0;
    std::uint64_t number = 0;
    {
      Lock lock(mutex_);
      role_changed_.wait(lock, stop, [&] { return role_ != Role::follower; });
      if (stop.stop_requested()) return;
      number = term_number_;
      peer_heartbeat = make_peer_heartbeat(link);
      if (peer_heartbeat.echoed_process != 0) echoed_sent_at = link.last_acked_sent_at;
    }
    const double asked = steady_now();
    const auto answer = link.heartbeats->ask(pack(peer_heartbeat), 1.0);
    const auto ack = answer ? unpack_peer_heartbeat_ack(*answer) : std::nullopt;
    if (reached != ack.has_value()) {
      reached = ack.has_value();
      spdlog::info("peer {} {}", link.peer.label, reached ? "answers" : "does not answer");
    }
    if (!ack) continue;
    Lock lock(mutex_);
    if (role_ == Role::follower || term_number_ != number) continue;
    if (ack->fencing_token > term_->fencing_token && !raised_in_doubt(*ack)) {
      observe_leader(ack->fencing_token, ack->leader);
      step_down(lock, "a peer knows of a higher epoch");
      continue;
    }
    const double answered = steady_now();
    term_->quorum.record_ack(peer, ack->process, asked, ack->fencing_token, answered < term_->valid_until);
    term_->quorum.sole_leader_since(term_->takeover_token, answered);
    link.partition_lease.record_ack(echoed_sent_at, steady_now(), ack->last_renewal_age_ms / 1000.0);
    link.last_ack_process = ack->process;
    link.last_ack_clock_ms = ack->clock_ms;
    link.last_acked_sent_at = asked;
  }
}

PeerHeartbeat Controller::make_peer_heartbeat(PeerLink& link) {
  PeerHeartbeat peer_heartbeat{settings_.label, term_->fencing_token, term_->takeover_token};
  if (!may_decide() || link.last_ack_process == 0) return peer_heartbeat;
  const double oldest_cancellation_s =
      oldest_pending_cancellation_s(*term_->cluster_state, link.peer.site, steady_now(), settings_.cancel_s);
  if (oldest_cancellation_s >= settings_.cancel_s) return peer_heartbeat;
  peer_heartbeat.echoed_process = link.last_ack_process;
  peer_heartbeat.echoed_clock_ms = link.last_ack_clock_ms;
  peer_heartbeat.oldest_cancellation_age_ms = static_cast<std::uint32_t>(oldest_cancellation_s * 1000) + 1;
  link.partition_lease.record_sent();
  return peer_heartbeat;
}

void Controller::add_peer_renewals(FencingState& fencing_state, double now) {
  ClusterState& cluster_state = *term_->cluster_state;
  const auto note = [&](std::vector<double>& by_zone, const std::string& site, double until) {
    const ZoneIndex zone = cluster_state.intern_zone(site);
    if (by_zone.size() <= zone.value) by_zone.resize(zone.value + 1, 0);
    by_zone[zone.value] = std::max(by_zone[zone.value], until);
  };
  note(fencing_state.earlier_renewed_until_by_zone, settings_.site, partition_lease_.last_renewal());
  for (const auto& link : links_) {
    note(fencing_state.renewed_until_by_zone, link.peer.site, link.partition_lease.renewals_until(now));
    note(fencing_state.earlier_renewed_until_by_zone, link.peer.site, link.partition_lease.earlier_renewals_until(now));
  }
}

bool Controller::keeps(const Heartbeat& heartbeat, double now) const {
  return partition_lease_.is_active(now) && heartbeat.zone == settings_.site && heartbeat.fencing_token <= partition_lease_.fencing_token();
}

}  // namespace thistlefront
