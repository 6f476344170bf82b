// State of a node, split by source: messages of its agent, commands in flight, the cloud's instance list, and decisions of the leader.
// `ClusterState` owns the nodes; heartbeat handling and reconciliation update them. Plain data: no I/O, no clock. All times are
// steady seconds of this controller.
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

// What the agent of a node reported about itself.
struct AgentState {
  std::uint64_t incarnation = 0;       // increases each time the agent's lease expires; 0: no message received yet
  std::uint64_t serial = 0;            // of its newest message
  std::uint64_t heartbeat_serial = 0;  // of its newest message that is a heartbeat and not a reply to commands
  std::uint64_t highest_token = 0;     // highest fencing token that it has seen
  bool has_reported = false;           // whether this leader has received a message from it
  double last_message_at = 0;
  double last_heartbeat_at = 0;           // of the last message that counts as a sign of life (worker_control/heartbeat_application)
  double last_direct_contact_at = 0;      // when this controller itself last received a message from it, not through a peer
  double last_replied_heartbeat_at = 0;   // when this leader last replied to a heartbeat and so renewed the lease
  double incarnation_since = 0;           // when the first message of its current incarnation was received
  double fenced_at = 0;                   // when its current incarnation was first known to have seen this leader's token
  double unresponsive_since = 0;          // since when replies do not reach it; 0: they do (worker_control/one_way_partition)
  std::uint64_t unresponsive_token = 0;   // highest token that it had seen at `unresponsive_since`
  std::optional<double> interruption_at;  // when the cloud reclaims the spot instance
  std::vector<ReportedTask> tasks;        // of its newest message, sorted by ref
  // Exited tasks of the newest message: their number, and the highest `start_token` of them.
  std::size_t exited_tasks = 0;
  std::uint64_t exited_start_token = 0;
};

// Commands in flight to a node.
struct CommandState {
  bool last_command_failed = false;  // the latest direct command got no valid reply
  // Serial of the latest heartbeat whose reply contained a run command; 0: none in this incarnation.
  std::uint64_t last_run_serial = 0;
  // Fencing tokens of direct run commands that are in flight, or whose outcome is unknown: until the agent has seen a higher
  // token, it may still execute them. 0: there are none.
  std::uint64_t in_flight_token = 0;
  std::uint64_t indeterminate_token = 0;
  std::uint64_t start_token = 0;  // highest one of all direct run commands to this incarnation
};

// What the cloud's instance list says about a node.
struct InstanceState {
  bool listed = false;
  Instance::Status status = Instance::Status::running;
  double age_s = 0;          // time since it was requested, as of `listed_at`
  double listed_at = 0;      // 0: not listed yet
  double requested_at = 0;   // when this leader's request for it was confirmed; 0: another leader requested it
  double running_since = 0;  // when it was first listed as running
};

// A node that runs tasks.
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
  std::vector<std::pair<ImageIndex, double>> cached_images;  // with sizes in GB, most recently used last

  bool lease_expired = false;      // not used until its agent sends a heartbeat again
  bool terminated = false;         // released, or reclaimed by the cloud: it does not return
  bool release_requested = false;  // nothing more is placed on it
  double full_until = 0;           // until then nothing is placed on it: it refused a start for lack of resources
  double idle_since = 0;           // 0: not idle

  // Whether an agent that has seen `token` can no longer execute any earlier run command.
  [[nodiscard]] bool has_no_indeterminate_start(std::uint64_t token) const {
    return commands.in_flight_token == 0 && (commands.indeterminate_token == 0 || token > commands.indeterminate_token) &&
           (commands.last_run_serial == 0 || agent.heartbeat_serial > commands.last_run_serial);
  }
};

}  // namespace thistlefront
