// How long each job has been left waiting. A job that is left waiting for too long is overdue: capacity that is kept free for other work is
// then open to it (docs/design.md, exceptions). Updated by PlanInputBuilder in each pass. Pure; times are wall seconds.
#pragma once
#include <cstdint>
#include <unordered_map>

#include "cluster_state/cluster_state.hpp"
#include "model/identifiers.hpp"

namespace thistlefront {

// Wait after which a job is overdue. A job must not be left waiting for 90 s while a node has room for it; the rest of that time is for
// the pass, the commit of the start and the image.
inline constexpr double kOverdueAfterSeconds = 60.0;

// Wait of a job with pending tasks, in seconds. A job that never started has waited since it became eligible.
struct Waited {
  double pending_s = 0;        // since it has had pending tasks without a break
  double without_start_s = 0;  // since then, or since a task of it last started
};

class WaitingTimes {
 public:
  // Begins a pass of the term with this takeover token; each term numbers its jobs anew.
  void begin_pass(std::uint64_t takeover_token);
  // To be called once in a pass for each job that waits; the wait of a job that is left out of a pass begins anew.
  Waited measure(JobIndex index, const Job& job, double wall_now);

 private:
  struct Wait {
    double pending_since = 0, last_start_at = 0;
    std::uint64_t attempts = 0;  // of the job; it grows with each start
  };
  using Waits = std::unordered_map<JobIndex, Wait>;

  std::uint64_t takeover_token_ = 0;
  Waits previous_pass_, current_pass_;
};

}  // namespace thistlefront
