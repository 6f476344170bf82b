#include "testbed/load_test/simulated_worker.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <string_view>

#include "testbed/checker.hpp"
#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"
#include "transport/socket.hpp"

namespace thistlefront::testbed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace {
constexpr double kMinHeartbeatIntervalS = 0.5;  // between heartbeats that are sent early because of a change
constexpr int kReplyTimeoutS = 4;
constexpr double kRetryDelayS = 1;      // after a heartbeat that failed or was refused
constexpr double kRunTimeSpread = 0.5;  // largest deviation from the job's run time, as a fraction of it
constexpr unsigned kHttp11 = 11;

auto store_error_in(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::chrono::steady_clock::time_point to_time_point(double steady_s) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(steady_s)));
}

tcp::endpoint endpoint_of(const std::string& address) {
  const auto parts = split_address(address);
  if (!parts) throw std::runtime_error("not an address: " + address);
  return {asio::ip::make_address_v4(parts->first), parts->second};
}
}  // namespace

SimulatedWorker::SimulatedWorker(FleetState& fleet, asio::io_context& context, const InstanceDescription& node, unsigned seed)
    : fleet_(fleet),
      node_(node),
      acceptor_(context, endpoint_of(node.address)),
      wake_timer_(context),
      controller_stream_(context),
      random_(seed) {
  // A random start keeps the workers from sending their heartbeats at the same moments.
  next_heartbeat_at_ = steady_now() + std::uniform_real_distribution<double>(0, timings().heartbeat_interval_s)(random_);
  lease_until_ = steady_now() + timings().lease_s;
}

bool SimulatedWorker::is_silent() const {
  return steady_now() < silent_until_;
}

void SimulatedWorker::silence(double until) {
  silent_until_ = until;
  wake_timer_.cancel();
}

void SimulatedWorker::reconnect() {
  controller_stream_.close();
  next_heartbeat_at_ = 0;
  wake_timer_.cancel();
}

// ---- tasks

double SimulatedWorker::next_event_at() const {
  double next = lease_until_;
  for (const auto& [name, task] : tasks_)
    if (!task.has_exited) next = std::min(next, task.is_running ? task.ends_at : task.starts_at);
  return next;
}

void SimulatedWorker::advance_tasks(double now) {
  if (now > lease_until_) expire_lease(now);
  for (auto& [name, task] : tasks_) {
    if (task.has_exited) continue;
    if (!task.is_running && now >= task.starts_at) start_task(task, now);
    if (task.is_running && now >= task.ends_at) end_task(task, "done", now);
  }
}

void SimulatedWorker::start_task(SimulatedTask& task, double now) {
  task.is_running = has_unreported_change_ = true;
  ++fleet_.counters.task_starts;
  ++fleet_.counters.running_tasks;
  fleet_.checker.record_task_start(task.uid, task.index, node_.name, node_.zone, now);
  std::lock_guard lock(fleet_.start_waits_mutex);
  fleet_.start_waits_s.push_back(now - task.submitted_at);
}

void SimulatedWorker::end_task(SimulatedTask& task, const char* exit_reason, double now) {
  const bool done = exit_reason == std::string_view("done");
  if (task.is_running) {
    --fleet_.counters.running_tasks;
    fleet_.checker.record_task_end(task.uid, task.index, node_.name, done, now);
  }
  task.is_running = false;
  task.has_exited = has_unreported_change_ = true;
  task.exit_reason = exit_reason;
  if (done) ++fleet_.counters.completed_tasks;
}

void SimulatedWorker::expire_lease(double now) {
  ++fleet_.counters.expired_leases;
  for (auto& [name, task] : tasks_)
    if (task.is_running) end_task(task, "halted", now);
  tasks_.clear();
  ++agent_incarnation_;
  lease_until_ = now + timings().lease_s;
  has_unreported_change_ = true;
}

void SimulatedWorker::execute_commands(const json& commands) {
  const double now = steady_now();
  for (const auto& command : commands) {
    const auto name = command.at("piece").get<std::string>();
    const auto attempt = command.at("try").get<std::uint64_t>();
    const auto verb = command.at("verb").get<std::string>();
    const auto it = tasks_.find(name);
    if (verb == "run") {
      if (it == tasks_.end()) run_task(name, attempt, now);
    } else if (it != tasks_.end() && it->second.attempt == attempt) {
      if (verb == "reap" && it->second.has_exited) {
        tasks_.erase(it);
      } else if (verb == "kill" && !it->second.has_exited) {
        end_task(it->second, "halted", now);
      }
    }
  }
}

