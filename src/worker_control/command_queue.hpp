// Which nodes are due a direct command, and which one is served next. Shared by the leader's sender threads under the
// controller's lock. Pure.
#pragma once
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "model/identifiers.hpp"

namespace thistlefront {

// Each node is served by one sender at a time. A node that did not answer the last time is slow: only `max_slow` senders at a time
// may wait for slow nodes, so that these never hold up the others.
class CommandQueue {
 public:
  explicit CommandQueue(std::size_t max_slow) : max_slow_(max_slow) {}

  struct Item {
    NodeIndex node;
    bool announce = false;  // to be sent even if the node is due no command, so that its agent learns of this leader
  };
  // The node is due now, or again after it has been served. A node that backs off is not queued: its commands go with the answer to
  // its next heartbeat. Times are steady seconds.
  void enqueue(NodeIndex node, bool announce, double now);
  // The node to serve next; it must be given back by `complete` or `back_off`.
  std::optional<Item> dequeue();
  // The node answered.
  void complete(NodeIndex node);
  // The node did not answer, and is left alone until then.
  void back_off(NodeIndex node, double until);
  [[nodiscard]] bool has_ready() const { return !prompt_.empty() || (!slow_.empty() && slow_in_service_ < max_slow_); }
  [[nodiscard]] std::size_t size() const { return prompt_.size() + slow_.size(); }
  void clear();

 private:
  struct NodeStatus {
    bool queued = false, being_served = false;
    bool due_again = false;  // enqueued while it was being served
    bool announce = false;
    bool slow = false;
    bool counted_as_slow = false;  // in `slow_in_service_`
    double not_before = 0;
  };
  void push(NodeIndex node, NodeStatus& status);
  void end_service(NodeIndex node, NodeStatus& status);

  std::size_t max_slow_, slow_in_service_ = 0;
  std::deque<NodeIndex> prompt_, slow_;
  std::unordered_map<NodeIndex, NodeStatus> statuses_;
};

}  // namespace thistlefront
