#include "scheduling/gang_placement.hpp"

#include <algorithm>
#include <functional>
#include <queue>

#include "scheduling/placement_rules.hpp"

namespace thistlefront {

namespace {

constexpr std::size_t kMaxLaterAttempts = 40;  // start times tried after the first one that fits

using EarliestFirst = std::priority_queue<double, std::vector<double>, std::greater<>>;

// Removes all times up to `time` and returns the next one; kInfinity if there is none.
double pop_up_to(EarliestFirst& times, double time) {
  while (!times.empty() && times.top() <= time) times.pop();
  return times.empty() ? kInfinity : times.top();
}

}  // namespace

void GangPlacement::place() {
  if (builder_.startable_units(job_) < job_.units) return;
  for (const auto& nodes : candidate_sets()) search_nodes(nodes);
  const bool starts_now = builder_.is_now(best_.start_at);
  if (!starts_now) builder_.add_unserved(job_, job_.units, best_.start_at > builder_.input().horizon ? job_.units : 0);
  if (best_.start_at == kInfinity || (!starts_now && builder_.reservations_full())) return;
  for (const auto& part : best_.parts) builder_.add_slot(job_, part.position, part.units, best_.start_at);
  builder_.charge_team(job_, job_.units, best_.start_at);
}

std::vector<std::vector<NodePosition>> GangPlacement::candidate_sets() const {
  const auto& nodes = builder_.input().nodes;
  std::vector<NodePosition> eligible;
  for (NodePosition position = 0; position < nodes.size(); ++position)
    if (may_run_on(job_, nodes[position])) eligible.push_back(position);
  if (!job_.single_zone) return {std::move(eligible)};
  std::size_t zone_count = 0;
  for (auto position : eligible) zone_count = std::max<std::size_t>(zone_count, nodes[position].zone.value + 1);
  std::vector<std::vector<NodePosition>> by_zone(zone_count);
  for (auto position : eligible)
    if (!has_tasks_in_other_zone(job_.tasks_by_zone, nodes[position].zone)) by_zone[nodes[position].zone.value].push_back(position);
  return by_zone;
}

void GangPlacement::search_nodes(const std::vector<NodePosition>& nodes) {
  double duration_s = 0;
  for (auto position : nodes) duration_s = std::max(duration_s, builder_.run_duration_s(job_, position));
  const double from = first_possible_start(nodes, duration_s);
  if (from >= best_.runs_at || (!builder_.is_now(from) && builder_.reservations_full())) return;
  const NodesByCost sorted_nodes = sort_by_cost(nodes);
  // Times at which capacity comes free. A heap, because usually only the first few are needed.
  EarliestFirst times(std::greater<>(), step_times_after(nodes, from));
  std::size_t later_attempts = 0;
  bool fitted = false;
  for (double start_at = from; start_at < kInfinity; start_at = pop_up_to(times, start_at)) {
    if (start_at >= best_.runs_at) break;
    // A later slot may run sooner if its nodes have the image cached. The number of later slots tried is bounded. An overdue gang that
    // can start now does, because a later slot recedes for as long as the tasks there exceed their estimates.
    if (fitted && job_.overdue && builder_.is_now(best_.start_at)) break;
    if (fitted && (++later_attempts > kMaxLaterAttempts || builder_.reservations_full())) break;
    auto parts = distribute_units(sorted_nodes, start_at, duration_s);
    if (parts.empty()) continue;
    fitted = true;
    use_if_better(start_at, std::move(parts));
  }
}

double GangPlacement::first_possible_start(const std::vector<NodePosition>& nodes, double duration_s) {
  std::vector<std::pair<double, std::uint32_t>> fits;  // earliest time for one unit on a node, and the node's maximum number of units
  for (auto position : nodes) {
    const double start_at = builder_.find_earliest_fit(job_, position, duration_s, builder_.input().now);
    if (start_at < kInfinity) fits.emplace_back(start_at, count_whole_units(job_.demand, builder_.node(position).capacity));
  }
  std::sort(fits.begin(), fits.end());
  std::uint32_t units = 0;
  for (const auto& [start_at, max_units] : fits) {
    units += max_units;
    if (units >= job_.units) return start_at;
  }
  return kInfinity;
}

std::vector<double> GangPlacement::step_times_after(const std::vector<NodePosition>& nodes, double from) const {
  std::vector<double> times;
  for (auto position : nodes)
    for (const auto& step : builder_.profile(position).steps())
      if (step.start_at > from) times.push_back(step.start_at);
  return times;
}

GangPlacement::NodesByCost GangPlacement::sort_by_cost(const std::vector<NodePosition>& nodes) {
  NodesByCost sorted;
  sorted.reserve(nodes.size());
  for (auto position : nodes) sorted.emplace_back(builder_.placement_cost(job_, position), position);
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

std::vector<GangPlacement::UnitsOnNode> GangPlacement::distribute_units(const NodesByCost& sorted_nodes, double start_at,
                                                                        double duration_s) {
  std::vector<UnitsOnNode> parts;
  auto tasks_by_zone = job_.tasks_by_zone;
  std::uint32_t remaining = job_.units;
  for (const auto& [cost, position] : sorted_nodes) {
    auto& tasks_in_zone = count_at(tasks_by_zone, builder_.node(position).zone.value);
    if (tasks_in_zone >= job_.max_tasks_per_zone) continue;
    const auto units =
        std::min({remaining, builder_.count_fitting_units(job_, position, start_at, duration_s), job_.max_tasks_per_zone - tasks_in_zone});
    if (units == 0) continue;
    tasks_in_zone += units;
    remaining -= units;
    parts.push_back({position, units});
    if (remaining == 0) return parts;
  }
  return {};
}

void GangPlacement::use_if_better(double start_at, std::vector<UnitsOnNode> parts) {
  double slowest_pull_s = 0;
  for (const auto& part : parts) slowest_pull_s = std::max(slowest_pull_s, builder_.image_pull_s(job_, part.position));
  if (start_at + slowest_pull_s < best_.runs_at) best_ = {start_at, start_at + slowest_pull_s, std::move(parts)};
}

}  // namespace thistlefront
