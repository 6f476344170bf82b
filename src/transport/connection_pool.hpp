// Pool of idle HTTP connections, at most one for each address. Beyond `max_connections` the least recently used one is closed. Not
// thread-safe: the owner serializes the calls.
#pragma once
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "transport/http.hpp"

namespace thistlefront {

class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t max_connections) : max_connections_(max_connections) {}
  // Removes the idle connection to this address from the pool and returns it, or returns a new one that is not connected yet.
  std::unique_ptr<HttpClient> acquire(const std::string& address);
  // Returns a connection to the pool. It is closed if it is broken or if the pool already has a connection to this address.
  void release(const std::string& address, std::unique_ptr<HttpClient> client);
  // Closes all idle connections.
  void clear();
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string address;
    std::unique_ptr<HttpClient> client;
  };
  std::size_t max_connections_;
  std::list<Entry> entries_;  // least recently used first
  std::unordered_map<std::string, std::list<Entry>::iterator> by_address_;
};

}  // namespace thistlefront
