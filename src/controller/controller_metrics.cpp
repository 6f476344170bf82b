#include "controller/controller_metrics.hpp"

#include <set>

namespace thistlefront {

namespace {
std::set<std::string> classes_with_objectives(const Settings& settings) {
  std::set<std::string> out;
  for (const auto& objective : settings.objectives)
    if (!objective.job_class.empty()) out.insert(objective.job_class);
  return out;
}
}  // namespace

ControllerMetrics::ControllerMetrics(const Settings& settings) : service_levels(classes_with_objectives(settings)) {}

}  // namespace thistlefront
