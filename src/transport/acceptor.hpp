// Accepts connections and gives each its own thread. At the bound, the connection longest idle is closed, and of those that are
// dear one only where there is no other. Accepting and ending a connection costs the same however many are open.
#pragma once
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "transport/socket.hpp"

namespace thistlefront {

class Acceptor {
 public:
  // A connection as its routine sees it; touch() marks activity.
  class Connection {
   public:
    explicit Connection(Socket socket) : stream(std::move(socket)) {}
    void touch();
    void evict_last(bool is) { evict_last_.store(is, std::memory_order_relaxed); }
    Stream stream;

   private:
    friend class Acceptor;
    // Which connection goes first when there are too many: the smallest.
    struct Standing {
      bool evict_last = false;
      double active = 0;  // steady seconds
      auto operator<=>(const Standing&) const = default;
    };
    [[nodiscard]] Standing standing() const {
      return {evict_last_.load(std::memory_order_relaxed), active_.load(std::memory_order_relaxed)};
    }
    Standing filed_under_;  // where it stands in by_standing_; used by the accept loop alone
    std::list<std::unique_ptr<Connection>>::iterator place_;
    std::atomic<double> active_{0};
    std::atomic<bool> evict_last_{false};
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
  using Filed = std::pair<Connection::Standing, Connection*>;
  void accept_loop(std::stop_token stop);
  void run(Connection& connection);
  // Removes connections whose threads have ended.
  void sweep();
  // Closes the connection that goes first. Its thread ends by that; it is removed by a later sweep.
  void close_one();

  Socket listener_;
  std::size_t most_;
  Routine routine_;
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::set<Filed> by_standing_;  // open ones; each is filed anew only when it comes to be the first
  std::mutex ended_mutex_;
  std::vector<Connection*> ended_;  // to be swept
  std::atomic<std::size_t> ended_count_{0};
  std::jthread thread_;
};

}  // namespace thistlefront
