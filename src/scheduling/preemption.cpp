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

constexpr double kCountedReleaseShare = 0.6;  // of the room that comes free by itself
constexpr double kStopTimeSeconds = 0.5;      // until room made by stopping is free
constexpr std::size_t kMostUnits = 64;        // units that one pass makes room for

// Bounds on the nodes that are looked at to make room.
struct RoomLimits {
  double max_cost = kForever;      // only sets of victims that cost less
  bool with_cached_image = false;  // only nodes that have the job's image
};

class PreemptionChooser {
 public:
  explicit PreemptionChooser(const PreemptionInput& in) : in_(in), search_(in) {}

  PreemptionPlan run() {
    std::size_t units = 0;
    for (const auto& [job, unserved] : unserved_in_order()) {
      if (units >= kMostUnits) break;
      units += make_room_for_unserved(*job, unserved, kMostUnits - units);
    }
    for (const auto* job : replicas_within_target()) {
      if (units >= kMostUnits) break;
      units += move_to_cached_image(*job, kMostUnits - units);
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
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return goes_before(*a.first, *b.first); });
    return order;
  }

  // Makes room for the units that have no slot soon enough; returns for how many. Work ends all the time: what is only
  // waited for a moment costs none.
  std::size_t make_room_for_unserved(const PlanJob& job, std::uint32_t unserved, std::size_t most) {
    std::uint32_t wanted = unserved;
    for (const auto& slot : in_.plan.reservations)
      if (slot.job == job.job && slot.at - in_.wall <= job.patience_s) wanted -= std::min(wanted, slot.count);
    wanted -= std::min(wanted, units_by_release(job, wanted));
    // A gang of several tasks needs all its room at once; its reservation is waited for.
    if (wanted == 0 || (job.gang && unserved > 1)) return 0;
    tasks_by_zone_ = job.tasks_by_zone;
    for (const auto& slot : in_.plan.starts)
      if (slot.job == job.job) zone_count(slot.node) += slot.count;
    return make_room(job, std::min<std::size_t>(wanted, most), {});
  }

  // Units for which room comes in time without stopping anybody, at the rate at which it came recently. A profile knows ends by
  // estimates only: without this, for each of its tasks a job of 70 stopped another's, a seventh of all work.
  std::uint32_t units_by_release(const PlanJob& job, std::uint32_t wanted) {
    if (job.service || job.demand.accelerators > 0 || job.demand.cores <= 0) return 0;
    const double usable_s = std::max(0.0, job.patience_s - kStopTimeSeconds);
    const double cores = std::max(0.0, kCountedReleaseShare * in_.release_rate * usable_s - awaited_cores_);
    const auto units = std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(cores / job.demand.cores));
    awaited_cores_ += units * job.demand.cores;
    return units;
  }

  // Jobs of services that can still start within their target.
  std::vector<const PlanJob*> replicas_within_target() const {
    std::vector<const PlanJob*> replicas;
    for (const auto& job : in_.plan_input.jobs)
      if (job.service && job.run_within_s > 0 && !job.suspect) replicas.push_back(&job);
    std::stable_sort(replicas.begin(), replicas.end(), [](const PlanJob* a, const PlanJob* b) { return a->tier > b->tier; });
    return replicas;
  }

  // Replicas that would serve too late because their image must be fetched get room where it is cached, when little
  // work is lost for that; before, one in seven waited for its image. Returns for how many units.
  std::size_t move_to_cached_image(const PlanJob& job, std::size_t most) {
    std::size_t moved = 0;
    for (const auto* slot : late_slots(job)) {
      if (moved >= most) break;
      --zone_count(slot->node);
      if (make_room(job, 1, {image_wait_cost(job, serves_in_s(*slot)), true}) == 0) {
        ++zone_count(slot->node);
        continue;
      }
      ++moved;
      if (slot->at > in_.wall) continue;
      out_.waived.push_back(*slot);
      search_.return_room(slot->node, job.demand);
    }
    return moved;
  }

  // The job's slots that serve after its target. Counts all of its slots by zone.
  std::vector<const Slot*> late_slots(const PlanJob& job) {
    tasks_by_zone_ = job.tasks_by_zone;
    std::vector<const Slot*> late;
    for (const auto* slots : {&in_.plan.starts, &in_.plan.reservations}) {
      for (const auto& slot : *slots) {
        if (slot.job != job.job) continue;
        zone_count(slot.node) += slot.count;
        if (serves_in_s(slot) > job.run_within_s) late.push_back(&slot);
      }
    }
    return late;
  }

  // Makes room for up to `wanted` units, the cheapest first; returns for how many. Each node is looked at once, and again
  // only when it is its turn: what it costs there can only have grown.
  std::size_t make_room(const PlanJob& job, std::size_t wanted, const RoomLimits& limits) {
    using Entry = std::pair<double, std::size_t>;  // cost, position of the node
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
    const auto& nodes = in_.plan_input.nodes;
    for (std::size_t position = 0; position < nodes.size(); ++position) {
      if (limits.with_cached_image && image_pull_time(job, nodes[position]) > 0) continue;
      if (const auto set = cheapest_set(job, nodes[position]); set.cost < limits.max_cost) queue.emplace(set.cost, position);
    }
    std::size_t made = 0;
    while (made < wanted && !queue.empty()) {
      const std::size_t position = queue.top().second;
      queue.pop();
      const auto set = cheapest_set(job, nodes[position]);
      if (set.cost == kForever) continue;
      if (!queue.empty() && set.cost > queue.top().first) {
        queue.emplace(set.cost, position);
        continue;
      }
      search_.stop(set, out_.victims);
      search_.take_room(nodes[position].node, job.demand);
      ++count_at(tasks_by_zone_, nodes[position].zone.value);
      ++made;
      queue.emplace(set.cost, position);
    }
    return made;
  }

  VictimSet cheapest_set(const PlanJob& job, const PlanNode& node) {
    if (!may_run_on(job, node) || count_at(tasks_by_zone_, node.zone.value) >= job.max_tasks_per_zone) return {};
    if (job.single_zone && elsewhere(tasks_by_zone_, node.zone)) return {};
    return search_.cheapest_set(job, node);
  }

  // Seconds until a replica in this slot serves.
  [[nodiscard]] double serves_in_s(const Slot& slot) const { return slot.at - in_.wall + slot.image_pull_s; }

  // Tasks in the zone of this node, of the job that room is made for.
  std::uint32_t& zone_count(NodeIndex node) { return count_at(tasks_by_zone_, in_.cluster_state.node(node).zone.value); }

  const PreemptionInput& in_;
  VictimSearch search_;
  double awaited_cores_ = 0;  // of those that come free by themselves, for jobs earlier in the order
  std::vector<std::uint32_t> tasks_by_zone_;
  PreemptionPlan out_;
};

}  // namespace

PreemptionPlan choose_victims(const PreemptionInput& in) {
  return PreemptionChooser(in).run();
}

}  // namespace thistlefront
