// One hollow worker of the load test: keeps the worker's side of the protocol and ends its tasks by a clock, in coroutines of the one
// thread that owns it. Used by hollow_fleet.cpp alone, which runs thousands of them on a few threads.
#pragma once
// First, for Boost.Asio's awaitable uses std::exchange without including it.
#include <utility>

// Then the others.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "testbed/load_test/hollow_fleet.hpp"

namespace thistlefront::testbed {

class HollowWorker {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  // All calls from here on must come from the thread that runs `context`, or before it runs.
  HollowWorker(FleetState& fleet, boost::asio::io_context& context, const InstanceDescription& machine, unsigned seed);

  // Its two duties; neither ends before `context` does.
  boost::asio::awaitable<void> send_heartbeats();
  boost::asio::awaitable<void> accept_commands();

  // Neither sends nor answers until then (steady seconds).
  void silence(double until);
  // Closes its connection, and sends a heartbeat at once.
  void reconnect();

 private:
  struct HeldTask {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double on_at = 0, off_at = 0, submitted_at = 0;  // steady seconds
    bool on = false, exited = false;
    const char* exit_reason = "";
  };

  [[nodiscard]] const FleetTimes& times() const { return fleet_.options.times; }
  [[nodiscard]] bool silent() const;

  // Tasks and time.
  [[nodiscard]] double next_event() const;
  void progress(double now);
  void begin(HeldTask& task, double now);
  void finish(HeldTask& task, const char* exit_reason, double now);
  void expire_lease(double now);
  void execute(const nlohmann::json& commands);
  void run(const std::string& name, std::uint64_t attempt, double now);
  [[nodiscard]] double used_cores() const;

  // Heartbeats.
  std::string heartbeat_body();
  boost::asio::awaitable<void> wait_until(double steady_s);
  boost::asio::awaitable<void> send_heartbeat(double sent_at);
  boost::asio::awaitable<bool> exchange(const Request& request, Response& response);
  void take_answer(const nlohmann::json& body, std::uint64_t sent_incarnation, double sent_at);
  void follow_redirect(unsigned status, const nlohmann::json& body);
  void change_controller();

  // Direct commands.
  boost::asio::awaitable<void> serve(boost::beast::tcp_stream caller);
  boost::beast::http::status take_commands(const Request& request);

  FleetState& fleet_;
  const InstanceDescription machine_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer wake_;
  boost::beast::tcp_stream stream_;
  std::mt19937 random_;
  std::map<std::string, HeldTask> tasks_;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, fencing_token_ = 0;
  double lease_until_ = 0, next_heartbeat_at_ = 0, silent_until_ = 0;  // steady seconds
  std::size_t controller_ = 0;
  bool changed_ = false;  // since the last heartbeat
};

}  // namespace thistlefront::testbed
