// One simulated worker of the load test: implements the agent's side of the protocol, and ends each task after a set time. Runs as
// coroutines on the one thread that owns it. Used only by simulated_fleet.cpp, which runs thousands of them on a few threads.
#pragma once
// Must come first: Boost.Asio's awaitable uses std::exchange without including this header.
#include <utility>

// The other headers, in order.
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

#include "testbed/load_test/simulated_fleet.hpp"

namespace thistlefront::testbed {

class SimulatedWorker {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  // All member functions must be called from the thread that runs `context`, or before it runs.
  SimulatedWorker(FleetState& fleet, boost::asio::io_context& context, const InstanceDescription& node, unsigned seed);

  // The worker's two loops. Both run until `context` stops.
  boost::asio::awaitable<void> send_heartbeats();
  boost::asio::awaitable<void> accept_commands();

  // Keeps the worker from sending and replying until `until` (steady seconds).
  void silence(double until);
  // Closes the connection to the controller, and sends a heartbeat at once.
  void reconnect();

 private:
  struct SimulatedTask {
    std::string uid;
    std::uint32_t index = 0;  // of the task in its job
    std::uint64_t attempt = 0;
    double starts_at = 0, ends_at = 0, submitted_at = 0;  // steady seconds
    bool is_running = false, has_exited = false;
    const char* exit_reason = "";
  };

  [[nodiscard]] const FleetTimings& timings() const { return fleet_.options.timings; }
  [[nodiscard]] bool is_silent() const;

  // Tasks.
  [[nodiscard]] double next_event_at() const;
  void advance_tasks(double now);
  void start_task(SimulatedTask& task, double now);
  void end_task(SimulatedTask& task, const char* exit_reason, double now);
  void expire_lease(double now);
  void execute_commands(const nlohmann::json& commands);
  void run_task(const std::string& name, std::uint64_t attempt, double now);
  [[nodiscard]] double used_cores() const;

  // Heartbeats.
  std::string heartbeat_body();
  boost::asio::awaitable<void> sleep_until(double steady_s);
  boost::asio::awaitable<void> send_heartbeat(double sent_at);
  boost::asio::awaitable<bool> send_request(const Request& request, Response& response);
  void handle_reply(const nlohmann::json& body, std::uint64_t sent_incarnation, double sent_at);
  void follow_redirect(unsigned status, const nlohmann::json& body);
  void switch_controller();

  // Direct commands.
  boost::asio::awaitable<void> serve_connection(boost::beast::tcp_stream caller);
  boost::beast::http::status handle_commands(const Request& request);

  FleetState& fleet_;
  const InstanceDescription node_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer wake_timer_;
  boost::beast::tcp_stream controller_stream_;
  std::mt19937 random_;
  std::map<std::string, SimulatedTask> tasks_;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, fencing_token_ = 0;
  double lease_until_ = 0, next_heartbeat_at_ = 0, silent_until_ = 0;  // steady seconds
  std::size_t controller_index_ = 0;
  bool has_unreported_change_ = false;  // since the last heartbeat
};

}  // namespace thistlefront::testbed
