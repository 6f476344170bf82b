// Queue of nodes that are due a direct command, and the order in which sender threads serve them. Shared by the leader's sender
// threads under the controller's lock. Pure.
#pragma once
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "model/identifiers.hpp"

namespace thistlefront {

// Each node is served by one sender at a time. A node that did not reply to its latest command is slow. At most `max_slow` senders
// serve slow nodes at the same time, so that slow nodes never delay the others.
class CommandQueue {
 public:
  explicit CommandQueue(std::size_t max_slow) : max_slow_(max_slow) {}

  struct Item {
    NodeIndex node;
    bool announce_leader = false;  // send a message even without commands, so that the agent learns of this leader
  };
  // Queues the node, or marks it to be queued again once its current service ends. A node that backs off is not queued: its
  // commands go with the reply to its next heartbeat. Times are steady seconds.
  void enqueue(NodeIndex node, bool announce_leader, double now);
  // Returns the next node to serve. The sender must call `complete` or `back_off` for it.
  std::optional<Item> dequeue();
  // The node replied.
  void complete(NodeIndex node);
  // The node did not reply. It is not queued again before `until`.
  void back_off(NodeIndex node, double until);
  [[nodiscard]] bool has_ready() const { return !regular_nodes_.empty() || (!slow_nodes_.empty() && slow_in_service_ < max_slow_); }
  [[nodiscard]] std::size_t size() const { return regular_nodes_.size() + slow_nodes_.size(); }
  void clear();

 private:
  struct NodeStatus {
    bool queued = false, being_served = false;
    bool due_again = false;  // enqueued while it was being served
    bool announce_leader = false;
    bool slow = false;
    bool counted_as_slow = false;  // in `slow_in_service_`
    double not_before = 0;         // end of the back-off
  };
  void push(NodeIndex node, NodeStatus& status);
  void end_service(NodeIndex node, NodeStatus& status);

  std::size_t max_slow_, slow_in_service_ = 0;
  std::deque<NodeIndex> regular_nodes_, slow_nodes_;
  std::unordered_map<NodeIndex, NodeStatus> statuses_;
};

}  // namespace thistlefront
