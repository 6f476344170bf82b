// Randomised safety: the book and the dealings with workers against in-memory workers and a network that delays,
// drops, duplicates and reorders, with a ledger that takes its time and leaders killed in between, leaders that stand
// still and then send what they had decided before, deposed leaders that still answer reports, machines that hang or fall
// silent in one direction, and jobs at fault. What the workers really do is checked here, independently of the code under
// test. Seeds are fixed and printed. On days with cuts, a zone of two workers and a follower is parted from the leader now
// and then, and the follower keeps their leases.
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "leadership/partition_lease.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

constexpr double kLease = 8, kHeartbeat = 1, kAnswerLife = 4, kCancel = 15, kStep = 0.05;
constexpr double kTeamLimit = 10;
// On days with several teams; their limits change, and the last one comes only when a record tells its terms.
// Of days on which every team is at its limit.
constexpr int kFullJobs = 54;
constexpr double kFullTroubles = 170, kCalms = 30;  // troubles until then; what was late before the calm has arrived
constexpr double kUsedAgain = 5;                    // seconds; less than a lease: room that is known to be free is used again by then
const std::map<std::string, double> kTeams{{"red", 7}, {"blue", 4}, {"green", 3}, {"late", 0}};
constexpr double kSettles = 25;  // after a lowered limit, what was decided or ran before may run on

// Troubles by name; half of them are followed by a second one within seconds, and the pairs are counted.
enum class Trouble : std::uint8_t { leader_ends, leader_freezes, leader_lingers, machine_hangs, machine_deaf, machine_unheard, count };
constexpr std::size_t kTroubles = static_cast<std::size_t>(Trouble::count);
constexpr const char* kTroubleNames[] = {"leader ends",   "leader freezes", "leader lingers",
                                         "machine hangs", "machine deaf",   "machine unheard"};
using Pairs = std::array<std::array<std::size_t, kTroubles>, kTroubles>;
constexpr double kSecondWithin = 4, kAtOnce = 0.3;

struct Event {
  double at;
  std::uint64_t command;
  std::function<void()> run;
  bool operator<(const Event& o) const { return at != o.at ? at > o.at : command > o.command; }
};

// What kind of day: without teams, with cuts of a zone, with teams whose limits change, or with teams that are all at their limits.
enum class DayKind : std::uint8_t { plain, cuts, teams, full };

class Day {
 public:
  explicit Day(std::uint64_t seed, DayKind kind = DayKind::plain)
      : random_(seed), cuts_(kind == DayKind::cuts), teams_(kind == DayKind::teams || kind == DayKind::full), full_(kind == DayKind::full) {
    for (const auto& [team, limit] : kTeams) limits_[team] = {{0, limit}};
    if (kind == DayKind::teams)
      for (double t = 20; t < 150; t += 30) at(t, [this] { change_limits(); });
    if (full_)
      for (double t = 15; t < 140; t += uniform(5, 9)) at(t, [this, t] { cancel_at_the_limit(t + 6); });
    for (int i = 0; i < 5; ++i) {
      workers_.emplace_back().name = "m-" + std::to_string(i);
      workers_.back().zone = i < 3 ? "x" : "y";
    }
    leader_ = std::make_unique<Leader>(*this, ++fencing_token_, false);
    for (int i = 0; i < (full_ ? kFullJobs : 12); ++i) at(uniform(0, full_ ? 100 : 60), [this, i] { submit(i); });
  }

  void play(double until) {
    double next_beat = 0, next_zone_cut = cuts_ ? uniform(10, 30) : until;
    double next_kill = uniform(8, 25), next_hang = uniform(5, 20), next_cut = uniform(5, 25);
    if (full_) calm_from_ = kFullTroubles + 60;  // the longest trouble is over
    for (now_ = 0; now_ < until; now_ += kStep) {
      while (!events_.empty() && events_.top().at <= now_) {
        auto run = events_.top().run;
        events_.pop();
        run();
      }
      for (auto& w : workers_) tend(w);
      leader_->tend();
      if (cuts_ && now_ >= next_beat) {
        next_beat = now_ + 0.5;
        peer_heartbeat();
      }
      if (full_ && now_ > calm_from_ + kCalms) look_for_idle_room();
      // In the last part of the day nothing fails any more, so that all that was accepted can end.
      if (now_ > (full_ ? kFullTroubles : until - 120)) continue;
      if (now_ > next_kill) {
        next_kill = now_ + uniform(8, 30);
        // Frozen instead of killed: when it wakes it sends what it had decided just before.
        trouble(uniform(0, 1) < 0.5 ? Trouble::leader_freezes : uniform(0, 1) < 0.5 ? Trouble::leader_lingers : Trouble::leader_ends);
      }
      if (now_ > next_zone_cut) {
        zone_cut_until_ = now_ + uniform(2, 30);
        next_zone_cut = zone_cut_until_ + uniform(5, 30);
      }
      if (now_ > next_cut) {
        next_cut = now_ + uniform(2, 10);
        trouble(random_() % 2 ? Trouble::machine_unheard : Trouble::machine_deaf);
      }
      if (now_ > next_hang) {
        next_hang = now_ + uniform(5, 25);
        trouble(Trouble::machine_hangs);
      }
    }
  }

