#include "transport/acceptor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <system_error>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

void Acceptor::Connection::touch() { active_.store(steady_now(), std::memory_order_relaxed); }

Acceptor::Acceptor(const std::string& address, std::size_t most, Routine routine)
    : listener_(listen_on(address)), most_(std::max<std::size_t>(most, 1)), routine_(std::move(routine)) {
  thread_ = std::jthread([this](std::stop_token stop) { accept_loop(stop); });
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::stop() {
  if (!thread_.joinable()) return;
  thread_.request_stop();
  listener_.shutdown();
  thread_.join();
  std::list<std::unique_ptr<Connection>> rest;
  {
    std::lock_guard lock(mutex_);
    rest.swap(connections_);
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
  return connections_.size() - std::min(connections_.size(), ended_.load());
}

void Acceptor::sweep() {
  if (ended_.load() == 0) return;
  std::lock_guard lock(mutex_);
  ended_ -= connections_.remove_if([](const auto& c) { return c->finished_.load(); });
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
    if (connections_.size() >= most_) {
      // Room for the newcomer comes from the connection that has said nothing for the longest time: a user's, before that of a
      // worker that holds tasks.
      auto oldest = std::min_element(connections_.begin(), connections_.end(), [](auto& a, auto& b) {
        const auto rank = [](const auto& c) {
          return std::pair(c->dear_.load(std::memory_order_relaxed), c->active_.load(std::memory_order_relaxed));
        };
        return rank(a) < rank(b);
      });
      if (oldest != connections_.end()) (*oldest)->stream.socket().shutdown();
      if (connections_.size() >= most_ + 16) continue;
    }
    auto connection = std::make_unique<Connection>(std::move(s));
    connection->touch();
    Connection* raw = connection.get();
    try {
      std::thread([this, raw] {
        try {
          routine_(*raw, raw->stop_.get_token());
        } catch (const std::exception& e) {
          spdlog::error("connection routine: {}", e.what());
        }
        // The descriptor is closed when the owner sweeps; until then the peer must not wait for us.
        raw->stream.socket().shutdown();
        ++ended_;
        raw->finished_.store(true);
      }).detach();
    } catch (const std::system_error& e) {
      spdlog::error("no thread for a connection: {}", e.what());
      continue;
    }
    connections_.push_back(std::move(connection));
  }
}

}  // namespace thistle
