#include "scheduling/capacity_profile.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kSpareSteps = 6;  // preallocated for the slots that the pass adds
}  // namespace

std::uint32_t count_whole_units(const Resources& demand, const Resources& available) {
  constexpr double kMaxUnits = 1e6;
  constexpr double kRoundingSlack = 1e-6;  // for sums of decimals
  double units = kMaxUnits;
  if (demand.cores > 0) units = std::min(units, (available.cores + kRoundingSlack) / demand.cores);
  if (demand.accelerators > 0) units = std::min(units, (available.accelerators + kRoundingSlack) / demand.accelerators);
  if (demand.ram_gb > 0) units = std::min(units, (available.ram_gb + kRoundingSlack) / demand.ram_gb);
  return units < 1 ? 0 : static_cast<std::uint32_t>(units);
}

CapacityProfile::CapacityProfile(const PlanNode& node, double now, double overrun_s) : usable_until_(node.usable_until) {
  Resources free = node.capacity;
  std::vector<PlanNode::Occupant> occupants = node.occupants;
  for (auto& occupant : occupants) {
    if (occupant.ends_at <= now) occupant.ends_at = now + overrun_s;
    free -= occupant.demand;
  }
  std::sort(occupants.begin(), occupants.end(), [](const auto& a, const auto& b) { return a.ends_at < b.ends_at; });
  steps_.reserve(occupants.size() + kSpareSteps);
  steps_.push_back({now, free});
  for (const auto& occupant : occupants) {
    if (occupant.ends_at == kInfinity) break;
    free += occupant.demand;
    if (occupant.ends_at <= steps_.back().start_at) {
      steps_.back().free = free;
    } else {
      steps_.push_back({occupant.ends_at, free});
    }
  }
}

double CapacityProfile::find_earliest_fit(const Resources& demand, double duration_s, double from) const {
  for (std::size_t first = 0; first < steps_.size();) {
    if (step_end(first) <= from) {
      ++first;
      continue;
    }
    const double start_at = std::max(from, steps_[first].start_at);
    const double end_at = start_at + duration_s;
    std::size_t step = first;
    while (step < steps_.size() && steps_[step].start_at < end_at && demand.fits(steps_[step].free)) ++step;
    if (step == steps_.size() || steps_[step].start_at >= end_at) return start_at >= usable_until_ ? kInfinity : start_at;
    first = step + 1;
  }
  return kInfinity;
}

std::uint32_t CapacityProfile::count_fitting_units(const Resources& demand, double start_at, double duration_s) const {
  if (start_at >= usable_until_) return 0;
  std::uint32_t units = UINT32_MAX;
  for (std::size_t step = 0; step < steps_.size(); ++step) {
    if (step_end(step) <= start_at) continue;
    if (steps_[step].start_at >= start_at + duration_s) break;
    units = std::min(units, count_whole_units(demand, steps_[step].free));
    if (units == 0) break;
  }
  return units;
}

std::size_t CapacityProfile::find_or_add_step(double time) {
  const auto it =
      std::lower_bound(steps_.begin(), steps_.end(), time, [](const Step& step, double limit) { return step.start_at < limit; });
  const auto position = static_cast<std::size_t>(it - steps_.begin());
  if (it != steps_.end() && it->start_at == time) return position;
  steps_.insert(it, Step{time, steps_[position - 1].free});
  return position;
}

void CapacityProfile::allocate(const Resources& amount, double start_at, double duration_s) {
  const auto first = find_or_add_step(start_at);
  const auto last = duration_s == kInfinity ? steps_.size() : find_or_add_step(start_at + duration_s);
  for (auto step = first; step < last; ++step) steps_[step].free -= amount;
}

}  // namespace thistlefront
