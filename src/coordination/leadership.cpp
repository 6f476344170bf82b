// Leadership: one key attached to a hold; its stamp is the epoch.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/controller.hpp"
#include "fleet/hearing.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
constexpr double kValidMargin = 0.05;
constexpr double kBeatPeriod = 0.5;
constexpr unsigned kFollowMs = 10000;
constexpr double kPeersLost = 3.0;  // no peer has answered for this long
constexpr double kStandBack = 4.0;  // before it tries to lead again
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
    rollout::Look look;
    const auto got = store.list(kLeadPrefix, rows);
    if (got != StoreStatus::ok) {
      if (!pause_for(stop, 0.3)) return;
      continue;
    }
    try {
      look = rollout::look(rows.rows);
    } catch (const std::exception& e) {
      spdlog::error("state service: the leader's keys: {}", e.what());
      if (!pause_for(stop, 1)) return;
      continue;
    }
    // What is on may be beyond this build, which then forwards as any follower does.
    if (look.on.level != told_level && look.on.level > able_.most)
      spdlog::error("state level {} is on, and this build reads {} to {}: it never takes the lead, and forwards", look.on.level,
                    able_.least, able_.most);
    told_level = look.on.level;
    if (look.leader) missing_since = 0;
    if (!look.leader) {
      // Controllers that saw the key go at the same moment try one after the other.
      double jitter = 0;
      {
        Lock lock(mutex_);
        jitter = std::uniform_real_distribution<double>(0, 0.05)(random_);
      }
      // One that handed over lets the others go first.
      double stand_back = 0;
      {
        Lock lock(mutex_);
        stand_back = standing_back_.remaining(steady_now());
      }
      // Not for long: where nobody does, a leader that the workers reach badly is better than none.
      if (missing_since == 0) missing_since = steady_now();
      if (stand_back > 0 && steady_now() - missing_since < kOthersFirst) {
        if (!pause_for(stop, std::min(stand_back, kLookAgain))) return;
        continue;
      }
      if (!pause_for(stop, jitter)) return;
      if (take_leadership(store, stop, look)) lead(store, stop), missing_since = 0;
      continue;
    }
    {
      Lock lock(mutex_);
      learn(look.leader_stamp, look.leader->label);
    }
    if (look.leader->label == settings_.label && !clear_own_lead(store, stop, look)) continue;
    if (store.watch(kLeadPrefix, rows.revision, kFollowMs) != StoreStatus::ok && !pause_for(stop, 0.3)) return;
  }
}

bool Controller::take_leadership(StoreClient& store, std::stop_token stop, const rollout::Look& look) {
  const LeaderValue value{settings_.label, incarnation_};
  if (!rollout::take_lead(look, able_, value, 0)) {
    pause_for(stop, kLookAgain);
    return false;
  }
  // While nobody leads, nothing in the ledger changes. Read first, an outage that begins just now leaves the workers with a
  // leader that knows what is cancelled, uncertain as it is; taken first, with one that knows nothing and must let the
  // leases of all machines end (gap-lienzo, seed 12: 11,054 tasks).
  std::string unreadable;
  auto read = read_ledger(
      store, stop, [] { return false; }, unreadable);
  if (!read && unreadable.empty()) {
    pause_for(stop, kLookAgain);
    return false;
  }
  std::uint64_t hold = 0;
  const double asked = steady_now();
  if (store.create_lease(tuning_.hold_ms, hold) != StoreStatus::ok) {
    pause_for(stop, 0.2);
    return false;
  }
  const char* key = lead_key(look.on.level);
  std::uint64_t epoch = 0;
  std::vector<std::string> failed;
  auto status = store.commit(rollout::take_lead(look, able_, value, hold)->body(), epoch, failed);
  if (status == StoreStatus::in_doubt || status == StoreStatus::conflict) {
    // It may have been applied all the same: the key tells.
    Row row;
    if (store.get(key, row) == StoreStatus::ok) {
      try {
        // With this hold: an earlier try of this process, applied only now, attached the key to one that is not renewed. It went
        // with that while this controller led on, under a hold that held nothing.
        if (parse_leader(row.value).incarnation == incarnation_ && row.hold == hold) {
          status = StoreStatus::ok;
          epoch = row.stamp;
        }
      } catch (const std::exception& e) {
        spdlog::error("state service: leader key: {}", e.what());
      }
    }
  }
  if (status != StoreStatus::ok) {
    store.revoke_lease(hold);
    return false;
  }
  Lock lock(mutex_);
  term_ = std::make_unique<Term>();
  term_->read = std::move(read);
  term_->takeover_epoch = term_->epoch = epoch;
  term_->hold = hold;
  term_->level = look.on;
  term_->level_stamp = look.on_stamp;
  term_->taken_over_at = steady_now();
  term_->valid_until = asked + tuning_.hold_ms / 1000.0 * (1 - kClockDrift) - kValidMargin;
  term_->backing = Backing(links_.size(), term_->taken_over_at, backing_grace(settings_.cancel_s, settings_.lease_s));
  for (auto& link : links_) {
    link.partition_lease = Granted(custody_span(settings_.cancel_s, settings_.lease_s), term_->taken_over_at);
    link.last_ack_process = link.last_ack_clock_ms = 0;
    link.last_acked_sent_at = 0;
  }
  ++term_number_;
  role_ = Role::recovering;
  learn(epoch, settings_.label);
  // What the lead before took is taken on, so that workers stay where they are.
  term_->takes_batches = tuning_.relay_mode != IntakeMode::off && intake_.is_in_use();
  intake_.fail_waiting();
  spdlog::info("takes over as leader, epoch {}", epoch);
  role_changed_.notify_all();
  return true;
}