  std::vector<std::string> broken;
  std::size_t runs = 0, leaders = 1, suspected = 0, kept = 0, deafened = 0, killed_in_doubt = 0;
  Pairs pairs{};
  // Jobs cancelled while every team was at its limit and a machine that holds some of it was not reached or hung, and a leader
  // ended before that was over; of these, twice within a lease; and gangs stopped to save.
  std::size_t met = 0, met_twice = 0, saved = 0;
  std::size_t looks = 0;  // at a team with waiting work and no room, once all was calm

  [[nodiscard]] bool all_ended() const { return !submitted_.empty() && not_ended().empty(); }
  // Jobs, and how many tasks of them wait.
  [[nodiscard]] std::string not_ended() const {
    std::string out;
    for (const auto& [uid, tasks] : submitted_) {
      const JobIndex j = leader_->cluster_state.find(uid);
      if (!j.valid()) out += " " + uid + " unknown";
      if (j.valid() && !leader_->cluster_state.job(j).ended())
        out += " " + uid + " " + std::to_string(leader_->cluster_state.job(j).pending);
    }
    return out;
  }

 private:
  struct HeldTask {
    TaskPhase phase = TaskPhase::running;
    ExitReason exit_reason = ExitReason::none;
    double ends = 0;
  };
  struct Worker {
    std::string name, zone;
    std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = 0, awaited = 0;
    double answered_sent = 0, next_heartbeat = 0, give_up = -1, hangs_until = 0;
    double unheard_until = 0, deaf_until = 0;  // cut in one direction
    std::map<std::tuple<std::string, std::uint32_t, std::uint64_t>, HeldTask> tasks;
    std::deque<std::function<void()>> held;  // what came while it hung
  };

