#include "worker_control/command_queue.hpp"

#include <utility>

namespace thistlefront {

void CommandQueue::push(NodeIndex node, NodeStatus& status) {
  status.queued = true;
  (status.slow ? slow_nodes_ : regular_nodes_).push_back(node);
}

void CommandQueue::enqueue(NodeIndex node, bool announce_leader, double now) {
  NodeStatus& status = statuses_[node];
  status.announce_leader = status.announce_leader || announce_leader;
  if (status.being_served) {
    status.due_again = true;
  } else if (!status.queued && now >= status.not_before) {
    push(node, status);
  }
}

std::optional<CommandQueue::Item> CommandQueue::dequeue() {
  if (!has_ready()) return std::nullopt;
  auto& queue = regular_nodes_.empty() ? slow_nodes_ : regular_nodes_;
  const NodeIndex node = queue.front();
  queue.pop_front();
  NodeStatus& status = statuses_[node];
  status.queued = false;
  status.being_served = true;
  status.counted_as_slow = status.slow;
  if (status.counted_as_slow) ++slow_in_service_;
  return Item{node, std::exchange(status.announce_leader, false)};
}

void CommandQueue::end_service(NodeIndex node, NodeStatus& status) {
  if (std::exchange(status.counted_as_slow, false)) --slow_in_service_;
  status.being_served = false;
  if (std::exchange(status.due_again, false) && !status.slow) push(node, status);
}

void CommandQueue::complete(NodeIndex node) {
  const auto it = statuses_.find(node);
  if (it == statuses_.end()) return;
  it->second.slow = false;
  end_service(node, it->second);
}

void CommandQueue::back_off(NodeIndex node, double until) {
  const auto it = statuses_.find(node);
  if (it == statuses_.end()) return;
  it->second.slow = true;
  it->second.not_before = until;
  end_service(node, it->second);
}

void CommandQueue::clear() {
  regular_nodes_.clear();
  slow_nodes_.clear();
  statuses_.clear();
  slow_in_service_ = 0;
}

}  // namespace thistlefront
