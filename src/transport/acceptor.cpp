#include "transport/acceptor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kMaxClosing = 16;  // connections beyond the bound that may be closing at a time
constexpr double kAcceptRetrySeconds = 0.02;
}  // namespace

void Acceptor::Connection::touch() {
  active_at_.store(steady_now(), std::memory_order_relaxed);
}

Acceptor::Acceptor(const std::string& address, std::size_t max_connections, Routine routine)
    : listener_(listen_on(address)), max_connections_(std::max<std::size_t>(max_connections, 1)), routine_(std::move(routine)) {
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
  std::list<std::unique_ptr<Connection>> rest;
  {
    std::lock_guard lock(mutex_);
    rest.swap(connections_);
    by_eviction_rank_.clear();
  }
  for (auto& c : rest) {
    c->stop_.request_stop();
    c->stream.socket().shutdown();
  }
  // Their routines use objects that the owner of this acceptor destroys next.
  for (auto& c : rest)
    while (!c->finished_.load()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

std::size_t Acceptor::open_connections() {
  std::lock_guard lock(mutex_);
  return connections_.size() - std::min(connections_.size(), ended_count_.load());
}

void Acceptor::remove_ended() {
  if (ended_count_.load() == 0) return;
  std::vector<Connection*> finished;
  {
    std::lock_guard lock(ended_mutex_);
    // A thread lists its connection before it sets finished_: one in between is left for the next call.
    const auto still_running = std::partition(ended_.begin(), ended_.end(), [](const Connection* c) { return !c->finished_.load(); });
    finished.assign(still_running, ended_.end());
    ended_.erase(still_running, ended_.end());
  }
  std::lock_guard lock(mutex_);
  for (Connection* connection : finished) {
    by_eviction_rank_.erase({connection->indexed_rank_, connection});
    connections_.erase(connection->position_);
  }
  ended_count_ -= finished.size();
}

void Acceptor::evict_one() {
  while (!by_eviction_rank_.empty()) {
    const auto [indexed_rank, connection] = *by_eviction_rank_.begin();
    by_eviction_rank_.erase(by_eviction_rank_.begin());
    const auto rank = connection->eviction_rank();
    if (indexed_rank < rank) {
      // It was active since it was indexed: it is indexed anew, and the next one is tried.
      connection->indexed_rank_ = rank;
      by_eviction_rank_.insert({rank, connection});
      continue;
    }
    connection->stream.socket().shutdown();
    return;
  }
}

void Acceptor::run(Connection& connection) {
  try {
    routine_(connection, connection.stop_.get_token());
  } catch (const std::exception& e) {
    spdlog::error("connection: unhandled error: {}", e.what());
  }
  // The descriptor is closed only when the accept loop removes the connection; until then the peer must not wait for us.
  connection.stream.socket().shutdown();
  {
    std::lock_guard lock(ended_mutex_);
    ended_.push_back(&connection);
    ++ended_count_;
  }
  connection.finished_.store(true);
}

void Acceptor::accept_loop(std::stop_token stop) {
  while (!stop.stop_requested()) {
    Socket s = accept_from(listener_);
    if (stop.stop_requested()) return;
    remove_ended();
    if (!s.open()) {
      if (!pause_for(stop, kAcceptRetrySeconds)) return;
      continue;
    }
    std::lock_guard lock(mutex_);
    // As many connections as allowed are closing already: the new one is refused.
    if (connections_.size() >= max_connections_ + kMaxClosing) continue;
    // A user's connection is closed before that of a worker that runs tasks.
    if (connections_.size() >= max_connections_) evict_one();
    connections_.push_back(std::make_unique<Connection>(std::move(s)));
    Connection& connection = *connections_.back();
    connection.position_ = std::prev(connections_.end());
    connection.touch();
    try {
      std::thread([this, &connection] { run(connection); }).detach();
    } catch (const std::system_error& e) {
      spdlog::error("connection: no thread available: {}", e.what());
      connections_.pop_back();
      continue;
    }
    connection.indexed_rank_ = connection.eviction_rank();
    by_eviction_rank_.insert({connection.indexed_rank_, &connection});
  }
}

}  // namespace thistlefront
