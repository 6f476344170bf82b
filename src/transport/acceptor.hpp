// Accepts TCP connections and runs each in a thread of its own. At the bound the connection idle for the longest time is closed
// to make room; one marked evict_last only if there is no other. Accepting or ending a connection costs O(log n) however many
// are open. Used by HttpServer and FrameServer. The accept loop must never wait for a connection's thread.
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
  // A connection as its routine sees it.
  class Connection {
   public:
    explicit Connection(Socket socket) : stream(std::move(socket)) {}
    // Marks activity: the idle time begins again.
    void touch();
    // Whether other connections are to be closed before this one.
    void set_evict_last(bool evict_last) { evict_last_.store(evict_last, std::memory_order_relaxed); }
    Stream stream;

   private:
    friend class Acceptor;
    // The connection with the smallest rank is closed first.
    struct EvictionRank {
      bool evict_last = false;
      double active_at = 0;  // steady seconds
      auto operator<=>(const EvictionRank&) const = default;
    };
    [[nodiscard]] EvictionRank eviction_rank() const {
      return {evict_last_.load(std::memory_order_relaxed), active_at_.load(std::memory_order_relaxed)};
    }
    EvictionRank indexed_rank_;  // its key in by_eviction_rank_; used by the accept loop alone
    std::list<std::unique_ptr<Connection>>::iterator position_;
    std::atomic<double> active_at_{0};
    std::atomic<bool> evict_last_{false};
    std::stop_source stop_;
    // The last thing that its thread touches. The thread is detached and never joined: a join in the accept loop sometimes didn't
    // return though the thread was gone, and the controller accepted no connection any more while it still led.
    std::atomic<bool> finished_{false};
  };
  using Routine = std::function<void(Connection&, std::stop_token)>;

  // Listens on `address` and accepts at once. Throws std::runtime_error if it can't listen.
  Acceptor(const std::string& address, std::size_t max_connections, Routine routine);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Closes all connections and returns when their routines have ended.
  void stop();
  // Connections whose routines run.
  [[nodiscard]] std::size_t open_connections();

 private:
  using RankedConnection = std::pair<Connection::EvictionRank, Connection*>;
  void accept_loop(std::stop_token stop);
  void run(Connection& connection);
  // Removes connections whose threads have ended.
  void remove_ended();
  // Closes the connection with the smallest rank. That ends its thread, and a later remove_ended() removes it.
  void evict_one();

  Socket listener_;
  std::size_t max_connections_;
  Routine routine_;
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::set<RankedConnection> by_eviction_rank_;  // open ones; a rank is brought up to date only when it is the smallest
  std::mutex ended_mutex_;
  std::vector<Connection*> ended_;  // to be removed
  std::atomic<std::size_t> ended_count_{0};
  std::jthread thread_;
};

}  // namespace thistlefront
