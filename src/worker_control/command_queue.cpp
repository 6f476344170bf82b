#include "worker_control/command_queue.hpp"

#include <utility>

namespace thistlefront {

void CommandQueue::queue(NodeIndex h, Worker& w) {
  w.queued = true;
  (w.slow ? slow_ : prompt_).push_back(h);
}

void CommandQueue::enqueue(NodeIndex h, bool greet, double now) {
  Worker& w = workers_[h];
  w.announce = w.announce || greet;
  if (w.being_served) {
    w.again = true;
  } else if (!w.queued && now >= w.not_before) {
    queue(h, w);
  }
}

std::optional<CommandQueue::Item> CommandQueue::dequeue() {
  if (!has_ready()) return std::nullopt;
  auto& from = prompt_.empty() ? slow_ : prompt_;
  const NodeIndex h = from.front();
  from.pop_front();
  Worker& w = workers_[h];
  w.queued = false;
  w.being_served = true;
  w.counted_as_slow = w.slow;
  slow_now_ += w.counted_as_slow;
  return Item{h, std::exchange(w.announce, false)};
}

void CommandQueue::end(NodeIndex h, Worker& w) {
  slow_now_ -= std::exchange(w.counted_as_slow, false);
  w.being_served = false;
  if (std::exchange(w.again, false) && !w.slow) queue(h, w);
}

void CommandQueue::complete(NodeIndex h) {
  const auto it = workers_.find(h);
  if (it == workers_.end()) return;
  it->second.slow = false;
  end(h, it->second);
}

void CommandQueue::back_off(NodeIndex h, double until) {
  const auto it = workers_.find(h);
  if (it == workers_.end()) return;
  it->second.slow = true;
  it->second.not_before = until;
  end(h, it->second);
}

void CommandQueue::clear() {
  prompt_.clear();
  slow_.clear();
  workers_.clear();
  slow_now_ = 0;
}

}  // namespace thistlefront
