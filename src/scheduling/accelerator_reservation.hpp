// Keeps nodes with accelerators free of tasks that need none, as many as the accelerator work has needed recently.
// Called while the planner's input is built; it marks nodes there and never places or stops anything.
#pragma once
#include <map>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"
#include "scheduling/pass_context.hpp"
#include "scheduling/planner.hpp"

namespace thistlefront {

class AcceleratorReservation {
 public:
  // Marks the nodes of `input` that are kept for accelerator work, and takes the present demand into account for later
  // passes.
  void apply(PlanInput& input, const ClusterState& cluster_state, const StartTargets& start_targets, const PassContext& context);

 private:
  // Of one machine type, fading with time. Machines are counted by their accelerators.
  struct FadingDemand {
    double machines = 0;
    double widest_gang = 0;       // machines of the widest gang
    double updated_at = 0;        // steady seconds
    double start_target_s = 1e9;  // the strictest target for the wait among its jobs
  };
  // What the jobs of this pass need of one machine type.
  struct CurrentDemand {
    std::map<MachineTypeIndex, double> machines, widest_gang, start_target_s;
  };

  static CurrentDemand measure_demand(const ClusterState& cluster_state, const StartTargets& start_targets);
  static void add_job(CurrentDemand& demand, const ClusterState& cluster_state, const Job& job, const StartTargets& start_targets);
  const FadingDemand& update(MachineTypeIndex machine_type, CurrentDemand& current, double steady);

  std::map<MachineTypeIndex, FadingDemand> demand_;
};

}  // namespace thistlefront
