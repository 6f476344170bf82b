#include "scheduling/preemption.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>

#include "scheduling/placement_rules.hpp"
#include "scheduling/plan_builder.hpp"
#include "scheduling/preemption_costs.hpp"
#include "scheduling/victim_search.hpp"

namespace thistlefront {

namespace {

constexpr double kReliableReleaseFraction = 0.6;  // part of the recent release rate that is counted on
constexpr double kStopTimeSeconds = 0.5;          // from the decision to preempt a task until its capacity is free
constexpr std::size_t kMaxUnitsPerPass = 64;      // units for which one pass preempts work

// Restricts the nodes and victims that are considered.
struct PreemptionLimits {
  double max_cost = kInfinity;     // only victim sets that cost less
  bool with_cached_image = false;  // only nodes that have the job's image
};

class PreemptionChooser {
 public:
  explicit PreemptionChooser(const PreemptionInput& in) : in_(in), search_(in) {}

  PreemptionPlan run() {
    std::size_t units = 0;
    for (const auto& [job, unserved] : unserved_in_order()) {
      if (units >= kMaxUnitsPerPass) break;
      units += preempt_for_unserved(*job, unserved, kMaxUnitsPerPass - units);
    }
    for (const auto* job : services_within_target()) {
      if (units >= kMaxUnitsPerPass) break;
      units += move_to_cached_image(*job, kMaxUnitsPerPass - units);
    }
    return std::move(out_);
  }

 private:
  std::vector<std::pair<const PlanJob*, std::uint32_t>> unserved_in_order() {
    std::unordered_map<JobIndex, std::uint32_t> unserved;
    for (const auto& entry : in_.plan.unserved) unserved[entry.job] = entry.units;
    std::vector<std::pair<const PlanJob*, std::uint32_t>> order;
    for (const auto& job : in_.plan_input.jobs) {
      const auto it = unserved.find(job.job);
      if (it != unserved.end() && search_.may_preempt_any(job)) order.emplace_back(&job, it->second);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return is_planned_before(*a.first, *b.first); });
    return order;
  }

  // Preempts work for the units that have no slot within their maximum wait; returns the number of units served. A short wait is
  // accepted instead, because tasks complete all the time and waiting loses no work.
  std::size_t preempt_for_unserved(const PlanJob& job, std::uint32_t unserved, std::size_t max_units) {
    std::uint32_t wanted = unserved;
    for (const auto& slot : in_.plan.reservations)
      if (slot.job == job.job && slot.start_at - in_.wall_now <= job.max_wait_s) wanted -= std::min(wanted, slot.units);
    wanted -= std::min(wanted, units_served_by_releases(job, wanted));
    // A gang of several tasks needs all its capacity at once: it waits for its reservation.
    if (wanted == 0 || (job.gang && unserved > 1)) return 0;
    tasks_by_zone_ = job.tasks_by_zone;
    for (const auto& slot : in_.plan.starts)
      if (slot.job == job.job) tasks_in_zone_of(slot.node) += slot.units;
    return preempt_for_units(job, std::min<std::size_t>(wanted, max_units), {});
  }

  // Units that tasks completing at the recent rate will serve within the maximum wait, without preemption. Capacity profiles know
  // estimated ends only: without this, a job of 70 tasks preempted one task for each of its own, and a seventh of all
  // work was lost.
  std::uint32_t units_served_by_releases(const PlanJob& job, std::uint32_t wanted) {
    if (job.service || job.demand.accelerators > 0 || job.demand.cores <= 0) return 0;
    const double usable_s = std::max(0.0, job.max_wait_s - kStopTimeSeconds);
    const double cores = std::max(0.0, kReliableReleaseFraction * in_.release_rate * usable_s - expected_release_cores_);
    const auto units = std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(cores / job.demand.cores));
    expected_release_cores_ += units * job.demand.cores;
    return units;
  }

  // Services that can still meet their start target, highest tier first.
  std::vector<const PlanJob*> services_within_target() const {
    std::vector<const PlanJob*> services;
    for (const auto& job : in_.plan_input.jobs)
      if (job.service && job.remaining_start_target_s > 0 && !job.suspect) services.push_back(&job);
    std::stable_sort(services.begin(), services.end(), [](const PlanJob* a, const PlanJob* b) { return a->tier > b->tier; });
    return services;
  }

