#include "testbed/load_test/hollow_worker.hpp"

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
constexpr double kMinHeartbeatInterval = 0.5;  // seconds: at most two a second, also on change
constexpr int kAnswerTimeoutS = 4;
constexpr double kAfterFailure = 1;  // seconds
constexpr double kRunSpread = 0.5;   // a task runs its job's time, give or take this share
constexpr unsigned kHttp11 = 11;

auto ignoring(boost::system::error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::chrono::steady_clock::time_point at(double steady_s) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(steady_s)));
}

tcp::endpoint endpoint_of(const std::string& address) {
  const auto parts = split_address(address);
  if (!parts) throw std::runtime_error("not an address: " + address);
  return {asio::ip::make_address_v4(parts->first), parts->second};
}
}  // namespace

HollowWorker::HollowWorker(FleetState& fleet, asio::io_context& context, const InstanceDescription& machine, unsigned seed)
    : fleet_(fleet), machine_(machine), acceptor_(context, endpoint_of(machine.address)), wake_(context), stream_(context), random_(seed) {
  // Workers of a running fleet do not send in step.
  next_heartbeat_at_ = steady_now() + std::uniform_real_distribution<double>(0, times().heartbeat)(random_);
  lease_until_ = steady_now() + times().lease;
}

bool HollowWorker::silent() const {
  return steady_now() < silent_until_;
}

void HollowWorker::silence(double until) {
  silent_until_ = until;
  wake_.cancel();
}

void HollowWorker::reconnect() {
  stream_.close();
  next_heartbeat_at_ = 0;
  wake_.cancel();
}

// ---- tasks and time

double HollowWorker::next_event() const {
  double next = lease_until_;
  for (const auto& [name, task] : tasks_)
    if (!task.exited) next = std::min(next, task.on ? task.off_at : task.on_at);
  return next;
}

void HollowWorker::progress(double now) {
  if (now > lease_until_) expire_lease(now);
  for (auto& [name, task] : tasks_) {
    if (task.exited) continue;
    if (!task.on && now >= task.on_at) begin(task, now);
    if (task.on && now >= task.off_at) finish(task, "done", now);
  }
}

void HollowWorker::begin(HeldTask& task, double now) {
  task.on = changed_ = true;
  ++fleet_.counters.starts;
  ++fleet_.counters.running;
  fleet_.checker.record_task_start(task.uid, task.task, machine_.name, machine_.zone, now);
  std::lock_guard lock(fleet_.waits_mutex);
  fleet_.waits.push_back(now - task.submitted_at);
}

void HollowWorker::finish(HeldTask& task, const char* exit_reason, double now) {
  const bool done = exit_reason == std::string_view("done");
  if (task.on) {
    --fleet_.counters.running;
    fleet_.checker.record_task_end(task.uid, task.task, machine_.name, done, now);
  }
  task.on = false;
  task.exited = changed_ = true;
  task.exit_reason = exit_reason;
  if (done) ++fleet_.counters.ends;
}

void HollowWorker::expire_lease(double now) {
  ++fleet_.counters.leases_over;
  for (auto& [name, task] : tasks_)
    if (task.on) finish(task, "halted", now);
  tasks_.clear();
  ++agent_incarnation_;
  lease_until_ = now + times().lease;
  changed_ = true;
}

void HollowWorker::execute(const json& commands) {
  const double now = steady_now();
  for (const auto& command : commands) {
    const auto name = command.at("piece").get<std::string>();
    const auto attempt = command.at("try").get<std::uint64_t>();
    const auto verb = command.at("verb").get<std::string>();
    const auto it = tasks_.find(name);
    if (verb == "run") {
      if (it == tasks_.end()) run(name, attempt, now);
    } else if (it != tasks_.end() && it->second.attempt == attempt) {
      if (verb == "reap" && it->second.exited) {
        tasks_.erase(it);
      } else if (verb == "kill" && !it->second.exited) {
        finish(it->second, "halted", now);
      }
    }
  }
}

