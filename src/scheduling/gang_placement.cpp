#include "scheduling/gang_placement.hpp"

#include <algorithm>
#include <functional>
#include <queue>

#include "scheduling/placement_rules.hpp"

namespace thistlefront {

namespace {

constexpr std::size_t kMostLaterTries = 40;  // slots of a gang looked at behind its first

using EarliestFirst = std::priority_queue<double, std::vector<double>, std::greater<>>;

// The first of these times behind `at`; earlier ones are taken off. kForever when there is none.
double next_after(EarliestFirst& times, double at) {
  while (!times.empty() && times.top() <= at) times.pop();
  return times.empty() ? kForever : times.top();
}

}  // namespace

void GangPlacement::place() {
  if (builder_.startable(job_) < job_.units) return;
  for (const auto& nodes : candidate_sets()) search(nodes);
  const bool now = builder_.is_now(best_.at);
  if (!now) builder_.add_unserved(job_, job_.units, best_.at > builder_.input().horizon ? job_.units : 0);
  if (best_.at == kForever || (!now && builder_.reservations_full())) return;
  for (const auto& part : best_.parts) builder_.add_slot(job_, part.position, part.units, best_.at);
  builder_.charge_team(job_, job_.units, best_.at);
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
    if (!elsewhere(job_.tasks_by_zone, nodes[position].zone)) by_zone[nodes[position].zone.value].push_back(position);
  return by_zone;
}

void GangPlacement::search(const std::vector<NodePosition>& nodes) {
  double duration = 0;
  for (auto position : nodes) duration = std::max(duration, builder_.duration(job_, position));
  const double from = first_possible_time(nodes, duration);
  if (from >= best_.runs_at || (!builder_.is_now(from) && builder_.reservations_full())) return;
  const CostedNodes ordered = order_by_cost(nodes);
  // Times at which room comes free, earliest first: mostly only the first few are looked at.
  EarliestFirst times(std::greater<>(), later_steps(nodes, from));
  std::size_t later_tries = 0;
  bool fitted = false;
  for (double at = from; at < kForever; at = next_after(times, at)) {
    if (at >= best_.runs_at) break;
    // A later slot may run sooner, where images are cached; looking further than the first is bounded.
    if (fitted && (++later_tries > kMostLaterTries || builder_.reservations_full())) break;
    auto parts = fit_at(ordered, at, duration);
    if (parts.empty()) continue;
    fitted = true;
    use_if_better(at, std::move(parts));
  }
}

double GangPlacement::first_possible_time(const std::vector<NodePosition>& nodes, double duration) {
  std::vector<std::pair<double, std::uint32_t>> room;  // when a node takes one unit, and the most that it ever takes
  for (auto position : nodes) {
    const double at = builder_.earliest(job_, position, duration, builder_.input().now);
    if (at < kForever) room.emplace_back(at, whole_units(job_.demand, builder_.node(position).capacity));
  }
  std::sort(room.begin(), room.end());
  std::uint32_t units = 0;
  for (const auto& [at, most_units] : room) {
    units += most_units;
    if (units >= job_.units) return at;
  }
  return kForever;
}

std::vector<double> GangPlacement::later_steps(const std::vector<NodePosition>& nodes, double from) const {
  std::vector<double> times;
  for (auto position : nodes)
    for (const auto& step : builder_.profile(position).steps())
      if (step.at > from) times.push_back(step.at);
  return times;
}

GangPlacement::CostedNodes GangPlacement::order_by_cost(const std::vector<NodePosition>& nodes) {
  CostedNodes ordered;
  ordered.reserve(nodes.size());
  for (auto position : nodes) ordered.emplace_back(builder_.cost(job_, position), position);
  std::sort(ordered.begin(), ordered.end());
  return ordered;
}

std::vector<GangPlacement::UnitsOnNode> GangPlacement::fit_at(const CostedNodes& ordered, double at, double duration) {
  std::vector<UnitsOnNode> parts;
  auto tasks_by_zone = job_.tasks_by_zone;
  std::uint32_t remaining = job_.units;
  for (const auto& [cost, position] : ordered) {
    auto& in_zone = count_at(tasks_by_zone, builder_.node(position).zone.value);
    if (in_zone >= job_.max_tasks_per_zone) continue;
    const auto units = std::min({remaining, builder_.examine_fits(job_, position, at, duration), job_.max_tasks_per_zone - in_zone});
    if (units == 0) continue;
    in_zone += units;
    remaining -= units;
    parts.push_back({position, units});
    if (remaining == 0) return parts;
  }
  return {};
}

void GangPlacement::use_if_better(double at, std::vector<UnitsOnNode> parts) {
  double slowest_pull_s = 0;
  for (const auto& part : parts) slowest_pull_s = std::max(slowest_pull_s, builder_.image_pull_s(job_, part.position));
  if (at + slowest_pull_s < best_.runs_at) best_ = {at, at + slowest_pull_s, std::move(parts)};
}

}  // namespace thistlefront
