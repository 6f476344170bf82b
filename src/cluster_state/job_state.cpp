#include "cluster_state/job_state.hpp"

#include <algorithm>

namespace thistlefront {

std::uint32_t Job::running() const {
  const auto is_running = [](const auto& entry) {
    const Placement& placement = entry.second;
    return placement.reported && (placement.phase == TaskPhase::running || placement.phase == TaskPhase::checkpointing);
  };
  return static_cast<std::uint32_t>(std::count_if(placed.begin(), placed.end(), is_running));
}

}  // namespace thistlefront
