// Accepts TCP connections and runs each in a thread of its own. A new connection beyond `max_connections` evicts the one that has
// been idle longest; a connection marked evict_last is evicted only if there is no other. Accepting or ending a connection costs
// O(log n) for n open connections. Used by HttpServer and FrameServer. The accept loop must never wait for a connection's thread.
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
  // A connection as its handler sees it.
  class Connection {
   public:
    explicit Connection(Socket socket) : stream(std::move(socket)) {}
    // Restarts the idle time.
    void record_activity();
    // Whether other connections are evicted before this one.
    void set_evict_last(bool evict_last) { evict_last_.store(evict_last, std::memory_order_relaxed); }
    Stream stream;

   private:
    friend class Acceptor;
    // The connection with the smallest rank is evicted first.
    struct EvictionRank {
      bool evict_last = false;
      double last_active_at = 0;  // steady seconds
      auto operator<=>(const EvictionRank&) const = default;
    };
    [[nodiscard]] EvictionRank eviction_rank() const {
      return {evict_last_.load(std::memory_order_relaxed), last_active_at_.load(std::memory_order_relaxed)};
    }
    EvictionRank indexed_rank_;  // key in by_eviction_rank_; used by the accept loop only
    std::list<std::unique_ptr<Connection>>::iterator position_;
    std::atomic<double> last_active_at_{0};
    std::atomic<bool> evict_last_{false};
    std::stop_source stop_;
    // The last member that the connection's thread accesses. The thread is detached and never joined: a join in the accept loop
    // sometimes did not return although the thread had ended, and the leader stopped accepting connections.
    std::atomic<bool> finished_{false};
  };
  using Handler = std::function<void(Connection&, std::stop_token)>;

  // Listens on `address` and starts accepting. Throws std::runtime_error if listening fails.
  Acceptor(const std::string& address, std::size_t max_connections, Handler handler);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Closes all connections and returns when their handlers have returned.
  void stop();
  // Number of connections whose handlers are running.
  [[nodiscard]] std::size_t count_open_connections();

 private:
  using RankedConnection = std::pair<Connection::EvictionRank, Connection*>;
  void accept_loop(std::stop_token stop);
  void run_handler(Connection& connection);
  // Removes connections whose threads have ended.
  void remove_ended_connections();
  // Shuts down the connection with the smallest rank. Its thread then ends, and a later remove_ended_connections() removes it.
  void evict_connection();

  Socket listener_;
  std::size_t max_connections_;
  Handler handler_;
  std::mutex mutex_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::set<RankedConnection> by_eviction_rank_;  // of open connections; a rank is updated only when it is the smallest
  std::mutex ended_mutex_;
  std::vector<Connection*> ended_connections_;  // not yet removed from connections_
  std::atomic<std::size_t> ended_count_{0};
  std::jthread thread_;
};

}  // namespace thistlefront
