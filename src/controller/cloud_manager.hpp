// Runs all of the leader's calls to the cloud on one thread: lists machine types and instances, and calls the service monitor, the
// instance releaser and the scale-out manager in turn.
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
  // Runs until a stop is requested.
  void run(std::stop_token stop);

 private:
  struct LeadershipStatus {
    bool is_leading = false, may_decide = false;
  };
  // Waits until this controller leads or a stop is requested.
  LeadershipStatus await_leadership(std::stop_token stop);
  void refresh(HttpClient& cloud);
  // Return whether the refresh succeeded.
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
  // Used only by the thread in run():
  std::uint64_t term_ = 0;                                                    // the term that the times below belong to
  double machine_types_refreshed_at_ = -1e9, instances_refreshed_at_ = -1e9;  // steady seconds
};

}  // namespace thistlefront
