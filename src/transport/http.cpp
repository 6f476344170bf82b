#include "transport/http.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "transport/clock.hpp"

namespace thistlefront {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr std::size_t kMaxRequestBodyBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxRequestHeaderBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{64} * 1024 * 1024;  // responses to watches and ledger pages can be large
constexpr std::size_t kReadBufferBytes = 2048;
constexpr unsigned kHttp11 = 11;
constexpr int kMaxAttempts = 2;  // the second one if a reused connection was stale
}  // namespace

HttpServer::HttpServer(const std::string& address, std::size_t max_connections, Handler handler)
    : handler_(std::move(handler)),
      acceptor_(address, max_connections, [this](Acceptor::Connection& connection, std::stop_token stop) { serve(connection, stop); }) {}

void HttpServer::serve(Acceptor::Connection& connection, std::stop_token stop) const {
  beast::flat_buffer buffer;
  buffer.reserve(kReadBufferBytes);
  std::any session;
  while (!stop.stop_requested()) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBodyBytes);
    parser.header_limit(kMaxRequestHeaderBytes);
    ErrorCode ec;
    http::read(connection.stream, buffer, parser, ec);
    connection.record_activity();
    HttpReply reply;
    bool keep_alive = false;
    if (ec == http::error::body_limit) {
      reply = {413, R"({"error":"body: larger than 64 KiB"})", 0, true};
    } else if (ec && ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream &&
               ec != http::error::partial_message) {
      reply = {400, R"({"error":"malformed HTTP request"})", 0, true};
    } else if (ec) {
      return;
    } else {
      const auto& request = parser.get();
      keep_alive = request.keep_alive();
      const auto method = request.method_string();
      const auto target = request.target();
      reply = handler_({{method.data(), method.size()}, {target.data(), target.size()}, request.body(), session});
      connection.set_evict_last(reply.evict_last);
    }
    http::response<http::string_body> response(static_cast<http::status>(reply.status), kHttp11);
    response.set(http::field::content_type, beast::string_view(reply.content_type.data(), reply.content_type.size()));
    if (reply.retry_after_s > 0) response.set(http::field::retry_after, std::to_string(reply.retry_after_s));
    response.body() = std::move(reply.body);
    response.keep_alive(keep_alive && !reply.close_connection);
    response.prepare_payload();
    if (steady_now() > reply.valid_until) {
      response.result(http::status::service_unavailable);
      response.set(http::field::retry_after, "1");
      response.body() = R"({"error":"not available now"})";
      response.prepare_payload();
    }
    http::write(connection.stream, response, ec);
    if (ec || !response.keep_alive()) return;
    if (buffer.capacity() > 4 * kReadBufferBytes && buffer.size() == 0) {
      buffer.shrink_to_fit();
      buffer.reserve(kReadBufferBytes);
    }
  }
}

bool HttpClient::connect(double timeout_s, LateCallback* late) {
  Socket socket = connect_to(address_, timeout_s, late);
  std::lock_guard lock(mutex_);
  if (!socket.is_open() || aborted_) return false;
  stream_ = std::make_unique<Stream>(std::move(socket));
  return true;
}

void HttpClient::disconnect() {
  std::lock_guard lock(mutex_);
  stream_.reset();
}

void HttpClient::abort() {
  std::lock_guard lock(mutex_);
  aborted_ = true;
  if (stream_) stream_->socket().shutdown();
}

HttpResult HttpClient::call(std::string_view method, const std::string& target, const std::string& body, double timeout_s,
                            LateCallback* late) {
  const double deadline = steady_now() + timeout_s;
  http::request<http::string_body> request(http::string_to_verb(beast::string_view(method.data(), method.size())), target, kHttp11);
  request.set(http::field::host, address_);
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const bool reused = stream_ != nullptr;
    if (!reused && !connect(deadline - steady_now(), late)) return {};
    stream_->set_deadline(deadline, late);
    ErrorCode ec;
    http::write(*stream_, request, ec);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxResponseBodyBytes);
    if (!ec) http::read(*stream_, buffer, parser, ec);
    stream_->set_deadline(deadline);
    if (!ec) {
      HttpResult result{Delivery::replied, parser.get().result_int(), std::move(parser.get().body())};
      if (!parser.get().keep_alive()) disconnect();
      return result;
    }
    disconnect();
    // The peer may have closed the idle connection. A request that only reads is safe to send again.
    if (reused && method == "GET" && ec != boost::asio::error::timed_out) continue;
    return {Delivery::outcome_unknown, 0, {}};
  }
  return {Delivery::outcome_unknown, 0, {}};
}

}  // namespace thistlefront
