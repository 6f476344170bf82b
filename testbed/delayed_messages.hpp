// Messages that are delivered later, each at its own time. Not thread-safe.
#pragma once
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace thistlefront::testbed {

class DelayedMessages {
 public:
  // `due_at`: steady seconds.
  void add(double due_at, std::string body) { messages_.push_back({due_at, std::move(body)}); }
  // Removes a message that is due and returns it; empty: none is due.
  std::string take_due(double now) {
    const auto due = std::find_if(messages_.begin(), messages_.end(), [now](const Message& message) { return message.due_at <= now; });
    if (due == messages_.end()) return {};
    std::string body = std::move(due->body);
    messages_.erase(due);
    return body;
  }
  void clear() { messages_.clear(); }

 private:
  struct Message {
    double due_at;
    std::string body;
  };
  std::vector<Message> messages_;
};

}  // namespace thistlefront::testbed
