// The network between two controllers: a TCP relay that passes on what is sent to its address, and that tests can cut. Bytes on their way
// when it is cut are held in order and let through when the cut ends; a connection made meanwhile hangs, as it does in a network that
// drops packets.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "testbed/free_address.hpp"
#include "transport/socket.hpp"

namespace thistlefront::testbed {

class Relay {
 public:
  // Listens at an address of its own and connects to `to` for each connection that comes.
  explicit Relay(std::string to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  void cut(bool is) { cut_ = is; }
  // Holds what comes back, while what is sent there goes on.
  void hold_answers(bool is) { answers_held_ = is; }

 private:
  // One connection through the relay, with a thread that copies its bytes both ways.
  struct Connection {
    Connection(Relay& relay, Socket accepted);
    void run(const Relay& relay);
    // Copies until one side closes or the relay ends.
    void copy(const Relay& relay);
    Socket from, to;
    std::atomic<bool> over{false};
    std::jthread thread;
  };
  void accept_connections();

  const std::string address_ = test_support::free_address(), to_;
  Socket listener_;
  std::atomic<bool> cut_{false}, answers_held_{false}, ending_{false};
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::jthread accepting_;
};

}  // namespace thistlefront::testbed