void HollowWorker::run(const std::string& name, std::uint64_t attempt, double now) {
  const auto slash = name.find('/');
  HeldTask task;
  task.uid = name.substr(0, slash);
  task.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  task.attempt = attempt;
  const auto known = fleet_.jobs.find(task.uid);
  const auto job = known.value_or(HollowJob{});
  task.submitted_at = job.submitted_at;
  task.on_at = now + times().pull;
  task.off_at = task.on_at + job.run_s * std::uniform_real_distribution<double>(1 - kRunSpread, 1 + kRunSpread)(random_);
  if (!known || used_cores() + job.cores > fleet_.options.cores) {
    task.exited = true;
    task.exit_reason = known ? "no_room" : "unknown";
  }
  changed_ = true;
  tasks_.emplace(name, std::move(task));
}

double HollowWorker::used_cores() const {
  double used = 0;
  for (const auto& [name, task] : tasks_) {
    if (task.exited) continue;
    if (const auto job = fleet_.jobs.find(task.uid)) used += job->cores;
  }
  return used;
}

// ---- heartbeats

// Written by hand: thousands of workers share a few cores with the controllers that are measured.
std::string HollowWorker::heartbeat_body() {
  std::string out = R"({"host":")" + machine_.name + R"(","address":")" + machine_.address + R"(","hostKind":"big","yard":")" +
                    machine_.zone + R"(","loaners":false,"tenure":)" + std::to_string(agent_incarnation_) +
                    ",\"serial\":" + std::to_string(++serial_) + ",\"epoch\":" + std::to_string(fencing_token_) +
                    R"(,"recallS":null,"pieces":[)";
  const char* separator = "";
  for (const auto& [name, task] : tasks_) {
    const char* status = task.exited ? "exited" : task.on ? "running" : "pulling";
    out += separator;
    out += "{\"piece\":\"" + name + "\",\"try\":" + std::to_string(task.attempt) + ",\"status\":\"" + status + "\"";
    if (task.exited) out += std::string(",\"cause\":\"") + task.exit_reason + "\"";
    out += "}";
    separator = ",";
  }
  return out + "]}";
}

asio::awaitable<void> HollowWorker::wait_until(double steady_s) {
  boost::system::error_code error;
  wake_.expires_at(at(steady_s));
  co_await wake_.async_wait(ignoring(error));
}

asio::awaitable<void> HollowWorker::send_heartbeats() {
  controller_ = random_() % fleet_.options.controllers.size();
  double last = 0;
  for (;;) {
    const double now = steady_now();
    progress(now);
    const double due = changed_ ? std::min(next_heartbeat_at_, last + kMinHeartbeatInterval) : next_heartbeat_at_;
    if (silent() || now < due) {
      const double until = silent() ? std::min(silent_until_, lease_until_) : std::min(due, next_event());
      co_await wait_until(std::max(until, now + 0.001));
      continue;
    }
    changed_ = false;
    last = now;
    next_heartbeat_at_ = now + times().heartbeat * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    co_await send_heartbeat(now);
  }
}

asio::awaitable<void> HollowWorker::send_heartbeat(double sent_at) {
  const auto sent_incarnation = agent_incarnation_;
  Request request(http::verb::post, "/v1/report", kHttp11);
  request.set(http::field::host, "worker");
  request.body() = heartbeat_body();
  request.prepare_payload();
  fleet_.counters.heartbeat_bytes += request.body().size();
  ++fleet_.counters.heartbeats;
  Response response;
  const bool answered = co_await exchange(request, response);
  if (!answered) {
    ++fleet_.counters.failed_heartbeats;
    change_controller();
    co_return;
  }
  ++fleet_.counters.answers;
  fleet_.counters.answer_bytes += response.body().size();
  const auto body = json::parse(response.body(), nullptr, false);
  if (response.result_int() == 200) {
    take_answer(body, sent_incarnation, sent_at);
  } else {
    follow_redirect(response.result_int(), body);
  }
}