void Controller::lead(StoreClient& store, std::stop_token stop) {
  std::uint64_t hold = 0, number = 0;
  {
    Lock lock(mutex_);
    if (!term_) return;
    hold = term_->hold;
    number = term_number_;
  }
  bool uncertain = false;
  const double period = tuning_.hold_ms / 1000.0 / 4;
  for (double slept_at = steady_now(); pause_for(stop, period); slept_at = steady_now()) {
    const double late = std::max(0.0, steady_now() - slept_at - period);
    lag_ = late + kLagMemory * (lag_ - late);
    {
      Lock lock(mutex_);
      if (term_number_ != number || role_ == Role::follower) break;
    }
    const double asked = steady_now();
    const auto status = store.renew_lease(hold);
    const double answered = steady_now();
    Lock lock(mutex_);
    if (const double whole = steady_now() - slept_at - period; whole > period)
      spdlog::debug("renewal {:.0f} ms late: woken {:.0f}, lock {:.0f}, answer {:.0f}, lock {:.0f}", whole * 1000, late * 1000,
                    (asked - slept_at - period - late) * 1000, (answered - asked) * 1000, (steady_now() - answered) * 1000);
    if (term_number_ != number || role_ == Role::follower) break;
    if (status == StoreStatus::ok) {
      term_->valid_until = asked + tuning_.hold_ms / 1000.0 * (1 - kClockDrift) - kValidMargin;
      if (role_ == Role::leading)
        custody_.grant(term_->epoch, asked, oldest_owed(*term_->book, settings_.site, steady_now(), settings_.cancel_s));
      if (isolated()) {
        hand_over(lock, store, hold, "cut off from its peers and most workers", kStandBack);
        break;
      }
      if (term_->hand_over) {
        hand_over(lock, store, hold, term_->hand_over, standing_back_.record_hand_over(steady_now()));
        break;
      }
      if (uncertain) {
        spdlog::info("leadership is certain again");
        want_pass();
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
      outwait_answers(lock);
    }
    StoreClient last(settings_.store_address);
    last.revoke_lease(hold);
  }
}

bool Controller::clear_own_lead(StoreClient& store, std::stop_token stop, const rollout::Look& look) {
  if (look.leader->incarnation == incarnation_) return true;
  // What that process told the others may be on its way to users for a moment yet.
  if (const double left = began_ + kAnswerLife + kValidMargin - steady_now(); left > 0) {
    pause_for(stop, left);
    return false;
  }
  std::uint64_t rev = 0;
  std::vector<std::string> failed;
  const auto status = store.commit(rollout::leave_lead(look).body(), rev, failed);
  // Another one's key by now, or no answer: it is looked at once more.
  if (status != StoreStatus::ok) pause_for(stop, kLookAgain);
  if (status == StoreStatus::ok) {
    spdlog::info("the lead of an earlier process of this controller is given back, epoch {}", look.leader_stamp);
    Lock lock(mutex_);
    // A process that ends as soon as it leads must not be the next one again and again.
    standing_back_.extend_until(std::max(standing_back_.ends_at(), steady_now() + kBehindOthers));
  }
  return false;
}

// A leader inside a cut would keep its workers' leases alive for as long as the cut lasts, while its successor tells
// users that their jobs are cancelled (kaubaalus grown, rough: ran_cancelled). A majority that knows of the successor
// leaves it without one, so the successor can count on its silence soon after.
Standing Controller::standing(const Report& report, double now) const {
  const bool read = term_->book != nullptr, certain = now < term_->valid_until;
  const bool granted = read ? keeps(report, now) : report.yard == settings_.site && custody_.is_granted(now);
  return {read, certain, term_->backing.has_quorum(now), granted};
}

std::vector<Order> Controller::due_orders(HostIdx h) const {
  return decisive() ? orders_for(*term_->book, h, term_->takeover_epoch) : kills_of_cancelled(*term_->book, h);
}

bool Controller::may_tell(const Job& job) const {
  return job.status != JobStatus::aborted || job.placed.empty() || term_->backing.is_takeover_known(term_->takeover_epoch);
}

bool Controller::isolated() const {
  const double now = steady_now();
  if (links_.empty() || role_ != Role::leading || now - term_->taken_over_at < settings_.lease_s) return false;
  if (!term_->backing.is_isolated(now, kPeersLost)) return false;
  const auto heard = hearing(*term_->book, now, kPeersLost + settings_.report_s);
  return heard.known > 2 * heard.recent;
}

bool Controller::workers_by_peers() const {
  const double now = steady_now();
  if (links_.empty() || role_ != Role::leading || now - term_->taken_over_at < settings_.lease_s / 2) return false;
  const auto heard = hearing(*term_->book, now, kPeersLost + settings_.report_s);
  return heard.via_peers > 2 * heard.direct && 4 * heard.via_peers > heard.known;
}

void Controller::hand_over(Lock& lock, StoreClient& store, std::uint64_t hold, const char* why, double stand_back_s) {
  const auto number = term_number_;
  term_->hand_over = why;  // from here on nothing is decided
  applied_.wait_for(lock, std::chrono::duration<double>(kLastCommit),
                    [&] { return term_number_ != number || (queue_.empty() && !committing_); });
  if (term_number_ == number) step_down(lock, why);
  ++counters_.handed_over;
  standing_back_.extend_until(steady_now() + stand_back_s);
  outwait_answers(lock);
  lock.unlock();
  store.revoke_lease(hold);
}

void Controller::step_down(Lock&, const char* why) {
  if (role_ == Role::follower) return;
  spdlog::info("no longer leader (epoch {}): {}", term_->epoch, why);
  role_ = Role::follower;
  custody_.revoke();
  follower_since_ = steady_now();
  ++term_number_;
  queue_.clear();
  users_wait_ = false;
  accepting_.clear();
  early_answers_.clear();
  unserved_.clear();
  starting_.clear();
  level_waits_for_.clear();
  start_watch_.record_started();
  refused_rentals_.clear();  // kinds are numbered anew by the next book
  term_.reset();
  due_.clear();
  lines_.clear();
  store_failing_since_ = 0;  // of the writes of this term: a later one must not refuse users for it
  if (known_leader_ == settings_.label) known_leader_.clear();
  role_changed_.notify_all();
  queue_filled_.notify_all();
  applied_.notify_all();
  pass_wanted_.notify_all();
}

void Controller::learn(std::uint64_t epoch, const std::string& label) {
  if (epoch < known_epoch_) return;
  if (epoch > known_epoch_ || known_leader_.empty()) {
    // Until the leader says when it took over, only a raised epoch of the same leader leaves that as it was.
    if (label != known_leader_) {
      known_takeover_ = epoch;
      new_lead(!label.empty());
    }
    if (label != known_leader_ && !label.empty()) spdlog::info("leader is {}, epoch {}", label, epoch);
    known_epoch_ = epoch;
    known_leader_ = label;
  }
}

void Controller::new_lead(bool known) {
  ++leads_known_;
  leader_since_ = steady_now();
  // But for its own takeover: what it was granted holds until it has read the ledger.
  if (role_ == Role::follower) custody_.revoke();
  // Which workers can't reach the earlier leader says nothing of this one.
  bounces_.clear();
  // Calls that still wait for the earlier one are better asked of this one.
  if (FramePool* pool = leader_pool(); pool && known) pool->interrupt();
}

void Controller::outwait_answers(Lock& lock) const {
  const double left = answers_until_ - steady_now();
  if (left <= 0) return;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::duration<double>(left));
  lock.lock();
}

