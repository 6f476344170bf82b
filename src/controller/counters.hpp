// What /metrics counts of one process, since its start.
#pragma once
#include <atomic>
#include <cstdint>

namespace thistlefront {

struct Counters {
  std::atomic<std::uint64_t> unresponsive{0};  // machines that answers did not reach
  std::atomic<std::uint64_t> accepted{0}, refused{0}, unavailable{0}, started{0}, finished{0}, preempted{0}, passes{0}, kept{0}, commits{0},
      writes{0}, heartbeats{0}, repeated_heartbeats{0}, relayed{0}, suspected{0}, cordoned{0}, handed_over{0}, mismatched_accounts{0};
  // Reports answered while leadership was uncertain, kills that went along, users not told yet that their job is cancelled.
  std::atomic<std::uint64_t> answered_in_doubt{0}, kills_in_doubt{0}, unconfirmed_cancellation{0};
  std::atomic<double> pass_seconds{0}, pass_processor_seconds{0}, commit_seconds{0};
};

}  // namespace thistlefront