void HollowWorker::take_answer(const json& body, std::uint64_t sent_incarnation, double sent_at) {
  const auto answer_token = body.is_object() ? body.value("epoch", std::uint64_t{0}) : 0;
  progress(steady_now());
  // Dropped: an answer with a lower token, one to an earlier incarnation, and one that came too late.
  if (answer_token < fencing_token_ || sent_incarnation != agent_incarnation_ || steady_now() > sent_at + kAnswerTimeoutS || silent())
    return;
  changed_ |= answer_token > fencing_token_;
  fencing_token_ = answer_token;
  lease_until_ = std::max(lease_until_, sent_at + times().lease);
  execute(body.at("orders"));
}

void HollowWorker::change_controller() {
  controller_ = (controller_ + 1) % fleet_.options.controllers.size();
  next_heartbeat_at_ = steady_now() + kAfterFailure;
}

void HollowWorker::follow_redirect(unsigned status, const json& body) {
  ++fleet_.counters.redirects;
  stream_.close();
  change_controller();
  const auto redirect_target = body.is_object() ? body.value("steward", std::string()) : std::string();
  const auto redirected = find_controller(redirect_target, fleet_.options.controllers.size());
  if (status != 421 || redirected == fleet_.options.controllers.size()) return;
  controller_ = redirected;
  next_heartbeat_at_ = steady_now();
}

asio::awaitable<bool> HollowWorker::exchange(const Request& request, Response& response) {
  boost::system::error_code error;
  stream_.expires_after(std::chrono::seconds(kAnswerTimeoutS));
  if (!stream_.socket().is_open()) {
    ++fleet_.counters.connects;
    co_await stream_.async_connect(endpoint_of(fleet_.options.controllers[controller_]), ignoring(error));
    if (!error) static_cast<void>(stream_.socket().set_option(tcp::no_delay(true), error));
  }
  if (!error) co_await http::async_write(stream_, request, ignoring(error));
  beast::flat_buffer buffer;
  if (!error) co_await http::async_read(stream_, buffer, response, ignoring(error));
  if (error || !response.keep_alive()) stream_.close();
  co_return !error;
}

// ---- direct commands

asio::awaitable<void> HollowWorker::accept_commands() {
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(ignoring(error));
    if (error) co_return;
    asio::co_spawn(acceptor_.get_executor(), serve(beast::tcp_stream(std::move(socket))), asio::detached);
  }
}

asio::awaitable<void> HollowWorker::serve(beast::tcp_stream caller) {
  boost::system::error_code error;
  static_cast<void>(caller.socket().set_option(tcp::no_delay(true), error));
  beast::flat_buffer buffer;
  for (;;) {
    Request request;
    co_await http::async_read(caller, buffer, request, ignoring(error));
    if (error) co_return;
    if (silent()) continue;  // nobody answers
    ++fleet_.counters.commands;
    fleet_.counters.command_bytes += request.body().size();
    progress(steady_now());
    Response response(take_commands(request), kHttp11);
    response.body() = heartbeat_body();
    response.prepare_payload();
    co_await http::async_write(caller, response, ignoring(error));
    if (error) co_return;
    wake_.cancel();  // what began or ended here is told soon
  }
}

http::status HollowWorker::take_commands(const Request& request) {
  if (request.target() != "/commands") return http::status::ok;
  const auto body = json::parse(request.body(), nullptr, false);
  if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return http::status::bad_request;
  const auto command_token = body.at("epoch").get<std::uint64_t>();
  if (command_token < fencing_token_ || body.at("tenure") != agent_incarnation_) return http::status::conflict;
  changed_ |= command_token > fencing_token_;
  fencing_token_ = command_token;
  execute(body.at("orders"));
  return http::status::ok;
}

}  // namespace thistlefront::testbed
