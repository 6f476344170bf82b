// HTTP/1.1 over blocking sockets, with Boost.Beast's parser and serializer.
#pragma once
#include <any>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "transport/acceptor.hpp"

namespace thistlefront {

struct HttpCall {
  std::string_view method;
  std::string_view target;
  std::string_view body;
  std::any& session;  // whatever the handler keeps from one call of a connection to the next; empty at first
};

struct HttpReply {
  unsigned status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no Retry-After header
  bool close = false;
  std::string_view type = "application/json";
  // Steady seconds until when it may be given: looked at just before it is sent, for the process may have stood still
  // since it was made. Later it is a 503.
  double valid_until = std::numeric_limits<double>::infinity();
  bool evict_last = false;  // of a connection that goes last where there are too many
};

class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpCall&)>;
  HttpServer(const std::string& address, std::size_t most_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t connections() { return acceptor_.open(); }

 private:
  void serve(Acceptor::Connection& connection, std::stop_token stop) const;
  Handler handler_;
  Acceptor acceptor_;
};

enum class Delivery {
  answered,  // a whole response was read
  unsent,    // the connection could not be made: nothing was executed
  in_doubt,  // sent, no whole response: it may have been executed, or may be later
};

struct HttpResult {
  Delivery delivery = Delivery::unsent;
  unsigned status = 0;
  std::string body;
  [[nodiscard]] bool ok() const { return delivery == Delivery::answered && status == 200; }
  [[nodiscard]] bool is(unsigned s) const { return delivery == Delivery::answered && status == s; }
};

// One kept-alive connection to one address. Not for use by several threads at once, except abort().
class HttpClient {
 public:
  explicit HttpClient(std::string address) : address_(std::move(address)) {}
  HttpResult call(std::string_view method, const std::string& target, const std::string& body, double timeout_s, Late* late = nullptr);
  HttpResult get(const std::string& target, double timeout_s) { return call("GET", target, "", timeout_s); }
  HttpResult post(const std::string& target, const std::string& body, double timeout_s, Late* late = nullptr) {
    return call("POST", target, body, timeout_s, late);
  }
  // Ends a call in progress on another thread, and refuses later ones.
  void abort();
  void disconnect();
  [[nodiscard]] bool connected() const { return stream_ != nullptr; }

 private:
  bool connect(double timeout_s, Late* late);
  std::string address_;
  std::mutex mutex_;  // guards stream_'s descriptor against abort()
  bool aborted_ = false;
  std::unique_ptr<Stream> stream_;
};

}  // namespace thistlefront
