// The leader's dealings with the cloud, on one thread: learns machine types and instances, scales out for work that can't be served
// in time, and releases instances that are not needed any more. The parts are classes of their own; this one calls them in turn.
#pragma once
#include <cstdint>
#include <stop_token>

#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/instance_releaser.hpp"
#include "controller/scale_out_manager.hpp"
#include "controller/service_monitor.hpp"
#include "controller/shared_state.hpp"
#include "transport/http.hpp"

namespace thistlefront {

class CloudManager {
 public:
  CloudManager(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ScaleOutManager& scale_out,
               InstanceReleaser& releaser, ServiceMonitor& service_monitor);
  // Until asked to stop.
  void run(std::stop_token stop);

 private:
  // What this round may do.
  struct Round {
    bool is_leading = false, may_decide = false;
  };
  Round begin_round(std::stop_token stop);
  void refresh(HttpClient& cloud);
  // Whether the cloud answered.
  bool refresh_machine_types(HttpClient& cloud);
  bool refresh_instances(HttpClient& cloud);
  void apply_instances(const std::vector<Instance>& instances);
  void store_machine_types(std::vector<MachineType> types);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  CommandSender& commands_;
  ScaleOutManager& scale_out_;
  InstanceReleaser& releaser_;
  ServiceMonitor& service_monitor_;
  // Of this duty's thread alone:
  std::uint64_t term_ = 0;                                // for which the times below hold
  double machine_types_at_ = -1e9, instances_at_ = -1e9;  // steady seconds of the latest refresh
};

}  // namespace thistlefront