  // What really runs, by team.
  [[nodiscard]] std::map<std::string, double> used() const {
    std::map<std::string, double> out;
    for (const auto& w : workers_)
      for (const auto& [k, p] : w.tasks) out[owner_of_.at(std::get<0>(k))] += holds(w) && p.phase != TaskPhase::exited;
    return out;
  }
  // Every team at its limit, by the leader's accounts: a job is cancelled as one of its machines goes, and leaders change meanwhile.
  void cancel_at_the_limit(double until) {
    for (const auto& [team, limit] : kTeams) {
      if (limit == 0 || leader_->cluster_state.quota_accounts().headroom(leader_->cluster_state.quota_accounts().find(team), 1e9).cores < 1)
        continue;
      if (now_ < until) at(now_ + kStep, [this, until] { cancel_at_the_limit(until); });
      return;
    }
    std::vector<std::pair<std::string, Worker*>> held;
    for (auto& w : workers_)
      for (const auto& [key, p] : w.tasks)
        if (holds(w) && p.phase == TaskPhase::running && submitted_.contains(std::get<0>(key))) held.emplace_back(std::get<0>(key), &w);
    if (held.empty()) return;
    const auto [uid, worker] = held[random_() % held.size()];
    const double gone = now_ + uniform(3, 20);
    switch (random_() % 4) {
      case 0: worker->hangs_until = gone; break;
      case 1: worker->deaf_until = gone; break;
      case 2: worker->unheard_until = gone; break;
      default: worker->deaf_until = worker->unheard_until = gone;
    }
    withdraw(uid);
    const bool twice = random_() % 2 == 0;
    const auto a_leader = [this] {
      trouble(random_() % 3 == 0 ? Trouble::leader_freezes : random_() % 2 ? Trouble::leader_lingers : Trouble::leader_ends, false);
    };
    at(now_ + uniform(0, 2), a_leader);
    if (twice) at(now_ + uniform(2, 6), a_leader);
    ++met;
    met_twice += twice;
  }
  // Once nothing fails any more. Room that the book knows to be free is used by a team that has work for it; and what is on no machine
  // any more is known to be off: neither takes as long as a lease.
  void look_for_idle_room() {
    ClusterState& cluster_state = leader_->cluster_state;
    std::set<TeamIndex> waits;
    for (JobIndex j : cluster_state.live()) {
      const Job& job = cluster_state.job(j);
      if (!job.ended() && job.pending > 0 && job.spec.job_type == JobType::array && !cluster_state.failure_attribution().is_suspect(j))
        waits.insert(job.team);
      for (const auto& [task, p] : job.placed) {
        const Worker& w =
            *std::find_if(workers_.begin(), workers_.end(), [&](auto& x) { return x.name == cluster_state.node(p.node).name; });
        const auto it = w.tasks.find({job.uid, task, p.attempt});
        const bool runs = it != w.tasks.end() && it->second.phase != TaskPhase::exited;
        lasting(!runs, "kept: " + job.uid + "/" + std::to_string(task) + " attempt " + std::to_string(p.attempt));
      }
    }
    const bool room = [&] {
      for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
        const Node& node = cluster_state.node(NodeIndex{i});
        if (!node.lease_expired && node.used.cores + 1 <= 4 && node.agent.highest_token >= leader_->takeover_token &&
            !is_unresponsive(node, now_, kHeartbeat))
          return true;
      }
      return false;
    }();
    for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t) {
      const bool idle = waits.contains(TeamIndex{t}) && room && cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores >= 1;
      lasting(idle, "idle: " + cluster_state.teams()[t].name);
      looks += waits.contains(TeamIndex{t}) && !idle;
    }
  }
  void lasting(bool is, const std::string& what) {
    if (!is) {
      lasts_since_.erase(what);
    } else if (now_ - lasts_since_.try_emplace(what, now_).first->second > kUsedAgain) {
      broken.push_back(what + " at " + std::to_string(now_));
      lasts_since_[what] = now_;
    }
  }

  // One trouble, and by chance a second one that overlaps it or comes within seconds, the same one again included.
  void trouble(Trouble what, bool may_meet = true) {
    auto& w = workers_[random_() % workers_.size()];
    switch (what) {
      case Trouble::leader_freezes: leader_->freeze(uniform(1.5, 20)); [[fallthrough]];
      case Trouble::leader_lingers:
      case Trouble::leader_ends: {
        leader_->end();
        // Refused by the state service alone: it decides nothing more and answers reports, with the kills that it knows of, until
        // it learns; its successor tells of no cancellation before.
        const bool lingers = !cuts_ && what == Trouble::leader_lingers;
        auto next = std::make_unique<Leader>(*this, fencing_token_ += 1, lingers);
        if (lingers) {
          old_until_ = std::max(old_until_, now_ + uniform(0, 25));
          old_ = std::move(leader_);
        }
        leader_ = std::move(next);
        break;
      }
      case Trouble::machine_hangs: w.hangs_until = now_ + uniform(1, 20); break;
      case Trouble::machine_deaf: w.deaf_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
      case Trouble::machine_unheard: w.unheard_until = now_ + uniform(1, random_() % 4 == 0 ? 60 : 20); break;
      case Trouble::count: break;
    }
    if (!may_meet || uniform(0, 1) < 0.5) return;
    const auto second = static_cast<Trouble>(random_() % kTroubles);
    ++pairs[static_cast<std::size_t>(what)][static_cast<std::size_t>(second)];
    at(now_ + uniform(0, random_() % 2 ? kSecondWithin : kAtOnce), [this, second] { trouble(second, false); });
  }

  struct Leader {
    Leader(Day& d, std::uint64_t e, bool old_lingers)
        : day(d), cluster_state(d.settings()), fencing_token(e), takeover_token(e), taken_at(d.now_) {
      for (const auto& r : d.ledger_) cluster_state.apply(r);
      acked_at = old_lingers || d.now_ < d.old_until_ ? -1 : d.now_;
      granted = d.cuts_ ? PartitionLeaseGrant(max_partition_lease_s(kCancel, kLease), taken_at) : PartitionLeaseGrant();
      const ZoneIndex x = cluster_state.intern_zone("x"), y = cluster_state.intern_zone("y");
      EXPECT_TRUE(x.value == 0 && y.value == 1);
      ++d.leaders;
    }
    // On their way into the ledger; the book changes when they are there.
    void record(std::vector<Record> records, std::function<void()> durable = {}) {
      if (!records.empty()) pending.push_back({day.now_ + day.uniform(0.02, 0.8), std::move(records), std::move(durable)});
    }
    void commit() {
      while (!pending.empty() && pending.front().at <= day.now_) {
        for (auto& r : pending.front().records) {
          cluster_state.apply(r);
          day.ledger_.push_back(std::move(r));
        }
        if (pending.front().durable) pending.front().durable();
        pending.pop_front();
      }
      for (const auto& n : cluster_state.failure_attribution().take_verdicts())
        day.suspected += n.kind == FailureAttribution::Verdict::Kind::suspected;
    }
    // Of what was on its way, some is applied all the same, and nobody is told.
    void end() {
      for (auto& p : pending) {
        if (day.uniform(0, 1) < 0.5) break;
        for (auto& r : p.records) day.ledger_.push_back(std::move(r));
      }
    }
    void freeze(double for_s) {
      for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
        const Node& node = cluster_state.node(NodeIndex{i});
        const auto commands = pending_commands(cluster_state, NodeIndex{i}, takeover_token);
        if (commands.empty() || node.commands.in_flight_token != 0) continue;
        day.at(day.now_ + for_s, [d = &day, name = node.name, e = fencing_token, t = node.agent.incarnation, commands] {
          d->send_commands(name, e, t, commands, false);
        });
      }
    }
    void tend() {
      commit();
      if (acked_at < 0 && day.now_ >= day.old_until_) acked_at = day.now_;
      if (day.now_ < next_pass) return;
      next_pass = day.now_ + 0.3;
      const FencingState fencing_state{
          takeover_token, taken_at, acked_at, {0, granted.renewals_until(day.now_)}, {0, granted.earlier_renewals_until(day.now_)}};
      std::vector<Record> records;
      bool doubt = false;
      for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
        Node& node = cluster_state.node(NodeIndex{i});
        doubt = doubt || (!node.lease_expired && node.commands.uncertain_token >= fencing_token);
        if (node.lease_expired || !is_lease_expired(node, fencing_state, kLease, day.now_)) continue;
        node.lease_expired = true;
        for (auto& r : evict_all_tasks(cluster_state, NodeIndex{i})) records.push_back(std::move(r));
      }
      record(std::move(records));
      if (doubt) fencing_token = day.fencing_token_ += 1;
      if (day.full_) save_a_gang();
      resume_inherited_stops(cluster_state);
      stop_broken_gangs(cluster_state);
      start();
      for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) command(NodeIndex{i});
    }
    // As to make room: all of it is told to save.
    void save_a_gang() {
      if (day.now_ > day.calm_from_ || day.uniform(0, 1) > 0.03) return;
      for (JobIndex j : cluster_state.live()) {
        Job& job = cluster_state.job(j);
        if (job.ended() || job.spec.checkpoint_interval_s <= 0 || job.placed.empty()) continue;
        for (auto& [task, p] : job.placed) mark_for_stop(p, job.spec.checkpoint_duration_s);
        ++day.saved;
        return;
      }
    }
    // First fit, within the team's limit; the planner has tests of its own.
    void start() {
      if (starting > 0) return;
      cluster_state.recount_unplaced();
      std::vector<double> rooms;
      for (std::uint32_t t = 0; t < cluster_state.teams().size(); ++t)
        rooms.push_back(cluster_state.quota_accounts().headroom(TeamIndex{t}, 1e9).cores);
      std::map<std::uint32_t, double> taken;
      for (JobIndex j : std::vector<JobIndex>(cluster_state.live())) {
        const Job& job = cluster_state.job(j);
        if (job.ended() || job.pending == 0 || cluster_state.failure_attribution().next_try_at(j) > day.now_) continue;
        double& room = rooms[job.team.value];
        const bool suspect = cluster_state.failure_attribution().is_suspect(j);
        if (suspect && !job.placed.empty()) continue;
        if (job.spec.job_type == JobType::gang && !job.placed.empty()) continue;
        TasksStartedRecord r{job.uid, job.attempts + 1, day.now_, {}};
        const std::uint32_t waiting = job.pending;
        std::uint32_t placed = 0;
        const auto before = taken;
        const double room_before = room;
        for (std::uint32_t t = 0; t < job.tasks.size(); ++t) {
          if (job.tasks[t] != TaskState::pending || room < 1) continue;
          if (suspect && job.spec.job_type != JobType::gang && placed > 0) break;
          for (std::uint32_t k = 0; k < cluster_state.node_count(); ++k) {
            const std::uint32_t i = (k + t + static_cast<std::uint32_t>(r.attempt)) % cluster_state.node_count();
            const Node& node = cluster_state.node(NodeIndex{i});
            if (!node.agent.has_reported || node.lease_expired || node.used.cores + taken[i] >= 4) continue;
            if (node.agent.highest_token < takeover_token || is_unresponsive(node, day.now_, kHeartbeat)) continue;
            taken[i] += 1;
            room -= 1;
            ++placed;
            r.assignments.push_back({node.name, node.agent.incarnation, {{t, t + 1}}});
            break;
          }
        }
        if (r.assignments.empty() || (job.spec.job_type == JobType::gang && placed < waiting)) {
          taken = before;
          room = room_before;
          continue;
        }
        ++starting;  // no other pass before all of this one's starts are in the ledger
        record({r}, [this] { --starting; });
      }
    }
    void command(NodeIndex h) {
      Node& node = cluster_state.node(h);
      const auto commands = pending_commands(cluster_state, h, takeover_token);
      if (commands.empty() || node.commands.in_flight_token != 0 || day.now_ < not_before[h.value]) return;
      bool starts = false;
      for (const auto& o : commands) starts = starts || o.type == CommandType::run;
      if (starts) node.commands.in_flight_token = fencing_token;
      not_before[h.value] = day.now_ + 0.2;
      day.send_commands(node.name, fencing_token, node.agent.incarnation, commands, starts);
    }
    Day& day;
    ClusterState cluster_state;
    std::uint64_t fencing_token, takeover_token;
    double taken_at, acked_at = -1, next_pass = 0;
    PartitionLeaseGrant granted;
    double mark = 0, marked_sent_at = 0;  // the follower's latest answer, in its own time
    int starting = 0;
    std::map<std::uint32_t, double> not_before;
    struct QueuedRecord {
      double at;
      std::vector<Record> records;
      std::function<void()> durable;
    };
    std::deque<QueuedRecord> pending;
  };

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  void at(double t, std::function<void()> run) { events_.push({t, ++order_, std::move(run)}); }
  double delay() { return uniform(0, 1) < 0.06 && now_ < calm_from_ ? uniform(1, 25) : uniform(0.01, 0.1); }
  bool dropped() { return uniform(0, 1) < 0.05 && now_ < calm_from_; }

  [[nodiscard]] bool cut_off(const Worker& w) const { return w.zone == "y" && now_ < zone_cut_until_; }
  // The age of the oldest cancellation that is not carried out yet, as the controller counts it.
  double oldest_cancellation_s() const {
    double oldest_cancellation_s = 0;
    for (JobIndex j : leader_->cluster_state.live()) {
      const Job& job = leader_->cluster_state.job(j);
      if (job.status != JobStatus::cancelled || job.placed.empty()) continue;
      const auto it = cancelled_.find(job.uid);
      oldest_cancellation_s = std::max(oldest_cancellation_s, it == cancelled_.end() ? 0 : now_ - it->second);
    }
    return oldest_cancellation_s;
  }
  // From the leader to the follower in the other zone, and its answer. What a cut stops is lost, or held until it ends.
  void peer_heartbeat() {
    Leader& l = *leader_;
    const double sent = now_, echoed_sent_at = l.mark > 0 ? l.marked_sent_at : 0, mark = l.mark, owes = oldest_cancellation_s();
    if (mark > 0) l.granted.record_sent();
    const auto term = l.takeover_token, fencing_token = l.fencing_token;
    const bool held = uniform(0, 1) < 0.5;
    if (now_ < zone_cut_until_ && !held) return;
    at(std::max(now_, zone_cut_until_) + delay(), [this, term, fencing_token, mark, owes, sent, echoed_sent_at] {
      if (now_ < zone_cut_until_ || fencing_token < follower_token_) return;
      partition_lease_.observe_leader(term);
      follower_token_ = fencing_token;
      if (mark > 0) partition_lease_.grant(fencing_token, mark, owes);
      const double asked = now_, last_renewal_age = now_ - partition_lease_.last_renewal();
      at(now_ + delay(), [this, term, asked, last_renewal_age, sent, echoed_sent_at] {
        if (leader_->takeover_token != term || now_ < zone_cut_until_ || sent < leader_->marked_sent_at) return;
        leader_->granted.record_ack(echoed_sent_at, now_, last_renewal_age);
        leader_->mark = asked;
        leader_->marked_sent_at = sent;
      });
    });
  }

  [[nodiscard]] std::vector<Team> settings() const {
    if (!teams_) return {{"red", {}, {kTeamLimit, 0, 0}}};
    std::vector<Team> out;
    for (const auto& [team, limit] : kTeams)
      if (limit > 0) out.push_back({team, {}, {limit, 0, 0}});
    return out;
  }
  // The highest that was in force lately.
  [[nodiscard]] double limit_of(const std::string& team) const {
    if (!teams_) return kTeamLimit;
    double most = 0;
    const auto& changes = limits_.at(team);
    for (auto it = changes.begin(); it != changes.end(); ++it)
      if (std::next(it) == changes.end() || std::next(it)->first > now_ - kSettles) most = std::max(most, it->second);
    return most;
  }
  // A leader brings other terms into the ledger; what is told of them holds when they are there.
  void change_limits() {
    std::vector<Record> records;
    std::map<std::string, double> next;
    for (const auto& [team, limit] : kTeams) {
      next[team] = 2 + static_cast<double>(random_() % 6);
      records.emplace_back(TeamQuotaRecord{team, TeamQuota{{}, {next[team], 0, 0}}, std::nullopt, false});
    }
    // One that ended meanwhile may have written them all the same, and nobody was told: the higher holds.
    for (const auto& [team, limit] : next) limits_[team].emplace(now_, std::max(limit, limits_[team].rbegin()->second));
    leader_->record(std::move(records), [this, next] {
      for (const auto& [team, limit] : next) limits_[team][now_] = limit;
    });
    at(now_ + 6, [this] {
      for (const auto& [team, changes] : limits_)
        if (!leader_->cluster_state.quota_accounts().find(team).valid() ||
            !leader_->cluster_state.quota_accounts().accepts_jobs(leader_->cluster_state.quota_accounts().find(team)))
          return change_limits();
    });
  }

  void submit(int i) {
    JobAcceptedRecord r;
    r.job.uid = "j-" + std::to_string(i);
    r.job.owner = full_    ? std::vector<std::string>{"red", "blue", "green"}[static_cast<std::size_t>(i / 4 % 3)]
                  : teams_ ? std::next(kTeams.begin(), i % 4)->first
                           : "red";
    r.job.job_class = "c";
    r.job.image = "i";
    r.job.job_type = i % 4 == 3 ? JobType::gang : JobType::array;
    r.job.task_count = r.job.job_type == JobType::gang ? 2 : 4;
    r.job.demand = {1, 0, 1};
    if (full_ && r.job.job_type == JobType::gang) r.job.checkpoint_interval_s = 1, r.job.checkpoint_duration_s = 1;
    const std::string uid = r.job.uid;
    owner_of_[uid] = r.job.owner;
    const auto known = leader_->cluster_state.find(uid);
    if (known.valid()) {
      accepted(i, r);
      return;
    }
    leader_->record({r}, [this, i, r] { accepted(i, r); });
    // Not answered by then: its user asks again.
    at(now_ + 3, [this, i, uid] {
      if (!submitted_.contains(uid)) submit(i);
    });
  }
  void accepted(int i, const JobAcceptedRecord& r) {
    const std::string uid = r.job.uid;
    if (!submitted_.emplace(uid, r.job.task_count).second) return;
    if (i % 3 == 2 && !full_) at(now_ + uniform(1, 30), [this, uid] { withdraw(uid); });
    if (at_fault(uid)) at(now_ + uniform(20, 60), [this, uid] { withdraw(uid); });
  }
  void withdraw(const std::string& uid) {
    if (cancelled_.contains(uid) || leader_->cluster_state.job(leader_->cluster_state.find(uid)).status == JobStatus::done) return;
    leader_->record({JobCancelledRecord{uid}}, [this, uid] {
      Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
      if (job.status == JobStatus::cancelled && job.cancelled_at == 0) job.cancelled_at = now_;
      tell(uid);
    });
    at(now_ + 1, [this, uid] { tell(uid), withdraw(uid); });
  }
  // Its user asks again and again, and is told when nothing of it is placed or no earlier leader goes on.
  void tell(const std::string& uid) {
    const Job& job = leader_->cluster_state.job(leader_->cluster_state.find(uid));
    if (job.status == JobStatus::cancelled && (job.placed.empty() || leader_->acked_at >= 0)) cancelled_.try_emplace(uid, now_);
  }
  static bool at_fault(const std::string& uid) { return uid == "j-4" || uid == "j-7"; }

  Heartbeat heartbeat_of(Worker& w) {
    Heartbeat r{w.name, "a", "big", w.zone, false, w.agent_incarnation, ++w.serial, w.fencing_token, std::nullopt, {}};
    for (const auto& [key, p] : w.tasks)
      r.tasks.push_back({{std::get<0>(key), std::get<1>(key)}, std::get<2>(key), p.phase, p.exit_reason, false});
    return r;
  }

  void tend(Worker& w) {
    if (now_ < w.hangs_until) return;
    if (now_ - w.answered_sent > kLease) {
      w.tasks.clear();
      ++w.agent_incarnation;
      w.answered_sent = now_;
      w.awaited = 0;
      w.next_heartbeat = now_;
    }
    while (!w.held.empty()) {
      auto run = w.held.front();
      w.held.pop_front();
      run();
    }
    for (auto& [key, p] : w.tasks) {
      if (p.phase == TaskPhase::checkpointing && now_ >= p.ends) p = {TaskPhase::exited, ExitReason::stopped, 0};
      if (p.phase != TaskPhase::running || now_ < p.ends) continue;
      p.phase = TaskPhase::exited;
      p.exit_reason = at_fault(std::get<0>(key)) || uniform(0, 1) < 0.1 ? ExitReason::failed : ExitReason::completed;
      if (p.exit_reason == ExitReason::completed) finished_.insert({std::get<0>(key), std::get<1>(key)});
    }
    if (w.awaited != 0 && now_ > w.give_up) w.awaited = 0;
    if (w.awaited == 0 && now_ >= w.next_heartbeat) send_heartbeat(w);
    check(w);
  }

  void hear(const Heartbeat& r, bool is_heartbeat) {
    ClusterState& cluster_state = leader_->cluster_state;
    Node& node = cluster_state.node(cluster_state.find_or_add_node(r.node));
    const bool deaf = node.agent.unresponsive_since > 0;
    observe_message(node, r, is_heartbeat, now_, kLease);
    deafened += !deaf && node.agent.unresponsive_since > 0;
    auto outcome = apply_heartbeat(cluster_state, r, {now_, now_}, is_heartbeat, leader_->takeover_token);
    if (is_heartbeat) record_lease_renewal(node, outcome.stale, now_);
    leader_->record(std::move(outcome.records));
  }

  void send_heartbeat(Worker& w) {
    const Heartbeat r = heartbeat_of(w);
    // Its copies, to whoever leads then; nobody takes their answers.
    for (int copies = uniform(0, 1) < 0.1 ? 1 + static_cast<int>(random_() % 3) : 0; copies > 0; --copies)
      at(now_ + uniform(1, 4 * kLease), [this, r] { hear(r, true); });
    const double sent = now_;
    w.awaited = r.serial;
    w.give_up = now_ + kAnswerLife;
    w.next_heartbeat = now_ + uniform(0.75, 1.25) * kHeartbeat;
    const bool to_old = now_ < old_until_ && uniform(0, 1) < 0.8;
    for (int copy = uniform(0, 1) < 0.05 ? 0 : 1; copy < 2; ++copy) {
      if (dropped() || now_ < w.unheard_until) continue;
      at(now_ + delay(), [this, &w, r, sent, to_old] {
        std::vector<Command> commands;
        std::uint64_t fencing_token = 0;
        if (cut_off(w) || (cuts_ && w.zone == "y" && uniform(0, 1) < 0.1)) {
          if (!partition_lease_.is_active(now_) || r.fencing_token > partition_lease_.fencing_token()) return;
          partition_lease_.record_renewal(now_);
          ++kept;
          fencing_token = partition_lease_.fencing_token();
        } else if (to_old) {
          if (now_ >= old_until_ || r.fencing_token > old_->fencing_token) return;
          apply_heartbeat(old_->cluster_state, r, {now_, now_}, true, old_->takeover_token);
          commands = kills_for_cancelled_jobs(old_->cluster_state, old_->cluster_state.find_or_add_node(r.node));
          killed_in_doubt += commands.size();
          fencing_token = old_->fencing_token;
        } else {
          hear(r, true);
          Node& node = leader_->cluster_state.node(leader_->cluster_state.find_node(r.node));
          if (has_late_start_of_cancelled_job(leader_->cluster_state, node, now_, max_partition_lease_s(kCancel, kLease))) return;
          if (node.agent.incarnation == r.agent_incarnation && node.agent.serial == r.serial)
            commands = pending_commands(leader_->cluster_state, leader_->cluster_state.find_node(r.node), leader_->takeover_token);
          record_commands_sent(node, r.serial, commands);
          fencing_token = leader_->fencing_token;
        }
        if (dropped() || now_ < w.deaf_until || (!commands.empty() && cut_off(w))) return;
        at(now_ + delay(), [this, &w, r, sent, fencing_token, commands] {
          if (now_ < w.hangs_until || w.agent_incarnation != r.agent_incarnation || w.awaited != r.serial ||
              fencing_token < w.fencing_token || now_ - sent > kAnswerLife)
            return;
          w.awaited = 0;
          w.fencing_token = fencing_token;
          w.answered_sent = std::max(w.answered_sent, sent);
          execute(w, commands);
        });
      });
    }
  }

  void send_commands(const std::string& name, std::uint64_t fencing_token, std::uint64_t agent_incarnation,
                     const std::vector<Command>& commands, bool starts) {
    Worker& w = *std::find_if(workers_.begin(), workers_.end(), [&](auto& x) { return x.name == name; });
    const auto term = leader_->takeover_token;
    auto answered = std::make_shared<bool>(false);
    const auto deliver = [this, &w, fencing_token, agent_incarnation, commands, term, answered] {
      const bool taken = fencing_token >= w.fencing_token && agent_incarnation == w.agent_incarnation;
      if (taken) {
        w.fencing_token = fencing_token;
        execute(w, commands);
      }
      const Heartbeat r = heartbeat_of(w);
      if (dropped() || now_ < w.unheard_until || cut_off(w)) return;
      at(now_ + delay(), [this, r, term, answered] {
        if (leader_->takeover_token != term || *answered) return;
        *answered = true;
        leader_->cluster_state.node(leader_->cluster_state.find_or_add_node(r.node)).commands.in_flight_token = 0;
        hear(r, false);
      });
    };
    at(now_ + 1.5, [this, name, term, answered, starts, fencing_token] {
      if (leader_->takeover_token != term || *answered) return;
      *answered = true;
      Node& node = leader_->cluster_state.node(leader_->cluster_state.find_node(name));
      node.commands.in_flight_token = 0;
      if (starts) node.commands.uncertain_token = std::max(node.commands.uncertain_token, fencing_token);
    });
    const double deaf_until = std::max(w.deaf_until, w.zone == "y" ? zone_cut_until_ : 0);
    if (now_ < deaf_until && uniform(0, 1) < 0.5) return;  // or held, and delivered late
    at(std::max(now_, deaf_until) + delay(), [this, &w, deliver] {
      if (now_ < w.hangs_until) {
        w.held.push_back(deliver);
      } else {
        deliver();
      }
    });
  }

  // A hanging machine's tasks are over with its lease, though it can tell so only later.
  bool holds(const Worker& w) const { return now_ - w.answered_sent <= kLease; }

  void execute(Worker& w, const std::vector<Command>& commands) {
    for (const auto& o : commands) {
      const auto key = std::tuple(o.id.uid, o.id.task, o.attempt);
      auto it = w.tasks.find(key);
      if (o.type == CommandType::run && it == w.tasks.end()) {
        ++runs;
        if (!started_.insert(key).second)
          broken.push_back("ran_again: " + o.id.uid + "/" + std::to_string(o.id.task) + " attempt " + std::to_string(o.attempt) + " on " +
                           w.name + " at " + std::to_string(now_));
        for (auto& other : workers_)
          for (const auto& [k, p] : other.tasks)
            if (holds(other) && std::get<0>(k) == o.id.uid && std::get<1>(k) == o.id.task && p.phase != TaskPhase::exited)
              broken.push_back("ran_twice: " + o.id.uid + "/" + std::to_string(o.id.task) + " on " + other.name + " and " + w.name +
                               " at " + std::to_string(now_));
        w.tasks[key] = {TaskPhase::running, ExitReason::none, now_ + uniform(0.5, 12)};
      } else if (o.type == CommandType::kill && it != w.tasks.end() && it->second.phase != TaskPhase::exited) {
        if (o.grace_period_s > 0 && it->second.phase == TaskPhase::running) {
          it->second = {TaskPhase::checkpointing, ExitReason::none, now_ + uniform(0.5, 1.5)};
        } else if (o.grace_period_s == 0) {
          it->second = {TaskPhase::exited, ExitReason::stopped, 0};
        }
      } else if (o.type == CommandType::acknowledge_exit && it != w.tasks.end() && it->second.phase == TaskPhase::exited) {
        w.tasks.erase(it);
      }
    }
    for (const auto& [team, cores] : used())
      if (cores > limit_of(team)) broken.push_back("quota: " + team + " uses " + std::to_string(cores) + " at " + std::to_string(now_));
  }

  void check(Worker& w) {
    for (const auto& [key, p] : w.tasks) {
      auto it = cancelled_.find(std::get<0>(key));
      if (it != cancelled_.end() && p.phase != TaskPhase::exited && now_ > it->second + kCancel)
        broken.push_back("ran_cancelled: " + std::get<0>(key) + " at " + std::to_string(now_));
    }
    for (const auto& [uid, tasks] : submitted_) {
      const JobIndex j = leader_->cluster_state.find(uid);
      if (!j.valid()) {
        broken.push_back("forgotten: " + uid);
        continue;
      }
      const auto status = leader_->cluster_state.job(j).status;
      if (cancelled_.contains(uid) && status != JobStatus::cancelled) broken.push_back("went_back: " + uid);
      if (status != JobStatus::done) continue;
      for (std::uint32_t t = 0; t < tasks; ++t)
        if (!finished_.contains({uid, t})) broken.push_back("not_done: " + uid + "/" + std::to_string(t));
    }
  }

  std::mt19937_64 random_;
  bool cuts_, teams_, full_;
  double calm_from_ = 1e9;                                  // from then on no message is lost or late
  std::map<std::string, double> lasts_since_;               // what must not last
  std::map<std::string, std::map<double, double>> limits_;  // of each team, by when they came into force
  std::map<std::string, std::string> owner_of_;
  double zone_cut_until_ = 0;
  PartitionLease partition_lease_{max_partition_lease_s(kCancel, kLease), 0};
  std::uint64_t follower_token_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0, fencing_token_ = 0;
  double now_ = 0, old_until_ = 0;
  std::vector<Worker> workers_;
  std::vector<Record> ledger_;
  std::unique_ptr<Leader> leader_, old_;  // old_: answers reports until old_until_
  std::map<std::string, std::uint32_t> submitted_;
  std::map<std::string, double> cancelled_;
  std::set<std::pair<std::string, std::uint32_t>> finished_;
  std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> started_;
};

