#include "transport/acceptor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMaxClosingConnections = 16;  // open beyond max_connections until their threads have ended
constexpr double kAcceptRetrySeconds = 0.02;
}  // namespace

void Acceptor::Connection::record_activity() {
  last_active_at_.store(steady_now(), std::memory_order_relaxed);
}

Acceptor::Acceptor(const std::string& address, std::size_t max_connections, Handler handler)
    : listener_(listen_on(address)), max_connections_(std::max<std::size_t>(max_connections, 1)), handler_(std::move(handler)) {
  thread_ = std::jthread([this](std::stop_token stop) { accept_loop(stop); });
}

Acceptor::~Acceptor() {
  stop();
}

void Acceptor::stop() {
  if (!thread_.joinable()) return;
  thread_.request_stop();
  listener_.shutdown();
  thread_.join();
  std::list<std::unique_ptr<Connection>> remaining;
  {
    std::lock_guard lock(mutex_);
    remaining.swap(connections_);
    by_eviction_rank_.clear();
  }
  for (auto& connection : remaining) {
    connection->stop_.request_stop();
    connection->stream.socket().shutdown();
  }
  // The handlers use objects that the owner of this acceptor destroys after this call.
  for (auto& connection : remaining)
    while (!connection->finished_.load()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

std::size_t Acceptor::count_open_connections() {
  std::lock_guard lock(mutex_);
  return connections_.size() - std::min(connections_.size(), ended_count_.load());
}

void Acceptor::remove_ended_connections() {
  if (ended_count_.load() == 0) return;
  std::vector<Connection*> finished;
  {
    std::lock_guard lock(ended_mutex_);
    // A thread adds its connection to ended_connections_ before it sets finished_. A connection between these two steps stays for
    // the next call.
    const auto still_running = std::partition(ended_connections_.begin(), ended_connections_.end(),
                                              [](const Connection* connection) { return !connection->finished_.load(); });
    finished.assign(still_running, ended_connections_.end());
    ended_connections_.erase(still_running, ended_connections_.end());
  }
  std::lock_guard lock(mutex_);
  for (Connection* connection : finished) {
    by_eviction_rank_.erase({connection->indexed_rank_, connection});
    connections_.erase(connection->position_);
  }
  ended_count_ -= finished.size();
}

void Acceptor::evict_connection() {
  while (!by_eviction_rank_.empty()) {
    const auto [indexed_rank, connection] = *by_eviction_rank_.begin();
    by_eviction_rank_.erase(by_eviction_rank_.begin());
    const auto rank = connection->eviction_rank();
    if (indexed_rank < rank) {
      // The rank has grown since it was indexed: update it and try the next connection.
      connection->indexed_rank_ = rank;
      by_eviction_rank_.insert({rank, connection});
      continue;
    }
    connection->stream.socket().shutdown();
    return;
  }
}

void Acceptor::run_handler(Connection& connection) {
  try {
    handler_(connection, connection.stop_.get_token());
  } catch (const std::exception& error) {
    spdlog::error("connection: unhandled error: {}", error.what());
  }
  // The descriptor stays open until the accept loop removes the connection. The shutdown tells the peer at once.
  connection.stream.socket().shutdown();
  {
    std::lock_guard lock(ended_mutex_);
    ended_connections_.push_back(&connection);
    ++ended_count_;
  }
  connection.finished_.store(true);
}

void Acceptor::accept_loop(std::stop_token stop) {
  while (!stop.stop_requested()) {
    Socket socket = accept_from(listener_);
    if (stop.stop_requested()) return;
    remove_ended_connections();
    if (!socket.is_open()) {
      if (!pause_for(stop, kAcceptRetrySeconds)) return;
      continue;
    }
    std::lock_guard lock(mutex_);
    // The maximum number of connections is closing already: refuse the new one.
    if (connections_.size() >= max_connections_ + kMaxClosingConnections) continue;
    // Users' connections are evicted before those of agents that run tasks.
    if (connections_.size() >= max_connections_) evict_connection();
    connections_.push_back(std::make_unique<Connection>(std::move(socket)));
    Connection& connection = *connections_.back();
    connection.position_ = std::prev(connections_.end());
    connection.record_activity();
    try {
      std::thread([this, &connection] { run_handler(connection); }).detach();
    } catch (const std::system_error& error) {
      spdlog::error("connection: no thread available: {}", error.what());
      connections_.pop_back();
      continue;
    }
    connection.indexed_rank_ = connection.eviction_rank();
    by_eviction_rank_.insert({connection.indexed_rank_, &connection});
  }
}

}  // namespace thistlefront
