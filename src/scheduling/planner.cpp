#include "scheduling/planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

namespace thistlefront {

namespace {

constexpr double kEstimateFloor = 10.0;
constexpr double kShortestRun = 1.0;
constexpr std::size_t kSpareSteps = 6;  // of a profile, for what the pass puts there
constexpr double kNotComputed = -1;
constexpr std::size_t kMostTries = 40;  // slots of a gang looked at behind its first

std::uint32_t whole_units(const Resources& need, const Resources& room) {
  double n = 1e6;
  constexpr double slack = 1e-6;
  if (need.cores > 0) n = std::min(n, (room.cores + slack) / need.cores);
  if (need.accelerators > 0) n = std::min(n, (room.accelerators + slack) / need.accelerators);
  if (need.ram_gb > 0) n = std::min(n, (room.ram_gb + slack) / need.ram_gb);
  return n < 1 ? 0 : static_cast<std::uint32_t>(n);
}

}  // namespace

double key_of(double random_draw, double estimate_s, double weight, double waited_s, bool service) {
  const double delay = weight * std::max(0.0, waited_s);
  return service ? delay : random_draw / std::max(estimate_s, kEstimateFloor) + delay;
}

Profile::Profile(const PlanNode& node, double now, double overrun_s) : until_(node.usable_until) {
  Resources free = node.capacity;
  std::vector<PlanNode::Occupant> ends = node.occupants;
  for (auto& o : ends) {
    if (o.until <= now) o.until = now + overrun_s;
    free -= o.demand;
  }
  std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.until < b.until; });
  steps_.reserve(ends.size() + kSpareSteps);
  steps_.push_back({now, free});
  for (const auto& o : ends) {
    if (o.until == kForever) break;
    free += o.demand;
    if (o.until <= steps_.back().at) {
      steps_.back().free = free;
    } else {
      steps_.push_back({o.until, free});
    }
  }
}

double Profile::earliest(const Resources& need, double duration, double from) const {
  for (std::size_t i = 0; i < steps_.size();) {
    const double at = std::max(from, steps_[i].at);
    const double next = i + 1 < steps_.size() ? steps_[i + 1].at : kForever;
    if (next <= from) {
      ++i;
      continue;
    }
    std::size_t j = i;
    for (; j < steps_.size() && steps_[j].at < at + duration; ++j)
      if (!need.fits(steps_[j].free)) break;
    if (j == steps_.size() || steps_[j].at >= at + duration) return at >= until_ ? kForever : at;
    i = j + 1;
  }
  return kForever;
}

std::uint32_t Profile::fits(const Resources& need, double at, double duration) const {
  if (at >= until_) return 0;
  std::uint32_t n = UINT32_MAX;
  for (std::size_t i = 0; i < steps_.size(); ++i) {
    const double next = i + 1 < steps_.size() ? steps_[i + 1].at : kForever;
    if (next <= at) continue;
    if (steps_[i].at >= at + duration) break;
    n = std::min(n, whole_units(need, steps_[i].free));
    if (n == 0) break;
  }
  return n;
}

std::size_t Profile::cut(double at) {
  auto it = std::lower_bound(steps_.begin(), steps_.end(), at, [](const Step& s, double t) { return s.at < t; });
  const auto pos = static_cast<std::size_t>(it - steps_.begin());
  if (it != steps_.end() && it->at == at) return pos;
  steps_.insert(it, Step{at, steps_[pos - 1].free});
  return pos;
}

void Profile::take(const Resources& amount, double at, double duration) {
  const auto first = cut(at);
  const auto last = duration == kForever ? steps_.size() : cut(at + duration);
  for (auto i = first; i < last; ++i) steps_[i].free -= amount;
}

bool borrows(const PlanJob& job, const PlanNode& node) {
  if (job.demand.accelerators > 0) return false;
  return node.lending == PlanNode::Lending::kept || (node.lending == PlanNode::Lending::not_to_services && job.service);
}

bool goes_before(const PlanJob& a, const PlanJob& b) {
  return a.tier != b.tier ? a.tier > b.tier : a.key > b.key;
}

bool elsewhere(const std::vector<std::uint32_t>& by_zone, ZoneIndex zone) {
  for (std::size_t z = 0; z < by_zone.size(); ++z)
    if (z != zone.value && by_zone[z] > 0) return true;
  return false;
}

double image_pull_time(const PlanJob& job, const PlanNode& node) {
  if (std::find(node.images.begin(), node.images.end(), job.image) != node.images.end()) return 0;
  return node.image_fetch_gb_per_s > 0 ? job.image_gb / node.image_fetch_gb_per_s : 0;
}

