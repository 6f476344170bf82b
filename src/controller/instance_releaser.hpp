// Releases instances that are dead, idle, faulty, late, or unreachable, and hands leadership over where it is this controller that
// the agents can't reach. An answered release ends everything on the instance for certain.
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

  // Releases what the cluster state shows to be of no use.
  void release_unneeded(HttpClient& cloud);
  // Releases nodes that are silent, while others of their zones are not, and that don't answer a probe.
  void release_silent(HttpClient& cloud, std::stop_token stop);
  // Hands leadership over when most agents reach other controllers and this one reaches none of them.
  void check_worker_reachability();

 private:
  // Why an instance is released; in the order in which releases are sent.
  enum class Reason { dead, unresponsive, idle, faulty, late, mute, silent, count };
  using Releases = std::array<std::vector<std::string>, static_cast<std::size_t>(Reason::count)>;
  // What holds for one look at all nodes.
  struct Look {
    double now = 0;
    bool is_quiet = false;    // no work has been about for a while
    bool is_settled = false;  // this leader has had the time to hear of all that is up
    double idle_limit_s = 0;
    std::set<ZoneIndex> heard_zones;
  };
  struct Probe {
    std::string name, address;
    bool answered = false;
  };

  Releases choose_releases();
  [[nodiscard]] Look look() const;
  // Nothing where the node is kept. Marks a node that still runs as being released.
  bool choose_release(NodeIndex index, const Look& look, Reason& reason);
  [[nodiscard]] bool is_unused(NodeIndex index) const;
  void release(HttpClient& cloud, const std::vector<std::string>& names, Reason reason);
  // Asks all of them at once for their status.
  void probe(std::vector<Probe>& probes);
  void probe_one(Probe& target);
  // Those silent though they should not be, where this leader hears enough itself to judge.
  [[nodiscard]] std::vector<NodeIndex> suspect_nodes_heard_directly() const;
  [[nodiscard]] std::vector<Probe> probes_of_silent_nodes() const;
  [[nodiscard]] std::vector<Probe> probes_of_indirect_nodes() const;

  SharedState& shared_;
  CommitQueue& commit_queue_;
  AgentMessages& agent_messages_;
};

}  // namespace thistlefront