// A raise that is carried out at once and whose answer is lost is seen by the peers first. The leader took it for another one's lead,
// and gave up a lead that nobody else had (state levels switched on while answers are lost: a takeover each time). While its hold
// lasts nobody else can lead, and its ledger is not written before the key has been looked at.
bool Controller::raised_in_doubt(const BeatAck& ack) const {
  return term_->lead_in_doubt && ack.leader == settings_.label && steady_now() < term_->valid_until;
}

void Controller::peer_duty(std::stop_token stop, std::size_t peer) {
  auto& link = links_[peer];
  bool reached = true;
  while (pause_for(stop, kBeatPeriod)) {
    Beat beat;
    double echoed_sent_at = 0;
    std::uint64_t number = 0;
    {
      Lock lock(mutex_);
      role_changed_.wait(lock, stop, [&] { return role_ != Role::follower; });
      if (stop.stop_requested()) return;
      number = term_number_;
      beat = beat_for(link);
      if (beat.echoed_process != 0) echoed_sent_at = link.last_acked_sent_at;
    }
    const double asked = steady_now();
    const auto answer = link.heartbeats->ask(pack(beat), 1.0);
    const auto ack = answer ? unpack_ack(*answer) : std::nullopt;
    if (reached != ack.has_value()) {
      reached = ack.has_value();
      spdlog::info("peer {} {}", link.peer.label, reached ? "answers" : "does not answer");
    }
    if (!ack) continue;
    Lock lock(mutex_);
    if (role_ == Role::follower || term_number_ != number) continue;
    if (ack->epoch > term_->epoch && !raised_in_doubt(*ack)) {
      learn(ack->epoch, ack->leader);
      step_down(lock, "a peer knows of a higher epoch");
      continue;
    }
    const double answered = steady_now();
    term_->backing.record_ack(peer, ack->process, asked, ack->epoch, answered < term_->valid_until);
    term_->backing.sole_leader_since(term_->takeover_epoch, answered);
    link.partition_lease.record_ack(echoed_sent_at, steady_now(), ack->kept_ms_ago / 1000.0);
    link.last_ack_process = ack->process;
    link.last_ack_clock_ms = ack->clock_ms;
    link.last_acked_sent_at = asked;
  }
}

