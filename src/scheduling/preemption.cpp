#include "scheduling/preemption.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>
#include <unordered_map>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/resources.hpp"

namespace thistlefront {

namespace {

constexpr double kServiceLoss = 1e6;    // stopping a replica costs its users more than any repeated work
constexpr double kFreshStart = 30.0;    // a start stopped sooner than this counts for nothing
constexpr double kImageWorth = 10.0;    // core seconds that may be lost for each that a replica need not wait for its image
constexpr double kOfTurnover = 0.6;     // counted on
constexpr double kStopTime = 0.5;       // until room made by stopping is free
constexpr std::size_t kMostUnits = 64;  // units that one pass makes room for

struct Candidate {
  JobIndex job;
  std::vector<TaskRef> refs;  // one task, or all tasks of a gang on any machine
  Resources here;             // what it frees on the machine looked at
  double lost = 0;            // seconds of core time to be repeated
};

// Seconds of work that stopping this task loses.
double lost_by(const Job& job, const Placement& p, double wall, const std::set<std::string>& starts_count) {
  if (job.spec.job_type == JobType::service) return kServiceLoss;
  double ran = p.running_since > 0 ? std::max(0.0, wall - p.running_since) : 0;
  if (job.spec.checkpoint_interval_s > 0) ran = std::min(ran, job.spec.checkpoint_duration_s);
  return (ran + (wall - p.decided_at < kFreshStart && starts_count.contains(job.spec.job_class) ? kFreshStart : 0)) *
         std::max(job.spec.demand.cores, 0.1);
}

class Chooser {
 public:
  explicit Chooser(const PreemptionInput& in) : in_(in), cluster_state_(in.cluster_state) {
    for (const auto& h : in.make_plan_input.nodes) {
      Resources free = h.capacity;
      for (const auto& o : h.occupants) free -= o.demand;
      free_[h.node] = free;
    }
    for (const auto& s : in.plan.starts)
      if (auto it = free_.find(s.node); it != free_.end()) it->second -= cluster_state_.job(s.job).spec.demand * s.count;
    for (const auto& t : cluster_state_.teams()) excess_.push_back(t.used - t.guarantee);
  }

  PreemptionPlan run() {
    std::unordered_map<JobIndex, Plan::Unserved> unserved;
    for (const auto& u : in_.plan.unserved) unserved[u.job] = u;
    std::vector<const PlanJob*> order;
    for (const auto& j : in_.make_plan_input.jobs)
      if (unserved.contains(j.job) && any_to_stop(j)) order.push_back(&j);
    std::stable_sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return goes_before(*a, *b); });
    std::size_t units = 0;
    for (const auto* job : order) {
      if (units >= kMostUnits) break;
      const auto& u = unserved[job->job];
      // Its units that have no slot soon enough. Work ends all the time: what is only waited for a moment costs none.
      std::uint32_t wanted = u.units;
      for (const auto& s : in_.plan.reservations)
        if (s.job == job->job && s.at - in_.wall <= job->patience_s) wanted -= std::min(wanted, s.count);
      // A gang of several tasks needs all its room at once; its held slot is waited for.
      wanted -= std::min(wanted, by_itself(*job, wanted));
      if (wanted == 0 || (job->gang && u.units > 1)) continue;
      zones_ = job->tasks_by_zone;
      for (const auto& s : in_.plan.starts)
        if (s.job == job->job) zone_count(cluster_state_.node(s.node).zone) += s.count;
      units += make_room(*job, std::min<std::size_t>(wanted, kMostUnits - units));
    }
    for (const auto* job : replicas()) {
      if (units >= kMostUnits) break;
      units += move_to_image(*job, kMostUnits - units);
    }
    return std::move(out_);
  }

 private:
  std::uint32_t& zone_count(ZoneIndex z) {
    if (zones_.size() <= z.value) zones_.resize(z.value + 1, 0);
    return zones_[z.value];
  }

