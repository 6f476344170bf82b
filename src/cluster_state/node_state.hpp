// State of a node, split by its source: what the agent reported, what is known of commands on their way, what the cloud
// lists, and what the leader decided. `ClusterState` owns the nodes; heartbeat handling and reconciliation update them.
// Plain data: no I/O, no clock. All times are steady seconds of this controller.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster_state/job_state.hpp"
#include "model/identifiers.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"

namespace thistlefront {

// What the agent (the worker process) of a node reported about itself.
struct AgentState {
  std::uint64_t incarnation = 0;       // grows each time the agent's lease expires; 0: never heard of
  std::uint64_t serial = 0;            // of its newest message
  std::uint64_t heartbeat_serial = 0;  // of its newest heartbeat, not counting answers to commands
  std::uint64_t highest_token = 0;     // highest fencing token that it has seen
  bool has_reported = false;           // to this leader
  double last_message_at = 0;
  double last_heartbeat_at = 0;           // of messages that prove that it is alive (worker_control/reconciliation)
  double last_direct_contact_at = 0;      // received by this controller itself, not through another one
  double last_answered_heartbeat_at = 0;  // of the latest heartbeat that this leader answered
  double incarnation_since = 0;           // when its present incarnation was first heard of
  double fenced_at = 0;                   // when its present incarnation was first known to have seen this leader's token
  double unresponsive_since = 0;          // answers have not reached it since then; 0: they do (worker_control/one_way_partition)
  std::uint64_t unresponsive_token = 0;   // highest token that it had seen at that time
  std::optional<double> interruption_at;  // when the cloud takes the spot instance back
  std::vector<ReportedTask> tasks;        // of its newest message, sorted by ref
};

// What is known of commands on their way to a node.
struct CommandState {
  bool last_command_failed = false;  // the latest direct command got no answer
  // Serial of the latest heartbeat whose answer told the agent to run something; 0: none in this incarnation.
  std::uint64_t last_run_serial = 0;
  // Fencing tokens of direct run commands that were sent and not answered: until the agent is seen under a higher token,
  // it may still execute them.
  std::uint64_t in_flight_token = 0;
  std::uint64_t indeterminate_token = 0;
};

// What the cloud's instance list says of a node.
struct InstanceState {
  bool listed = false;
  Instance::Status status = Instance::Status::running;
  double age_s = 0;          // since it was requested, as of `listed_at`
  double listed_at = 0;      // 0: in no list yet
  double requested_at = 0;   // when this leader's request for it was confirmed; 0: another leader requested it
  double running_since = 0;  // when it was first listed as running
};

// A machine that runs tasks.
struct Node {
  std::string name, address;
  MachineTypeIndex machine_type;
  ZoneIndex zone;
  bool spot = false;
  AgentState agent;
  CommandState commands;
  InstanceState instance;

  std::vector<PlacedTask> placed;
  Resources used;                                            // by placed tasks
  std::vector<std::pair<ImageIndex, double>> cached_images;  // with their sizes in GB; most recently used last

  bool lease_expired = false;      // not used until its agent reports again
  bool terminated = false;         // released, or taken back by the cloud: it does not return
  bool release_requested = false;  // its release was requested: nothing more is placed on it
  double full_until = 0;           // it refused a start for lack of resources
  double idle_since = 0;           // 0: not idle

  // Whether the agent, having seen the fencing token `token`, can no longer execute any start that was sent to it earlier.
  [[nodiscard]] bool has_no_indeterminate_start(std::uint64_t token) const {
    return commands.in_flight_token == 0 && (commands.indeterminate_token == 0 || token > commands.indeterminate_token) &&
           (commands.last_run_serial == 0 || agent.heartbeat_serial > commands.last_run_serial);
  }
};

}  // namespace thistlefront