bool may_run_on(const PlanJob& job, const PlanNode& node) {
  if (node.spot && !job.allows_spot) return false;
  if (job.zone.valid() && node.zone != job.zone) return false;
  if (!job.machine_types.empty() &&
      std::find(job.machine_types.begin(), job.machine_types.end(), node.machine_type) == job.machine_types.end())
    return false;
  if (std::find(job.avoided_nodes.begin(), job.avoided_nodes.end(), node.node) != job.avoided_nodes.end()) return false;
  if (borrows(job, node) && !job.demand.fits(node.lent)) return false;
  return job.demand.fits(node.capacity);
}

namespace {

class Planner {
 public:
  explicit Planner(const PlanInput& input) : in_(input), teams_(input.teams), held_(input.teams.size()) {
    pull_seconds_.resize(in_.nodes.size());
    profiles_.reserve(in_.nodes.size());
    lent_.reserve(in_.nodes.size());
    for (const auto& h : in_.nodes) {
      profiles_.emplace_back(h, in_.now, in_.overrun_s);
      lent_.push_back(h.lent);
    }
  }

  Plan run() {
    std::vector<const PlanJob*> order;
    for (const auto& job : in_.jobs) order.push_back(&job);
    std::stable_sort(order.begin(), order.end(), [](const auto* a, const auto* b) { return goes_before(*a, *b); });
    for (const auto* next : order) {
      PlanJob job = *next;
      std::fill(pull_seconds_.begin(), pull_seconds_.end(), kNotComputed);
      if (job.gang && job.units > 1) {
        place_gang(job);
      } else {
        place_units(job);
      }
    }
    return std::move(plan_);
  }

 private:
  // Of the job that is being placed: seconds until host `h` has its image. Computed once for each host.
  double pull(const PlanJob& job, std::size_t h) {
    double& seconds = pull_seconds_[h];
    if (seconds == kNotComputed) seconds = image_pull_time(job, in_.nodes[h]);
    return seconds;
  }
  double duration(const PlanJob& job, std::size_t h) {
    // A claim of 0 s still takes room.
    return job.service ? kForever : std::max(kShortestRun, pull(job, h) + job.estimated_run_s);
  }
  // Units that the team's limit lets start now, and units that it lets hold a later slot. What is only held does not
  // count against starts: a long queue of one job must not keep the team's next one from starting.
  [[nodiscard]] std::uint32_t startable(const PlanJob& job) const {
    return job.team.valid() ? whole_units(job.demand, teams_[job.team.value].remaining) : UINT32_MAX;
  }
  [[nodiscard]] std::uint32_t holdable(const PlanJob& job) const {
    return job.team.valid() ? whole_units(job.demand, teams_[job.team.value].remaining - held_[job.team.value]) : UINT32_MAX;
  }
  void charge(const PlanJob& job, std::uint32_t units, bool now) {
    if (!job.team.valid()) return;
    if (now) {
      teams_[job.team.value].remaining -= job.demand * units;
    } else {
      held_[job.team.value] += job.demand * units;
    }
  }
  static std::uint32_t& at(std::vector<std::uint32_t>& counts, std::size_t i) {
    if (counts.size() <= i) counts.resize(i + 1, 0);
    return counts[i];
  }

  // Lower is better among slots at the same time.
  double cost(PlanJob& job, std::size_t h) {
    const PlanNode& node = in_.nodes[h];
    double c = pull(job, h);
    // Machines with accelerators are left to the work that needs them while there is room elsewhere.
    if (job.demand.accelerators == 0 && node.capacity.accelerators > 0) c += 1000;
    // Spot machines take what may run there, and leave the others to the work that may not.
    if (job.allows_spot && node.spot) c -= 2;
    if (job.service) {
      // Replicas of one job in different places, so that a lost machine or zone takes few of them.
      c += 4.0 * at(job.tasks_by_node, h) + 2.0 * at(job.tasks_by_zone, node.zone.value);
    }
    // Among equals the fuller machine, so that whole machines stay free.
    const auto& free = profiles_[h].steps().front().free;
    return c + (node.capacity.cores > 0 ? free.cores / node.capacity.cores : 0);
  }

  void record(PlanJob& job, std::size_t h, std::uint32_t units, double t) {
    const PlanNode& node = in_.nodes[h];
    profiles_[h].take(job.demand * units, t, duration(job, h));
    if (borrows(job, node)) lent_[h] -= job.demand * units;
    at(job.tasks_by_zone, node.zone.value) += units;
    at(job.tasks_by_node, h) += units;
    (t <= in_.now ? plan_.starts : plan_.reservations).push_back({job.job, node.node, units, t, pull(job, h)});
  }

