// The network between two controllers: a TCP relay that forwards connections to another address and can simulate a partition. Bytes in
// transit when a partition starts are held and delivered in order when it ends; a connection opened meanwhile hangs, as in a network
// that drops packets.
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

class NetworkRelay {
 public:
  // Listens on an address of its own, and opens a connection to `destination` for each one that it accepts.
  explicit NetworkRelay(std::string destination);
  ~NetworkRelay();
  NetworkRelay(const NetworkRelay&) = delete;
  NetworkRelay& operator=(const NetworkRelay&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  void set_partitioned(bool partitioned) { partitioned_ = partitioned; }
  // While set, holds the bytes from the destination; those to it are still forwarded.
  void hold_replies(bool holds) { holds_replies_ = holds; }

 private:
  // One connection through the relay, with a thread that copies its bytes in both directions.
  struct Connection {
    Connection(NetworkRelay& relay, Socket accepted);
    void run(const NetworkRelay& relay);
    // Copies until one side closes or the relay stops.
    void copy_bytes(const NetworkRelay& relay);
    Socket client, server;
    std::atomic<bool> closed{false};
    std::jthread thread;
  };
  void accept_connections();

  const std::string address_ = test_support::free_address(), destination_;
  Socket listener_;
  std::atomic<bool> partitioned_{false}, holds_replies_{false}, stopping_{false};
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::jthread accept_thread_;
};

}  // namespace thistlefront::testbed