  [[nodiscard]] bool may_stop(const PlanJob& claim, JobIndex v) const {
    const Job& victim = cluster_state_.job(v);
    const Job& job = cluster_state_.job(claim.job);
    if (victim.urgency.priority < job.urgency.priority && (job.spec.job_type == JobType::service || !in_.protected_jobs.contains(v)))
      return true;
    if (victim.urgency.priority > job.urgency.priority || victim.team == job.team || !victim.team.valid()) return false;
    if (!in_.within_guarantee.contains(claim.job)) return false;
    // A job that lies within its own team's guarantee is no more beyond it because the team runs other work too:
    // without this, replicas of two such teams stopped each other pass after pass (lienzo steady).
    if (in_.within_guarantee.contains(v) || victim.spec.job_type == JobType::service) return false;
    // Only what the other team has beyond its own guarantee, and only where that is what is wanted.
    const auto& team = cluster_state_.teams()[victim.team.value];
    const auto& excess = excess_[victim.team.value];
    const bool cores = team.guarantee.cores > 0 && excess.cores >= victim.spec.demand.cores;
    const bool accelerators =
        team.guarantee.accelerators > 0 && victim.spec.demand.accelerators > 0 && excess.accelerators >= victim.spec.demand.accelerators;
    return cores || accelerators;
  }

  bool allowed(const PlanJob& job, const PlanNode& node) {
    if (!may_run_on(job, node) || zone_count(node.zone) >= job.max_tasks_per_zone) return false;
    return !job.single_zone || !elsewhere(zones_, node.zone);
  }

  struct Choice {
    double lost = kForever;
    std::vector<Candidate> set;
  };