  void place_units(PlanJob& job) {
    std::uint32_t left = std::min(job.units, startable(job));
    if (left == 0) return;
    if (holds_full() && hopeless(job)) {
      if (!job.suspect) plan_.unserved.push_back({job.job, job.units, job.units});
      return;
    }
    // A replica serves from when its image is there: of its slots the earliest in this sense is taken.
    struct Candidate {
      double t, serves, cost;
      std::size_t h;
      bool operator<(const Candidate& o) const { return serves != o.serves ? serves > o.serves : cost != o.cost ? cost > o.cost : h > o.h; }
    };
    std::priority_queue<Candidate> queue;
    const auto offer = [&](std::size_t h, double from) {
      // With no later slot left to give, only room that is free now matters.
      if (holds_full() && !job.demand.fits(profiles_[h].steps().front().free)) return;
      ++plan_.examined_nodes;
      const double t = profiles_[h].earliest(job.demand, duration(job, h), from);
      if (t < kForever) queue.push({t, job.service ? t + pull(job, h) : t, cost(job, h), h});
    };
    for (std::size_t h = 0; h < in_.nodes.size(); ++h)
      if (may_run_on(job, in_.nodes[h]) && lends(job, h)) offer(h, in_.now);
    Plan::Unserved unserved{job.job, 0, 0};
    while (left > 0 && !queue.empty()) {
      const Candidate c = queue.top();
      queue.pop();
      const PlanNode& node = in_.nodes[c.h];
      // What was true when it was offered may be no more: zones fill up, replicas were put there.
      const double again = job.service ? cost(job, c.h) : c.cost;
      if (again > c.cost + 1e-9) {
        queue.push({c.t, c.serves, again, c.h});
        continue;
      }
      const std::uint32_t used = at(job.tasks_by_zone, node.zone.value);
      if (used >= job.max_tasks_per_zone || !lends(job, c.h)) continue;
      if (job.single_zone && elsewhere(job.tasks_by_zone, node.zone)) continue;
      std::uint32_t n = std::min(left, job.max_tasks_per_zone - used);
      n = std::min(n, profiles_[c.h].fits(job.demand, c.t, duration(job, c.h)));
      if (job.service) n = std::min(n, 1u);
      if (borrows(job, node)) n = std::min(n, whole_units(job.demand, lent_[c.h]));
      const bool now = c.t <= in_.now;
      n = std::min(n, now ? startable(job) : holdable(job));
      if (n == 0) continue;
      if (!now && holds_full()) break;
      record(job, c.h, n, c.t);
      charge(job, n, now);
      left -= n;
      if (!now) unserved.units += n;
      if (c.t > in_.horizon) unserved.late += n;
      offer(c.h, c.t);
    }
    if (left > 0 && holds_full()) note_hopeless(job);
    unserved.units += left;
    unserved.late += left;
    if (unserved.units > 0 && !job.suspect) plan_.unserved.push_back(unserved);
  }

  // All units at the first time when they fit together, in one zone where the job asks for it.
  void place_gang(PlanJob& job) {
    if (startable(job) < job.units) return;
    std::vector<std::size_t> all;
    for (std::size_t h = 0; h < in_.nodes.size(); ++h)
      if (may_run_on(job, in_.nodes[h])) all.push_back(h);
    std::vector<std::vector<std::size_t>> sets;
    if (job.single_zone) {
      std::size_t zones = 0;
      for (auto h : all) zones = std::max<std::size_t>(zones, in_.nodes[h].zone.value + 1);
      sets.resize(zones);
      for (auto h : all)
        if (!elsewhere(job.tasks_by_zone, in_.nodes[h].zone)) sets[in_.nodes[h].zone.value].push_back(h);
    } else {
      sets.push_back(all);
    }
    // A gang runs when the last of its machines has the image: of its slots the one where it runs first is taken.
    double best = kForever, best_runs = kForever;
    std::vector<std::pair<std::size_t, std::uint32_t>> chosen;
    for (const auto& nodes : sets) {
      double longest = 0;
      for (auto h : nodes) longest = std::max(longest, duration(job, h));
      // Before all of its units have a machine that takes one at all, a gang need not be tried.
      std::vector<std::pair<double, std::uint32_t>> first;
      for (auto h : nodes) {
        ++plan_.examined_nodes;
        const double t = profiles_[h].earliest(job.demand, longest, in_.now);
        if (t < kForever) first.emplace_back(t, whole_units(job.demand, in_.nodes[h].capacity));
      }
      std::sort(first.begin(), first.end());
      double from = kForever;
      std::uint32_t units = 0;
      for (const auto& [t, n] : first) {
        units += n;
        if (units < job.units) continue;
        from = t;
        break;
      }
      if (from >= best_runs || (from > in_.now && holds_full())) continue;
      std::vector<std::pair<double, std::size_t>> ordered;
      for (auto h : nodes) ordered.emplace_back(cost(job, h), h);
      std::sort(ordered.begin(), ordered.end());
      // Times at which room comes free, earliest first: mostly only the first few are looked at.
      std::priority_queue<double, std::vector<double>, std::greater<>> times(std::greater<>(), later_steps(nodes, from));
      std::size_t tries = 0;
      bool fitted = false;
      for (double t = from; t < kForever; t = next_after(times, t)) {
        // Looking further than the first slot is bounded.
        if (t >= best_runs || (fitted && (++tries > kMostTries || holds_full()))) break;
        auto some = fit_at(job, ordered, t, longest);
        if (some.empty()) continue;
        fitted = true;
        double slowest_pull = 0;
        for (const auto& [h, n] : some) slowest_pull = std::max(slowest_pull, pull(job, h));
        if (t + slowest_pull >= best_runs) continue;
        best = t;
        best_runs = t + slowest_pull;
        chosen = std::move(some);
      }
    }
    if (best > in_.now && !job.suspect) plan_.unserved.push_back({job.job, job.units, best > in_.horizon ? job.units : 0});
    if (best == kForever || (best > in_.now && holds_full())) return;
    for (auto [h, n] : chosen) record(job, h, n, best);
    charge(job, job.units, best <= in_.now);
  }

