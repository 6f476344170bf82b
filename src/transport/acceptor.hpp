// Accepts connections and gives each its own thread. At the bound, the connection longest idle is closed, and of those that are
// dear one only where there is no other.
#pragma once
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "transport/socket.hpp"

namespace thistle {

class Acceptor {
 public:
  // A connection as its routine sees it; touch() marks activity.
  class Connection {
   public:
    explicit Connection(Socket socket) : stream(std::move(socket)) {}
    void touch();
    void dear(bool is) { dear_.store(is, std::memory_order_relaxed); }
    Stream stream;

   private:
    friend class Acceptor;
    std::atomic<double> active_{0};
    std::atomic<bool> dear_{false};
    std::stop_source stop_;
    // The last thing that its thread touches. The thread is detached, and is never waited for: a join in the accept loop did
    // not return once in a while though the thread was gone, and nothing was accepted any more by a controller that led on
    // (simulated machines, lienzo fleet: all leases over, no user answered, until the process ended).
    std::atomic<bool> finished_{false};
  };
  using Routine = std::function<void(Connection&, std::stop_token)>;

  Acceptor(const std::string& address, std::size_t most, Routine routine);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  void stop();
  // Connections that have a thread now.
  [[nodiscard]] std::size_t open();

 private:
  void accept_loop(std::stop_token stop);
  void sweep();

  Socket listener_;
  std::size_t most_;
  Routine routine_;
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::atomic<std::size_t> ended_{0};  // of them, those to be swept
  std::jthread thread_;
};

}  // namespace thistle
