// Releases instances that are dead, idle, faulty, late to boot, silent or unresponsive. Hands over leadership if the agents can reach
// other controllers but not this one. Once the cloud has confirmed a release, nothing runs on the instance any more.
#pragma once
#include <array>
#include <cstddef>
#include <set>
#include <stop_token>
#include <string>
#include <vector>

#include "controller/agent_messages.hpp"
#include "controller/commit_queue.hpp"
#include "controller/shared_state.hpp"
#include "transport/http.hpp"

namespace thistlefront {

class InstanceReleaser {
 public:
  InstanceReleaser(SharedState& shared, CommitQueue& commit_queue, AgentMessages& agent_messages);

  // Releases the instances that the cluster state shows to be of no use.
  void release_unneeded_nodes(HttpClient& cloud);
  // Releases nodes that are silent while others of their zones are not, and that do not reply to a probe.
  void release_silent_nodes(HttpClient& cloud, std::stop_token stop);
  // Hands over leadership if most agents reach only other controllers and none of the probed ones replies to this controller.
  void check_agent_reachability();

 private:
  // Why an instance is released, in the order in which releases are sent. `never_reported`: no heartbeat since it began to run.
  enum class Reason { dead, unresponsive, idle, faulty, late, never_reported, silent, count };
  using Releases = std::array<std::vector<std::string>, static_cast<std::size_t>(Reason::count)>;
  // Facts about all nodes, determined once for each check.
  struct FleetSummary {
    double now = 0;
    bool is_cluster_idle = false;          // no work apart from services, for kClusterIdleAfterS
    bool is_heartbeat_grace_over = false;  // every running agent has had time to send this leader a heartbeat
    double max_idle_s = 0;                 // an instance that is idle for longer is released
    std::set<ZoneIndex> zones_in_contact;  // zones with a node that contacted this leader directly within a lease
  };
  struct Probe {
    std::string name, address;
    bool replied = false;
  };

  Releases choose_releases();
  [[nodiscard]] FleetSummary summarize_fleet() const;
  // Returns whether to release the node, and sets `reason`. Sets release_requested of a faulty or idle node.
  bool should_release(NodeIndex index, const FleetSummary& fleet, Reason& reason);
  [[nodiscard]] bool is_unused(NodeIndex index) const;
  void release(HttpClient& cloud, const std::vector<std::string>& names, Reason reason);
  // Asks the agents of all probes for their status, in parallel.
  void probe_agents(std::vector<Probe>& probes);
  void probe_agent(Probe& target);
  // Returns the suspiciously silent nodes; none if too few nodes contact this leader directly for it to judge.
  [[nodiscard]] std::vector<NodeIndex> find_nodes_to_probe() const;
  [[nodiscard]] std::vector<Probe> probes_of_silent_nodes() const;
  [[nodiscard]] std::vector<Probe> probes_of_relayed_nodes() const;

  SharedState& shared_;
  CommitQueue& commit_queue_;
  AgentMessages& agent_messages_;
};

}  // namespace thistlefront