  // The cheapest set of victims on one machine that lets one more unit in.
  Choice choice_on(const PlanJob& job, const PlanNode& node) {
    if (!allowed(job, node)) return {};
    Resources free = free_[node.node];
    std::vector<Candidate> candidates;
    if (!job.demand.fits(free)) candidates = candidates_on(job, node.node);
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.lost < b.lost; });
    Choice choice;
    double lost = job.demand.accelerators == 0 && node.capacity.accelerators > 0 ? 1 : 0;
    if (job.service) lost += image_pull_time(job, node) * job.demand.cores * kImageWorth;
    for (auto& c : candidates) {
      if (job.demand.fits(free)) break;
      free += c.here;
      lost += c.lost;
      choice.set.push_back(std::move(c));
    }
    if (!job.demand.fits(free)) return {};
    // What the others freed already may make some of them unnecessary; the dearest are given back first.
    for (auto it = choice.set.rbegin(); it != choice.set.rend();) {
      if (job.demand.fits(free - it->here)) {
        free -= it->here;
        lost -= it->lost;
        it = decltype(it)(choice.set.erase(std::next(it).base()));
      } else {
        ++it;
      }
    }
    choice.lost = lost;
    return choice;
  }

  // Units for which room comes in time without anybody's being stopped, as it came lately: a profile knows ends by estimates
  // only, and for each of its tasks a job of 70 stopped another's, a seventh of all work (kaubaalus fleet, calm).
  std::uint32_t by_itself(const PlanJob& job, std::uint32_t wanted) {
    if (job.service || job.demand.accelerators > 0 || job.demand.cores <= 0) return 0;
    const double in_time = kOfTurnover * in_.release_rate * std::max(0.0, job.patience_s - kStopTime) - awaited_;
    const auto units = std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(std::max(0.0, in_time) / job.demand.cores));
    awaited_ += units * job.demand.cores;
    return units;
  }

  // Jobs of services that still can keep the aim for their wait.
  std::vector<const PlanJob*> replicas() const {
    std::vector<const PlanJob*> out;
    for (const auto& j : in_.make_plan_input.jobs)
      if (j.service && j.run_within_s > 0 && !j.suspect) out.push_back(&j);
    std::stable_sort(out.begin(), out.end(), [](const PlanJob* a, const PlanJob* b) { return a->tier > b->tier; });
    return out;
  }

  // Replicas that would serve too late because their image must be fetched get room where it is cached, when little
  // work is lost for that (lienzo and kaubaalus grown, steady: one in seven waited for its image).
  std::size_t move_to_image(const PlanJob& job, std::size_t most) {
    std::size_t made = 0;
    zones_ = job.tasks_by_zone;
    std::vector<const Slot*> late;
    for (const auto* slots : {&in_.plan.starts, &in_.plan.reservations}) {
      for (const auto& s : *slots) {
        if (s.job != job.job) continue;
        zone_count(cluster_state_.node(s.node).zone) += s.count;
        if (s.at - in_.wall + s.image_pull_s > job.run_within_s) late.push_back(&s);
      }
    }
    for (const auto* s : late) {
      if (made >= most) break;
      auto& there = zone_count(cluster_state_.node(s->node).zone);
      --there;
      const double gain = (s->at - in_.wall + s->image_pull_s) * job.demand.cores * kImageWorth;
      if (make_room(job, 1, gain, true) == 0) {
        ++there;
        continue;
      }
      ++made;
      if (s->at > in_.wall) continue;
      out_.waived.push_back(*s);
      if (auto it = free_.find(s->node); it != free_.end()) it->second += job.demand;
    }
    return made;
  }

  // Whether it may stop anything at all. Hundreds of waiting tasks of the lowest rank, each looked at on every machine,
  // took most of the passes' time (lienzo ops, a burst of single tasks).
  bool any_to_stop(const PlanJob& claim) {
    const Job& job = cluster_state_.job(claim.job);
    const bool within = in_.within_guarantee.contains(claim.job);
    const auto key = std::tuple(job.urgency.priority, within, within ? job.team : TeamIndex{});
    auto [it, fresh] = stoppable_.try_emplace(key, false);
    if (fresh)
      it->second = std::any_of(cluster_state_.live().begin(), cluster_state_.live().end(),
                               [&](JobIndex v) { return !cluster_state_.job(v).placed.empty() && may_stop(claim, v); });
    return it->second;
  }

  // Room for up to `wanted` units, the cheapest first; returns for how many. Each machine is looked at once, and again
  // only when it is its turn: what it costs there can only have grown.
  std::size_t make_room(const PlanJob& job, std::size_t wanted, double most_lost = kForever, bool cached = false) {
    using Entry = std::pair<double, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
    const auto& nodes = in_.make_plan_input.nodes;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (cached && image_pull_time(job, nodes[i]) > 0) continue;
      if (const auto choice = choice_on(job, nodes[i]); choice.lost < most_lost) queue.emplace(choice.lost, i);
    }
    std::size_t made = 0;
    while (made < wanted && !queue.empty()) {
      const std::size_t i = queue.top().second;
      queue.pop();
      const auto choice = choice_on(job, nodes[i]);
      if (choice.lost == kForever) continue;
      if (!queue.empty() && choice.lost > queue.top().first) {
        queue.emplace(choice.lost, i);
        continue;
      }
      stop(choice.set);
      free_[nodes[i].node] -= job.demand;
      ++zone_count(nodes[i].zone);
      ++made;
      queue.emplace(choice.lost, i);
    }
    return made;
  }

  void stop(const std::vector<Candidate>& set) {
    for (const auto& c : set) {
      const Job& victim = cluster_state_.job(c.job);
      for (const auto& ref : c.refs) {
        taken_.insert(ref);
        out_.victims.push_back({ref, victim.spec.checkpoint_interval_s > 0 ? victim.spec.checkpoint_duration_s : 0});
        const auto& p = victim.placed.at(ref.task);
        if (auto it = free_.find(p.node); it != free_.end()) it->second += victim.spec.demand;
        if (victim.team.valid()) excess_[victim.team.value] -= victim.spec.demand;
      }
    }
  }

  std::vector<Candidate> candidates_on(const PlanJob& job, NodeIndex h) {
    std::vector<Candidate> out;
    std::set<JobIndex> gangs;
    for (const auto& ref : cluster_state_.node(h).placed) {
      const Job& victim = cluster_state_.job(ref.job);
      if (taken_.contains(ref) || !may_stop(job, ref.job)) continue;
      const Placement& at = *ref.placement;
      if (at.stopping || at.end_pending) continue;
      Candidate c;
      c.job = ref.job;
      if (victim.spec.job_type == JobType::gang) {
        if (!gangs.insert(ref.job).second) continue;
        for (const auto& [task, p] : victim.placed) {
          c.refs.push_back({ref.job, task});
          if (p.node == h) c.here += victim.spec.demand;
          c.lost += lost_by(victim, p, in_.wall, in_.starts_count);
        }
      } else {
        c.refs.push_back(ref);
        c.here = victim.spec.demand;
        c.lost = lost_by(victim, at, in_.wall, in_.starts_count);
      }
      out.push_back(std::move(c));
    }
    return out;
  }

  const PreemptionInput& in_;
  const ClusterState& cluster_state_;
  std::map<NodeIndex, Resources> free_;
  std::vector<Resources> excess_;
  double awaited_ = 0;  // cores of the turnover that jobs earlier in the order wait for
  std::vector<std::uint32_t> zones_;
  std::set<TaskRef> taken_;
  std::map<std::tuple<Priority, bool, TeamIndex>, bool> stoppable_;
  PreemptionPlan out_;
};

}  // namespace

PreemptionPlan choose_victims(const PreemptionInput& in) {
  return Chooser(in).run();
}

}  // namespace thistlefront
