#include "scheduling/waiting_times.hpp"

#include <utility>

namespace thistlefront {

void WaitingTimes::begin_pass(std::uint64_t takeover_token) {
  if (std::exchange(takeover_token_, takeover_token) != takeover_token) current_pass_.clear();
  previous_pass_ = std::exchange(current_pass_, {});
}

Waited WaitingTimes::measure(JobIndex index, const Job& job, double wall_now) {
  const double begin = job.attempts == 0 ? job.eligible_since : wall_now;
  Wait wait{begin, begin, job.attempts};
  if (const auto known = previous_pass_.find(index); known != previous_pass_.end()) {
    wait.pending_since = known->second.pending_since;
    if (known->second.attempts == job.attempts) wait.last_start_at = known->second.last_start_at;
  }
  current_pass_[index] = wait;
  return {wall_now - wait.pending_since, wall_now - wait.last_start_at};
}

}  // namespace thistlefront