  // Replicas that would miss their start target because their image must be fetched are moved to nodes that have the image, if
  // that loses little work. Without this, one replica in seven waited for its image. Returns the number of units moved.
  std::size_t move_to_cached_image(const PlanJob& job, std::size_t max_units) {
    std::size_t moved = 0;
    for (const auto* slot : slots_past_target(job)) {
      if (moved >= max_units) break;
      --tasks_in_zone_of(slot->node);
      if (preempt_for_units(job, 1, {image_wait_cost(job, time_to_serve_s(*slot)), true}) == 0) {
        ++tasks_in_zone_of(slot->node);
        continue;
      }
      ++moved;
      if (slot->start_at > in_.wall_now) continue;
      out_.cancelled_starts.push_back(*slot);
      search_.release(slot->node, job.demand);
    }
    return moved;
  }

  // Slots in which the job would serve too late for its start target. Also counts all of the job's slots in tasks_by_zone_.
  std::vector<const Slot*> slots_past_target(const PlanJob& job) {
    tasks_by_zone_ = job.tasks_by_zone;
    std::vector<const Slot*> late;
    for (const auto* slots : {&in_.plan.starts, &in_.plan.reservations}) {
      for (const auto& slot : *slots) {
        if (slot.job != job.job) continue;
        tasks_in_zone_of(slot.node) += slot.units;
        if (time_to_serve_s(slot) > job.remaining_start_target_s) late.push_back(&slot);
      }
    }
    return late;
  }

  // Preempts work for up to `wanted` units, the cheapest victim sets first; returns the number of units served. Each node is
  // searched once, and rechecked only when it comes to the top of the queue: its cost can only have grown.
  std::size_t preempt_for_units(const PlanJob& job, std::size_t wanted, const PreemptionLimits& limits) {
    using Entry = std::pair<double, std::size_t>;  // cost, position of the node
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
    const auto& nodes = in_.plan_input.nodes;
    for (std::size_t position = 0; position < nodes.size(); ++position) {
      if (limits.with_cached_image && image_pull_time(job, nodes[position]) > 0) continue;
      if (const auto set = find_cheapest_set(job, nodes[position]); set.cost < limits.max_cost) queue.emplace(set.cost, position);
    }
    std::size_t served = 0;
    while (served < wanted && !queue.empty()) {
      const std::size_t position = queue.top().second;
      queue.pop();
      const auto set = find_cheapest_set(job, nodes[position]);
      if (set.cost == kInfinity) continue;
      if (!queue.empty() && set.cost > queue.top().first) {
        queue.emplace(set.cost, position);
        continue;
      }
      search_.mark_stopped(set, out_.victims);
      search_.allocate(nodes[position].node, job.demand);
      ++count_at(tasks_by_zone_, nodes[position].zone.value);
      ++served;
      queue.emplace(set.cost, position);
    }
    return served;
  }

  VictimSet find_cheapest_set(const PlanJob& job, const PlanNode& node) {
    if (!may_run_on(job, node) || count_at(tasks_by_zone_, node.zone.value) >= job.max_tasks_per_zone) return {};
    if (job.single_zone && has_tasks_in_other_zone(tasks_by_zone_, node.zone)) return {};
    return search_.find_cheapest_set(job, node);
  }

  // Seconds until a replica in this slot serves requests.
  [[nodiscard]] double time_to_serve_s(const Slot& slot) const { return slot.start_at - in_.wall_now + slot.image_pull_s; }

  // Number of tasks of the current job in the zone of this node.
  std::uint32_t& tasks_in_zone_of(NodeIndex node) { return count_at(tasks_by_zone_, in_.cluster_state.node(node).zone.value); }

  const PreemptionInput& in_;
  VictimSearch search_;
  double expected_release_cores_ = 0;         // cores of expected releases that jobs earlier in the order wait for
  std::vector<std::uint32_t> tasks_by_zone_;  // of the current job, with its planned slots
  PreemptionPlan out_;
};

}  // namespace

PreemptionPlan choose_victims(const PreemptionInput& in) {
  return PreemptionChooser(in).run();
}

}  // namespace thistlefront
