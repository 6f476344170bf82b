// What a controller counts of itself since its start, for /metrics.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

#include "cluster_state/service_level_counters.hpp"
#include "controller/histograms.hpp"
#include "protocol/settings.hpp"

namespace thistlefront {

// Counted without a lock.
struct Counters {
  using Count = std::atomic<std::uint64_t>;
  // Users' requests.
  Count accepted{0}, refused{0}, unavailable{0};
  // Users not told yet that their job is cancelled.
  Count unconfirmed_cancellation{0};
  // Tasks and jobs.
  Count started{0}, finished{0}, preempted{0}, suspected{0};
  // Scheduling passes and commits.
  Count passes{0}, commits{0}, writes{0};
  std::atomic<double> pass_seconds{0}, pass_processor_seconds{0}, commit_seconds{0};
  // Heartbeats; `kept` are leases renewed in a partition.
  Count heartbeats{0}, repeated_heartbeats{0}, relayed{0}, kept{0};
  // Heartbeats answered while leadership was uncertain, and kills that went along.
  Count answered_in_doubt{0}, kills_in_doubt{0};
  // Nodes.
  Count cordoned{0}, unresponsive{0};
  Count handed_over{0}, mismatched_accounts{0};
  // Seconds by which the renewals of the leader's lease ran late, recently.
  std::atomic<double> renewal_lag_s{0};
};

struct ControllerMetrics {
  explicit ControllerMetrics(const Settings& settings);

  Counters counters;
  // Guarded by SharedState::mutex. Of what this controller did as a leader.
  std::map<std::string, SecondsHistogram> start_waits;  // by class: from acceptance to the start in the ledger
  SecondsHistogram accept_waits, pass_times, guarantee_waits;
  ServiceLevelCounters service_levels;
};

}  // namespace thistlefront