TEST(Safety, NoRuleIsBrokenOnDaysOfRandomTrouble) {
  std::size_t suspected = 0, deafened = 0, killed_in_doubt = 0;
  Pairs pairs{};
  for (std::uint64_t seed = 1; seed <= 240; ++seed) {
    Day day(seed);
    day.play(260);
    EXPECT_TRUE(day.broken.empty()) << "seed " << seed << ": " << day.broken.size() << " broken, first "
                                    << (day.broken.empty() ? "" : day.broken.front());
    EXPECT_GT(day.runs, 20u) << "seed " << seed;
    EXPECT_GT(day.leaders, 3u) << "seed " << seed;
    suspected += day.suspected;
    deafened += day.deafened;
    killed_in_doubt += day.killed_in_doubt;
    for (std::size_t a = 0; a < kTroubles; ++a)
      for (std::size_t b = 0; b < kTroubles; ++b) pairs[a][b] += day.pairs[a][b];
    EXPECT_TRUE(day.all_ended()) << "seed " << seed;
  }
  EXPECT_GT(killed_in_doubt, 10u);
  for (std::size_t a = 0; a < kTroubles; ++a) {
    std::cout << kTroubleNames[a] << ", then";
    for (std::size_t b = 0; b < kTroubles; ++b) {
      EXPECT_GT(pairs[a][b], 20u) << kTroubleNames[a] << ", then " << kTroubleNames[b];
      std::cout << (b ? ", " : " ") << kTroubleNames[b] << " " << pairs[a][b];
    }
    std::cout << "\n";
  }
  EXPECT_GT(suspected, 240u) << "two jobs of each day are at fault";
  EXPECT_GT(deafened, 100u) << "told from their reports";
}

