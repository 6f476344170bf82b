// Counters and histograms of this controller since its start, for /metrics.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

#include "cluster_state/service_level_counters.hpp"
#include "controller/histograms.hpp"
#include "protocol/settings.hpp"

namespace thistlefront {

// Incremented without a lock.
struct Counters {
  using Count = std::atomic<std::uint64_t>;
  // Users' requests.
  Count accepted{0}, refused{0}, unavailable{0};
  // Replies that withheld a cancellation from the user because it was not confirmed yet.
  Count unconfirmed_cancellations{0};
  // Tasks and jobs.
  Count started{0}, finished{0}, preempted{0}, suspected{0};
  // Scheduling passes and commits.
  Count passes{0}, commits{0}, writes{0};
  std::atomic<double> pass_seconds{0}, pass_processor_seconds{0}, commit_seconds{0};
  // Heartbeats. Partition renewals are agents' leases renewed in a partition.
  Count heartbeats{0}, repeated_heartbeats{0}, relayed_heartbeats{0}, partition_renewals{0};
  // Heartbeats replied to while leadership was uncertain, and kills sent with these replies.
  Count replied_while_uncertain{0}, kills_while_uncertain{0};
  // Commands sent to agents, in direct calls and in replies to heartbeats.
  Count starts_sent{0}, kills_sent{0}, acknowledgements_sent{0};
  // Tasks that agents ran without a placement, and raises of the fencing token.
  Count unplaced_tasks{0}, token_raises{0};
  // Nodes.
  Count cordoned{0}, unresponsive{0};
  // Hand-overs of leadership, and corrected quota accounts.
  Count hand_overs{0}, mismatched_accounts{0};
  // Smoothed lag of the renewals of the leader lease, in seconds.
  std::atomic<double> renewal_lag_s{0};
};

struct ControllerMetrics {
  explicit ControllerMetrics(const Settings& settings);

  Counters counters;
  // Guarded by SharedState::mutex. Recorded while this controller leads.
  std::map<std::string, SecondsHistogram> start_waits;  // by job class: from acceptance to the committed start
  SecondsHistogram accept_waits, pass_times, guarantee_waits;
  ServiceLevelCounters service_levels;
};

}  // namespace thistlefront