Beat Controller::beat_for(PeerLink& link) {
  Beat beat{settings_.label, term_->epoch, term_->takeover_epoch};
  if (!decisive() || link.last_ack_process == 0) return beat;
  const double owed = oldest_owed(*term_->book, link.peer.site, steady_now(), settings_.cancel_s);
  if (owed >= settings_.cancel_s) return beat;
  beat.echoed_process = link.last_ack_process;
  beat.echoed_clock_ms = link.last_ack_clock_ms;
  beat.owed_ms = static_cast<std::uint32_t>(owed * 1000) + 1;
  link.partition_lease.record_sent();
  return beat;
}

void Controller::note_kept(Fencing& fencing, double now) {
  Book& book = *term_->book;
  const auto note = [&](std::vector<double>& by_zone, const std::string& site, double until) {
    const ZoneIdx zone = book.zone_of(site);
    if (by_zone.size() <= zone.v) by_zone.resize(zone.v + 1, 0);
    by_zone[zone.v] = std::max(by_zone[zone.v], until);
  };
  note(fencing.earlier_renewed_until_by_zone, settings_.site, custody_.last_renewal());
  for (const auto& link : links_) {
    note(fencing.renewed_until_by_zone, link.peer.site, link.partition_lease.renewals_until(now));
    note(fencing.earlier_renewed_until_by_zone, link.peer.site, link.partition_lease.earlier_renewals_until(now));
  }
}

bool Controller::keeps(const Report& report, double now) const {
  return custody_.is_active(now) && report.yard == settings_.site && report.epoch <= custody_.epoch();
}

}  // namespace thistle