void SimulatedWorker::run_task(const std::string& name, std::uint64_t attempt, double now) {
  const auto slash = name.find('/');
  SimulatedTask task;
  task.uid = name.substr(0, slash);
  task.index = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  task.attempt = attempt;
  const auto known = fleet_.jobs.find(task.uid);
  const auto job = known.value_or(SimulatedJob{});
  task.submitted_at = job.submitted_at;
  task.starts_at = now + timings().image_pull_s;
  task.ends_at = task.starts_at + job.task_run_s * std::uniform_real_distribution<double>(1 - kRunTimeSpread, 1 + kRunTimeSpread)(random_);
  if (!known || used_cores() + job.cores_per_task > fleet_.options.cores_per_node) {
    task.has_exited = true;
    task.exit_reason = known ? "no_room" : "unknown";
  }
  has_unreported_change_ = true;
  tasks_.emplace(name, std::move(task));
}

double SimulatedWorker::used_cores() const {
  double used = 0;
  for (const auto& [name, task] : tasks_) {
    if (task.has_exited) continue;
    if (const auto job = fleet_.jobs.find(task.uid)) used += job->cores_per_task;
  }
  return used;
}

// ---- heartbeats

// Builds the JSON without a library, to save processor time: the workers share the cores with the controllers that are measured.
std::string SimulatedWorker::heartbeat_body() {
  std::string out = R"({"host":")" + node_.name + R"(","address":")" + node_.address + R"(","hostKind":"big","yard":")" + node_.zone +
                    R"(","loaners":false,"tenure":)" + std::to_string(agent_incarnation_) + ",\"serial\":" + std::to_string(++serial_) +
                    ",\"epoch\":" + std::to_string(fencing_token_) + R"(,"recallS":null,"pieces":[)";
  const char* separator = "";
  for (const auto& [name, task] : tasks_) {
    const char* status = task.has_exited ? "exited" : task.is_running ? "running" : "pulling";
    out += separator;
    out += "{\"piece\":\"" + name + "\",\"try\":" + std::to_string(task.attempt) + ",\"status\":\"" + status + "\"";
    if (task.has_exited) out += std::string(",\"cause\":\"") + task.exit_reason + "\"";
    out += "}";
    separator = ",";
  }
  return out + "]}";
}

asio::awaitable<void> SimulatedWorker::sleep_until(double steady_s) {
  boost::system::error_code error;
  wake_timer_.expires_at(to_time_point(steady_s));
  co_await wake_timer_.async_wait(store_error_in(error));
}

asio::awaitable<void> SimulatedWorker::send_heartbeats() {
  controller_index_ = random_() % fleet_.options.controller_addresses.size();
  double last_sent_at = 0;
  for (;;) {
    const double now = steady_now();
    advance_tasks(now);
    const double due = has_unreported_change_ ? std::min(next_heartbeat_at_, last_sent_at + kMinHeartbeatIntervalS) : next_heartbeat_at_;
    if (is_silent() || now < due) {
      const double until = is_silent() ? std::min(silent_until_, lease_until_) : std::min(due, next_event_at());
      co_await sleep_until(std::max(until, now + 0.001));
      continue;
    }
    has_unreported_change_ = false;
    last_sent_at = now;
    next_heartbeat_at_ = now + timings().heartbeat_interval_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    co_await send_heartbeat(now);
  }
}

asio::awaitable<void> SimulatedWorker::send_heartbeat(double sent_at) {
  const auto sent_incarnation = agent_incarnation_;
  Request request(http::verb::post, "/v1/report", kHttp11);
  request.set(http::field::host, "worker");
  request.body() = heartbeat_body();
  request.prepare_payload();
  fleet_.counters.heartbeat_bytes += request.body().size();
  ++fleet_.counters.heartbeats;
  Response response;
  const bool has_reply = co_await send_request(request, response);
  if (!has_reply) {
    ++fleet_.counters.failed_heartbeats;
    switch_controller();
    co_return;
  }
  ++fleet_.counters.replies;
  fleet_.counters.reply_bytes += response.body().size();
  const auto body = json::parse(response.body(), nullptr, false);
  if (response.result_int() == 200) {
    handle_reply(body, sent_incarnation, sent_at);
  } else {
    follow_redirect(response.result_int(), body);
  }
}

