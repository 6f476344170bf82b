// Produces the text of /metrics. Dashboards depend on the metric names, so these must not change.
#pragma once
#include <cstddef>
#include <string>

#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/rollout_manager.hpp"
#include "controller/shared_state.hpp"
#include "transport/http.hpp"

namespace thistlefront {

// Numbers of connections that the controller has accepted.
struct AcceptedConnections {
  std::size_t clients = 0, peers = 0;
};

class MetricsReporter {
 public:
  MetricsReporter(const SharedState& shared, const CommitQueue& commit_queue, const CommandSender& commands, const HeartbeatRelay& relay,
                  const RolloutManager& rollout, const ControllerMetrics& metrics);
  [[nodiscard]] HttpReply report(const AcceptedConnections& connections) const;

 private:
  void add_leadership(std::string& out) const;
  void add_counters(std::string& out) const;
  void add_resources(std::string& out, const AcceptedConnections& connections) const;
  void add_cluster_state(std::string& out) const;
  void add_teams(std::string& out) const;
  void add_service_levels(std::string& out) const;
  void add_histograms(std::string& out) const;

  const SharedState& shared_;
  const CommitQueue& commit_queue_;
  const CommandSender& commands_;
  const HeartbeatRelay& relay_;
  const RolloutManager& rollout_;
  const ControllerMetrics& metrics_;
};

}  // namespace thistlefront