  // Starts of the profiles' steps behind `from`, in no order.
  std::vector<double> later_steps(const std::vector<std::size_t>& nodes, double from) const {
    std::vector<double> out;
    for (auto h : nodes)
      for (const auto& step : profiles_[h].steps())
        if (step.at > from) out.push_back(step.at);
    return out;
  }
  // The first of these times behind `t`, which is taken off them; kForever when there is none.
  template <class Queue>
  static double next_after(Queue& times, double t) {
    while (!times.empty() && times.top() <= t) times.pop();
    return times.empty() ? kForever : times.top();
  }

  std::vector<std::pair<std::size_t, std::uint32_t>> fit_at(PlanJob& job, const std::vector<std::pair<double, std::size_t>>& ordered,
                                                            double t, double longest) {
    std::vector<std::pair<std::size_t, std::uint32_t>> out;
    auto zones = job.tasks_by_zone;
    std::uint32_t left = job.units;
    for (auto [c, h] : ordered) {
      auto& used = at(zones, in_.nodes[h].zone.value);
      if (used >= job.max_tasks_per_zone) continue;
      ++plan_.examined_nodes;
      const auto n = std::min({left, profiles_[h].fits(job.demand, t, longest), job.max_tasks_per_zone - used});
      if (n == 0) continue;
      used += n;
      left -= n;
      out.emplace_back(h, n);
      if (left == 0) return out;
    }
    return {};
  }

  // With no later slot left to give, a job for which a like one, that needed no more, found nothing free finds nothing
  // either: room that is free now only shrinks within a pass. Bursts of hundreds of single tasks, each looked for on
  // each machine, took most of the planning (lienzo ops).
  struct Kin {
    std::vector<MachineTypeIndex> kinds;
    ZoneIndex zone;
    bool allows_spot;
    auto operator<=>(const Kin&) const = default;
  };
  static bool plain(const PlanJob& job) {
    return !job.service && job.avoided_nodes.empty() && job.max_tasks_per_zone == UINT32_MAX && !job.single_zone &&
           job.demand.accelerators == 0;
  }
  bool hopeless(const PlanJob& job) const {
    if (!plain(job)) return false;
    const auto it = hopeless_.find({job.machine_types, job.zone, job.allows_spot});
    if (it == hopeless_.end()) return false;
    return std::any_of(it->second.begin(), it->second.end(),
                       [&](const Resources& r) { return job.demand.cores >= r.cores && job.demand.ram_gb >= r.ram_gb; });
  }
  void note_hopeless(const PlanJob& job) {
    if (!plain(job) || startable(job) == 0) return;
    auto& needs = hopeless_[{job.machine_types, job.zone, job.allows_spot}];
    std::erase_if(needs, [&](const Resources& r) { return r.cores >= job.demand.cores && r.ram_gb >= job.demand.ram_gb; });
    needs.push_back(job.demand);
  }

  [[nodiscard]] bool holds_full() const { return plan_.reservations.size() >= in_.max_reservations; }
  [[nodiscard]] bool lends(const PlanJob& job, std::size_t h) const { return !borrows(job, in_.nodes[h]) || job.demand.fits(lent_[h]); }

  const PlanInput& in_;
  std::vector<Profile> profiles_;
  std::vector<Resources> lent_;
  std::vector<double> pull_seconds_;  // by host, of the job that is being placed
  std::vector<TeamHeadroom> teams_;
  std::vector<Resources> held_;
  std::map<Kin, std::vector<Resources>> hopeless_;
  Plan plan_;
};

}  // namespace

Plan make_plan(const PlanInput& input) {
  return Planner(input).run();
}

}  // namespace thistlefront
