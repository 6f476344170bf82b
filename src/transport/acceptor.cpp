#include "transport/acceptor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr std::size_t kClosing = 16;  // connections beyond the bound that may be closing at a time
}  // namespace

void Acceptor::Connection::touch() {
  active_.store(steady_now(), std::memory_order_relaxed);
}

Acceptor::Acceptor(const std::string& address, std::size_t most, Routine routine)
    : listener_(listen_on(address)), most_(std::max<std::size_t>(most, 1)), routine_(std::move(routine)) {
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
    by_standing_.clear();
  }
  for (auto& c : rest) {
    c->stop_.request_stop();
    c->stream.socket().shutdown();
  }
  // Their routines use what the owner of this acceptor takes down next.
  for (auto& c : rest)
    while (!c->finished_.load()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

std::size_t Acceptor::open() {
  std::lock_guard lock(mutex_);
  return connections_.size() - std::min(connections_.size(), ended_count_.load());
}

void Acceptor::sweep() {
  if (ended_count_.load() == 0) return;
  std::vector<Connection*> over;
  {
    std::lock_guard lock(ended_mutex_);
    // A thread names its connection first and lets go of it last: one that is in between is left for the next sweep.
    const auto still_held = std::partition(ended_.begin(), ended_.end(), [](const Connection* c) { return !c->finished_.load(); });
    over.assign(still_held, ended_.end());
    ended_.erase(still_held, ended_.end());
  }
  std::lock_guard lock(mutex_);
  for (Connection* connection : over) {
    by_standing_.erase({connection->filed_under_, connection});
    connections_.erase(connection->place_);
  }
  ended_count_ -= over.size();
}

void Acceptor::close_one() {
  while (!by_standing_.empty()) {
    const auto [filed, connection] = *by_standing_.begin();
    by_standing_.erase(by_standing_.begin());
    const auto now = connection->standing();
    if (filed < now) {
      // It was active since: it is filed under that, and the next one is looked at.
      connection->filed_under_ = now;
      by_standing_.insert({now, connection});
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
    spdlog::error("connection routine: {}", e.what());
  }
  // The descriptor is closed when the owner sweeps; until then the peer must not wait for us.
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
    sweep();
    if (!s.open()) {
      if (!pause_for(stop, 0.02)) return;
      continue;
    }
    std::lock_guard lock(mutex_);
    // As many as may be closing at a time are: the newcomer goes.
    if (connections_.size() >= most_ + kClosing) continue;
    // Room for the newcomer comes from the connection that has said nothing for the longest time: a user's, before that of a
    // worker that holds tasks.
    if (connections_.size() >= most_) close_one();
    connections_.push_back(std::make_unique<Connection>(std::move(s)));
    Connection& connection = *connections_.back();
    connection.place_ = std::prev(connections_.end());
    connection.touch();
    try {
      std::thread([this, &connection] { run(connection); }).detach();
    } catch (const std::system_error& e) {
      spdlog::error("no thread for a connection: {}", e.what());
      connections_.pop_back();
      continue;
    }
    connection.filed_under_ = connection.standing();
    by_standing_.insert({connection.filed_under_, &connection});
  }
}

}  // namespace thistlefront
