// Which workers are due for commands, and which is served next. Pure.
#pragma once
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "model/identifiers.hpp"

namespace thistlefront {

// A worker is served by one sender at a time. One that did not answer last time is slow: only some of the
// senders may wait for slow ones at the same time, so that those who answer are never held up by those who
// don't.
class CommandQueue {
 public:
  explicit CommandQueue(std::size_t most_slow) : most_slow_(most_slow) {}

  struct Item {
    NodeIndex node;
    bool announce = false;  // even with nothing to be told
  };
  // Due now, or again if it is being served. One that failed to answer is left alone for a while: what it is
  // due for goes with its next report.
  void enqueue(NodeIndex h, bool greet, double now);
  std::optional<Item> dequeue();
  void complete(NodeIndex h);
  void back_off(NodeIndex h, double until);
  [[nodiscard]] bool has_ready() const { return !prompt_.empty() || (!slow_.empty() && slow_now_ < most_slow_); }
  [[nodiscard]] std::size_t size() const { return prompt_.size() + slow_.size(); }
  void clear();

 private:
  struct Worker {
    bool queued = false, being_served = false, again = false, announce = false;
    bool slow = false, counted_as_slow = false;  // counted: as one of the slow ones being served
    double not_before = 0;
  };
  void queue(NodeIndex h, Worker& w);
  void end(NodeIndex h, Worker& w);

  std::size_t most_slow_, slow_now_ = 0;
  std::deque<NodeIndex> prompt_, slow_;
  std::unordered_map<NodeIndex, Worker> workers_;
};

}  // namespace thistlefront
