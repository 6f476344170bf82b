#include "transport/connection_pool.hpp"

namespace thistlefront {

std::unique_ptr<HttpClient> ConnectionPool::acquire(const std::string& address) {
  const auto it = by_address_.find(address);
  if (it == by_address_.end()) return std::make_unique<HttpClient>(address);
  auto client = std::move(it->second->client);
  entries_.erase(it->second);
  by_address_.erase(it);
  return client;
}

void ConnectionPool::release(const std::string& address, std::unique_ptr<HttpClient> client) {
  if (!client->connected() || by_address_.contains(address)) return;
  entries_.push_back({address, std::move(client)});
  by_address_.emplace(address, std::prev(entries_.end()));
  if (entries_.size() <= max_connections_) return;
  by_address_.erase(entries_.front().address);
  entries_.pop_front();
}

void ConnectionPool::clear() {
  by_address_.clear();
  entries_.clear();
}

}  // namespace thistlefront
