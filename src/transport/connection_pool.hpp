// Connections kept between calls, one for each address at most; over the bound the one longest unused is
// closed.
#pragma once
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "transport/http.hpp"

namespace thistlefront {

class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t most) : most_(most) {}
  // The kept one, or a new one that is not connected yet.
  std::unique_ptr<HttpClient> acquire(const std::string& address);
  void release(const std::string& address, std::unique_ptr<HttpClient> client);
  void clear();
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string address;
    std::unique_ptr<HttpClient> client;
  };
  std::size_t most_;
  std::list<Entry> entries_;  // longest unused first
  std::unordered_map<std::string, std::list<Entry>::iterator> by_address_;
};

}  // namespace thistlefront