// Four teams at their limits, which change in between, and one that comes late: what its workers really run is never more
// than was in force, and all that was accepted ends.
TEST(Safety, NoTeamUsesMoreThanItsLimitWhileLimitsChange) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    Day day(seed, DayKind::teams);
    day.play(320);
    EXPECT_TRUE(day.broken.empty()) << "seed " << seed << ": " << day.broken.size() << " broken, first "
                                    << (day.broken.empty() ? "" : day.broken.front());
    EXPECT_GT(day.leaders, 3u) << "seed " << seed;
    EXPECT_TRUE(day.all_ended()) << "seed " << seed;
  }
}

// Every team is at its limit, jobs are cancelled as a machine that holds them can't be reached or hangs, and leaders change, also twice
// in a lease; gangs are told to save in between. Room counts as free by proof alone, and is used again soon after that.
TEST(Safety, NoTeamUsesMoreThanItsLimitWhereAllAreFullAndCancelled) {
  std::size_t met = 0, met_twice = 0, saved = 0, looks = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Day day(seed, DayKind::full);
    day.play(440);
    EXPECT_TRUE(day.broken.empty()) << "seed " << seed << ": " << day.broken.size() << " broken, first "
                                    << (day.broken.empty() ? "" : day.broken.front());
    EXPECT_TRUE(day.all_ended()) << "seed " << seed << ":" << day.not_ended();
    met += day.met;
    met_twice += day.met_twice;
    saved += day.saved;
    looks += day.looks;
  }
  std::cout << met << " met, " << met_twice << " with two leaders, " << saved << " gangs told to save, " << looks << " looks\n";
  EXPECT_GT(met, 200u);
  EXPECT_GT(met_twice, 80u);
  EXPECT_GT(saved, 100u);
  EXPECT_GT(looks, 10000u);
}

// A zone is cut off from the leader again and again, and its follower keeps its leases: no task is given up while it runs, and
// none runs longer after its cancellation than it may.
TEST(Safety, NoRuleIsBrokenWhereAFollowerKeepsLeasesInACut) {
  std::size_t kept = 0;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    Day day(seed, DayKind::cuts);
    day.play(260);
    EXPECT_TRUE(day.broken.empty()) << "seed " << seed << ": " << day.broken.size() << " broken, first "
                                    << (day.broken.empty() ? "" : day.broken.front());
    EXPECT_TRUE(day.all_ended()) << "seed " << seed;
    kept += day.kept;
  }
  EXPECT_GT(kept, 160u);
}

}  // namespace
}  // namespace thistlefront
