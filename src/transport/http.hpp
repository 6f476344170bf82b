// HTTP/1.1 server and client over blocking sockets, with Boost.Beast's parser and serializer. The controller serves users and
// workers with it and calls the key-value store, the cloud and the workers.
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

// A request as the server's handler sees it; valid during the call.
struct HttpCall {
  std::string_view method;
  std::string_view target;
  std::string_view body;
  std::any& session;  // kept by the handler from one request of a connection to the next; empty at first
};

// The handler's reply.
struct HttpReply {
  unsigned status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no Retry-After header
  bool close = false;
  std::string_view type = "application/json";
  // Steady seconds until when the reply may be sent; later a 503 is sent instead. Checked just before sending, since the process
  // may have been suspended after the reply was made.
  double valid_until = std::numeric_limits<double>::infinity();
  bool evict_last = false;  // at the bound, other connections are closed before this one
};

// Answers requests with the handler's replies, one thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpCall&)>;
  HttpServer(const std::string& address, std::size_t max_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t connections() { return acceptor_.open_connections(); }

 private:
  void serve(Acceptor::Connection& connection, std::stop_token stop) const;
  Handler handler_;
  Acceptor acceptor_;
};

// What the client knows of a request's fate.
enum class Delivery {
  answered,  // a whole response was read
  unsent,    // the connection could not be made: the request was not executed
  in_doubt,  // sent, but no whole response was read: the request may have been executed, or may be later
};

// The outcome of a call; status and body only if it was answered.
struct HttpResult {
  Delivery delivery = Delivery::unsent;
  unsigned status = 0;
  std::string body;
  [[nodiscard]] bool ok() const { return delivery == Delivery::answered && status == 200; }
  [[nodiscard]] bool is(unsigned s) const { return delivery == Delivery::answered && status == s; }
};

// One keep-alive connection to one address, made on the first call and again when it is broken. Not thread-safe, except abort().
class HttpClient {
 public:
  explicit HttpClient(std::string address) : address_(std::move(address)) {}
  // Calls and waits for the response, `timeout_s` at most. `late` is called back on the way if the call takes long.
  HttpResult call(std::string_view method, const std::string& target, const std::string& body, double timeout_s,
                  LateCallback* late = nullptr);
  HttpResult get(const std::string& target, double timeout_s) { return call("GET", target, "", timeout_s); }
  HttpResult post(const std::string& target, const std::string& body, double timeout_s, LateCallback* late = nullptr) {
    return call("POST", target, body, timeout_s, late);
  }
  // Ends a call in progress on another thread; later calls fail.
  void abort();
  void disconnect();
  [[nodiscard]] bool connected() const { return stream_ != nullptr; }

 private:
  bool connect(double timeout_s, LateCallback* late);
  std::string address_;
  std::mutex mutex_;  // guards stream_'s descriptor against abort()
  bool aborted_ = false;
  std::unique_ptr<Stream> stream_;
};

}  // namespace thistlefront
