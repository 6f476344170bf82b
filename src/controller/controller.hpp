// A controller process: owns and connects the shared state and the components, runs the long-lived threads (duties), and serves clients
// and peers.
// docs/architecture.md shows how the parts work together.
#pragma once
#include <memory>
#include <stop_token>
#include <thread>
#include <vector>

#include "controller/agent_messages.hpp"
#include "controller/cloud_manager.hpp"
#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_config.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/heartbeat_handler.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/instance_releaser.hpp"
#include "controller/leader_election.hpp"
#include "controller/ledger_committer.hpp"
#include "controller/ledger_recovery.hpp"
#include "controller/metrics_reporter.hpp"
#include "controller/peer_monitor.hpp"
#include "controller/request_handler.hpp"
#include "controller/rollout_manager.hpp"
#include "controller/scale_out_manager.hpp"
#include "controller/scheduling_loop.hpp"
#include "controller/service_monitor.hpp"
#include "controller/shared_state.hpp"
#include "transport/frames.hpp"
#include "transport/http.hpp"

namespace thistlefront {

class Controller {
 public:
  Controller(Settings settings, const Options& options);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  // Serves until a stop is requested, then releases leadership.
  void run(std::stop_token stop);

 private:
  HttpReply on_http(const HttpCall& call);
  Frame on_frame(const Frame& frame);
  Frame on_peer_call(const PeerCall& call);
  void start_duties();
  void stop_duties();
  void log_configuration() const;

  const ControllerConfig config_;
  SharedState shared_;
  ControllerMetrics metrics_;
  CommitQueue commit_queue_;
  StoreClient relay_store_;  // used by the heartbeat relay's thread alone
  HeartbeatRelay relay_;
  AgentMessages agent_messages_;
  CommandSender commands_;
  LedgerRecovery recovery_;
  RolloutManager rollout_;
  LedgerCommitter committer_;
  SchedulingLoop scheduling_;
  ScaleOutManager scale_out_;
  InstanceReleaser releaser_;
  ServiceMonitor service_monitor_;
  CloudManager cloud_;
  PeerMonitor peer_monitor_;
  LeaderElection election_;
  RequestHandler requests_;
  HeartbeatHandler heartbeats_;
  MetricsReporter reporter_;
  std::unique_ptr<FrameServer> frame_server_;
  std::unique_ptr<HttpServer> http_server_;
  std::vector<std::jthread> duties_;
};

}  // namespace thistlefront