void SimulatedWorker::handle_reply(const json& body, std::uint64_t sent_incarnation, double sent_at) {
  const auto reply_token = body.is_object() ? body.value("epoch", std::uint64_t{0}) : 0;
  advance_tasks(steady_now());
  // Ignores a reply with a lower fencing token, a reply to an earlier incarnation, and a reply that arrives too late.
  if (reply_token < fencing_token_ || sent_incarnation != agent_incarnation_ || steady_now() > sent_at + kReplyTimeoutS || is_silent())
    return;
  has_unreported_change_ |= reply_token > fencing_token_;
  fencing_token_ = reply_token;
  lease_until_ = std::max(lease_until_, sent_at + timings().lease_s);
  execute_commands(body.at("orders"));
}

void SimulatedWorker::switch_controller() {
  controller_index_ = (controller_index_ + 1) % fleet_.options.controller_addresses.size();
  next_heartbeat_at_ = steady_now() + kRetryDelayS;
}

void SimulatedWorker::follow_redirect(unsigned status, const json& body) {
  ++fleet_.counters.redirects;
  controller_stream_.close();
  switch_controller();
  const auto redirect_target = body.is_object() ? body.value("steward", std::string()) : std::string();
  const auto redirected = find_controller(redirect_target, fleet_.options.controller_addresses.size());
  if (status != 421 || redirected == fleet_.options.controller_addresses.size()) return;
  controller_index_ = redirected;
  next_heartbeat_at_ = steady_now();
}

asio::awaitable<bool> SimulatedWorker::send_request(const Request& request, Response& response) {
  boost::system::error_code error;
  controller_stream_.expires_after(std::chrono::seconds(kReplyTimeoutS));
  if (!controller_stream_.socket().is_open()) {
    ++fleet_.counters.connections_opened;
    co_await controller_stream_.async_connect(endpoint_of(fleet_.options.controller_addresses[controller_index_]), store_error_in(error));
    if (!error) static_cast<void>(controller_stream_.socket().set_option(tcp::no_delay(true), error));
  }
  if (!error) co_await http::async_write(controller_stream_, request, store_error_in(error));
  beast::flat_buffer buffer;
  if (!error) co_await http::async_read(controller_stream_, buffer, response, store_error_in(error));
  if (error || !response.keep_alive()) controller_stream_.close();
  co_return !error;
}

// ---- direct commands

asio::awaitable<void> SimulatedWorker::accept_commands() {
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(store_error_in(error));
    if (error) co_return;
    asio::co_spawn(acceptor_.get_executor(), serve_connection(beast::tcp_stream(std::move(socket))), asio::detached);
  }
}

asio::awaitable<void> SimulatedWorker::serve_connection(beast::tcp_stream caller) {
  boost::system::error_code error;
  static_cast<void>(caller.socket().set_option(tcp::no_delay(true), error));
  beast::flat_buffer buffer;
  for (;;) {
    Request request;
    co_await http::async_read(caller, buffer, request, store_error_in(error));
    if (error) co_return;
    if (is_silent()) continue;  // no reply
    ++fleet_.counters.command_requests;
    fleet_.counters.command_bytes += request.body().size();
    advance_tasks(steady_now());
    Response response(handle_commands(request), kHttp11);
    response.body() = heartbeat_body();
    response.prepare_payload();
    co_await http::async_write(caller, response, store_error_in(error));
    if (error) co_return;
    wake_timer_.cancel();  // reports started and ended tasks soon
  }
}

http::status SimulatedWorker::handle_commands(const Request& request) {
  if (request.target() != "/commands") return http::status::ok;
  const auto body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return http::status::bad_request;
  const auto command_token = body.at("epoch").get<std::uint64_t>();
  if (command_token < fencing_token_ || body.at("tenure") != agent_incarnation_) return http::status::conflict;
  has_unreported_change_ |= command_token > fencing_token_;
  fencing_token_ = command_token;
  execute_commands(body.at("orders"));
  return http::status::ok;
}

}  // namespace thistlefront::testbed
