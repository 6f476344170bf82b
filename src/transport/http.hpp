// HTTP/1.1 server and client over blocking sockets, with Boost.Beast's parser and serializer. The controller serves users and
// agents with it and calls the key-value store, the cloud and the agents.
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

// A request as the server's handler sees it; valid only while the handler runs.
struct HttpCall {
  std::string_view method;
  std::string_view target;
  std::string_view body;
  std::any& session;  // the handler's state for this connection, kept between its requests; initially empty
};

// The handler's reply.
struct HttpReply {
  unsigned status = 200;
  std::string body;
  int retry_after_s = 0;          // 0: no Retry-After header
  bool close_connection = false;  // after the reply
  std::string_view content_type = "application/json";
  // Steady seconds. After this time a 503 is sent instead of the reply. Checked just before sending, since the process may have been
  // suspended after the reply was made.
  double valid_until = std::numeric_limits<double>::infinity();
  bool evict_last = false;  // whether other connections are evicted before this one
};

// Replies to requests with the handler's replies. Each connection has a thread of its own.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpCall&)>;
  HttpServer(const std::string& address, std::size_t max_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t count_open_connections() { return acceptor_.count_open_connections(); }

 private:
  void serve(Acceptor::Connection& connection, std::stop_token stop) const;
  Handler handler_;
  Acceptor acceptor_;
};

// What the client knows about the execution of a request.
enum class Delivery {
  replied,          // a complete response was received
  unsent,           // connecting failed: the request was not executed
  outcome_unknown,  // sent, but no complete response was received: the request may have been executed, or may be later
};

// The outcome of a call; `status` and `body` are set only if a complete response was received.
struct HttpResult {
  Delivery delivery = Delivery::unsent;
  unsigned status = 0;
  std::string body;
  [[nodiscard]] bool ok() const { return delivery == Delivery::replied && status == 200; }
  [[nodiscard]] bool is(unsigned expected) const { return delivery == Delivery::replied && status == expected; }
};

// One keep-alive connection to one address, opened by the first call and reopened when it is broken. Only abort() is thread-safe.
class HttpClient {
 public:
  explicit HttpClient(std::string address) : address_(std::move(address)) {}
  // Sends a request and waits at most `timeout_s` for the response. See LateCallback for `late`.
  HttpResult call(std::string_view method, const std::string& target, const std::string& body, double timeout_s,
                  LateCallback* late = nullptr);
  HttpResult get(const std::string& target, double timeout_s) { return call("GET", target, "", timeout_s); }
  HttpResult post(const std::string& target, const std::string& body, double timeout_s, LateCallback* late = nullptr) {
    return call("POST", target, body, timeout_s, late);
  }
  // Ends a call in progress on another thread. Later calls fail.
  void abort();
  void disconnect();
  [[nodiscard]] bool connected() const { return stream_ != nullptr; }

 private:
  bool connect(double timeout_s, LateCallback* late);
  std::string address_;
  std::mutex mutex_;  // guards aborted_, and stream_ against a concurrent abort()
  bool aborted_ = false;
  std::unique_ptr<Stream> stream_;
};

}  // namespace thistlefront
