#include "scheduling/capacity_profile.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kSpareSteps = 6;  // reserved for what the pass puts there
}  // namespace

std::uint32_t whole_units(const Resources& demand, const Resources& room) {
  constexpr double kMostUnits = 1e6;
  constexpr double kSlack = 1e-6;  // for sums of decimals
  double units = kMostUnits;
  if (demand.cores > 0) units = std::min(units, (room.cores + kSlack) / demand.cores);
  if (demand.accelerators > 0) units = std::min(units, (room.accelerators + kSlack) / demand.accelerators);
  if (demand.ram_gb > 0) units = std::min(units, (room.ram_gb + kSlack) / demand.ram_gb);
  return units < 1 ? 0 : static_cast<std::uint32_t>(units);
}

CapacityProfile::CapacityProfile(const PlanNode& node, double now, double overrun_s) : usable_until_(node.usable_until) {
  Resources free = node.capacity;
  std::vector<PlanNode::Occupant> occupants = node.occupants;
  for (auto& occupant : occupants) {
    if (occupant.until <= now) occupant.until = now + overrun_s;
    free -= occupant.demand;
  }
  std::sort(occupants.begin(), occupants.end(), [](const auto& a, const auto& b) { return a.until < b.until; });
  steps_.reserve(occupants.size() + kSpareSteps);
  steps_.push_back({now, free});
  for (const auto& occupant : occupants) {
    if (occupant.until == kForever) break;
    free += occupant.demand;
    if (occupant.until <= steps_.back().at) {
      steps_.back().free = free;
    } else {
      steps_.push_back({occupant.until, free});
    }
  }
}

double CapacityProfile::earliest(const Resources& demand, double duration, double from) const {
  for (std::size_t first = 0; first < steps_.size();) {
    if (end_of(first) <= from) {
      ++first;
      continue;
    }
    const double at = std::max(from, steps_[first].at);
    const double until = at + duration;
    std::size_t step = first;
    while (step < steps_.size() && steps_[step].at < until && demand.fits(steps_[step].free)) ++step;
    if (step == steps_.size() || steps_[step].at >= until) return at >= usable_until_ ? kForever : at;
    first = step + 1;
  }
  return kForever;
}

std::uint32_t CapacityProfile::fits(const Resources& demand, double at, double duration) const {
  if (at >= usable_until_) return 0;
  std::uint32_t units = UINT32_MAX;
  for (std::size_t step = 0; step < steps_.size(); ++step) {
    if (end_of(step) <= at) continue;
    if (steps_[step].at >= at + duration) break;
    units = std::min(units, whole_units(demand, steps_[step].free));
    if (units == 0) break;
  }
  return units;
}

std::size_t CapacityProfile::step_at(double at) {
  const auto it = std::lower_bound(steps_.begin(), steps_.end(), at, [](const Step& step, double time) { return step.at < time; });
  const auto position = static_cast<std::size_t>(it - steps_.begin());
  if (it != steps_.end() && it->at == at) return position;
  steps_.insert(it, Step{at, steps_[position - 1].free});
  return position;
}

void CapacityProfile::take(const Resources& amount, double at, double duration) {
  const auto first = step_at(at);
  const auto last = duration == kForever ? steps_.size() : step_at(at + duration);
  for (auto step = first; step < last; ++step) steps_[step].free -= amount;
}

}  // namespace thistlefront
