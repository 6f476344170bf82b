// Reserves nodes with accelerators for accelerator jobs, as many as these needed recently; CPU-only tasks may only backfill them.
// Called while the planner's input is built: it marks nodes there and neither places nor stops tasks.
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
  // Marks the reserved nodes in `input`, and updates the recent demand with the current one.
  void apply(PlanInput& input, const ClusterState& cluster_state, const StartTargets& start_targets, const PassContext& context);

 private:
  // Recent demand for one machine type: the highest demand, decaying exponentially. Nodes are counted in fractions, by their
  // accelerators.
  struct RecentDemand {
    double nodes = 0;
    double widest_gang_nodes = 0;
    double updated_at = 0;        // steady seconds
    double start_target_s = 1e9;  // strictest start target among the jobs
  };
  // Demand of the jobs of one pass, by machine type.
  struct CurrentDemand {
    std::map<MachineTypeIndex, double> nodes, widest_gang_nodes, start_target_s;
  };

  static CurrentDemand measure_demand(const ClusterState& cluster_state, const StartTargets& start_targets);
  static void add_job(CurrentDemand& demand, const ClusterState& cluster_state, const Job& job, const StartTargets& start_targets);
  const RecentDemand& update_recent_demand(MachineTypeIndex machine_type, CurrentDemand& current, double steady_now);

  std::map<MachineTypeIndex, RecentDemand> recent_demand_;
};

}  // namespace thistlefront
