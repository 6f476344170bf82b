// What /metrics counts of one process, since its start.
#pragma once
#include <atomic>
#include <cstdint>

namespace thistle {

struct Counters {
  std::atomic<std::uint64_t> deaf{0};  // machines that answers did not reach
  std::atomic<std::uint64_t> accepted{0}, refused{0}, unavailable{0}, started{0}, finished{0}, preempted{0}, passes{0}, kept{0}, commits{0},
      writes{0}, reports{0}, repeated_reports{0}, passed_on{0}, suspected{0}, set_aside{0}, handed_over{0}, amiss{0};
  // Reports answered while leadership was uncertain, kills that went along, users not told yet that their job is cancelled.
  std::atomic<std::uint64_t> answered_in_doubt{0}, kills_in_doubt{0}, untold{0};
  std::atomic<double> pass_seconds{0}, pass_processor_seconds{0}, commit_seconds{0};
};

}  // namespace thistle
