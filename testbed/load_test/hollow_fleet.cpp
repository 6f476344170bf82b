#include "testbed/load_test/hollow_fleet.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "testbed/checker.hpp"
#include "testbed/free_address.hpp"
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
constexpr double kAnswerTimeout = 4;           // seconds
constexpr double kAfterFailure = 1;            // seconds
constexpr double kRunSpread = 0.5;             // a task runs its job's time, give or take this share

auto ignoring(boost::system::error_code& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

std::chrono::steady_clock::time_point at(double steady_s) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(steady_s)));
}

tcp::endpoint endpoint_of(const std::string& address) {
  const auto parts = split_address(address);
  return {asio::ip::make_address_v4(parts->first), parts->second};
}
}  // namespace

void HollowJobs::add(const std::string& uid, const HollowJob& job) {
  std::lock_guard lock(mutex_);
  jobs_[uid] = job;
}

bool HollowJobs::find(const std::string& uid, HollowJob& job) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return false;
  job = it->second;
  return true;
}

// One thread with its share of the workers: nothing of a worker is touched by two threads.
struct HollowFleet::Shard {
  asio::io_context context{1};
  std::vector<std::unique_ptr<Worker>> workers;
  std::jthread thread;
};

struct HollowFleet::Worker {
  struct HeldTask {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double on_at = 0, off_at = 0, submitted_at = 0;  // steady seconds
    bool on = false, exited = false;
    const char* exit_reason = "";
  };

  Worker(HollowFleet& fleet, asio::io_context& context, const Description& description, unsigned seed)
      : fleet(fleet),
        machine(description),
        acceptor(context, endpoint_of(description.address)),
        wake(context),
        stream(context),
        random(seed) {
    // Workers of a running fleet do not report in step.
    next_heartbeat = steady_now() + std::uniform_real_distribution<double>(0, times().heartbeat)(random);
    lease_until = steady_now() + times().lease;
  }

  [[nodiscard]] const FleetTimes& times() const { return fleet.options_.times; }
  [[nodiscard]] bool silent() const { return steady_now() < silent_until; }

  // ---- what runs here

  double next_event() const {
    double next = lease_until;
    for (const auto& [name, p] : tasks)
      if (!p.exited) next = std::min(next, p.on ? p.off_at : p.on_at);
    return next;
  }
  void progress(double now) {
    if (now > lease_until) end_session(now);
    for (auto& [name, p] : tasks) {
      if (p.exited) continue;
      if (!p.on && now >= p.on_at) begin(p, now);
      if (p.on && now >= p.off_at) finish(p, "done", now);
    }
  }
  void begin(HeldTask& p, double now) {
    p.on = changed = true;
    ++fleet.counters_.starts;
    ++fleet.counters_.running;
    fleet.checker_.on(p.uid, p.task, machine.name, machine.zone, now);
    std::lock_guard lock(fleet.waits_mutex_);
    fleet.waits_.push_back(now - p.submitted_at);
  }
  void finish(HeldTask& p, const char* exit_reason, double now) {
    const bool done = exit_reason == std::string_view("done");
    if (p.on) {
      --fleet.counters_.running;
      fleet.checker_.off(p.uid, p.task, machine.name, done, now);
    }
    p.on = false;
    p.exited = changed = true;
    p.exit_reason = exit_reason;
    if (done) ++fleet.counters_.ends;
  }
  void end_session(double now) {
    ++fleet.counters_.leases_over;
    for (auto& [name, p] : tasks)
      if (p.on) finish(p, "halted", now);
    tasks.clear();
    ++agent_incarnation;
    lease_until = now + times().lease;
    changed = true;
  }
  void execute(const json& commands) {
    const double now = steady_now();
    for (const auto& command : commands) {
      const auto name = command.at("piece").get<std::string>();
      const auto attempt = command.at("try").get<std::uint64_t>();
      const auto verb = command.at("verb").get<std::string>();
      const auto it = tasks.find(name);
      if (verb == "run") {
        if (it == tasks.end()) run(name, attempt, now);
      } else if (it != tasks.end() && it->second.attempt == attempt) {
        if (verb == "reap" && it->second.exited)
          tasks.erase(it);
        else if (verb == "kill" && !it->second.exited)
          finish(it->second, "halted", now);
      }
    }
  }
  void run(const std::string& name, std::uint64_t attempt, double now) {
    const auto slash = name.find('/');
    HeldTask p;
    p.uid = name.substr(0, slash);
    p.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
    p.attempt = attempt;
    HollowJob job;
    double used = 0;
    for (const auto& [other_name, other] : tasks) {
      HollowJob of_other;
      if (!other.exited && fleet.jobs_.find(other.uid, of_other)) used += of_other.cores;
    }
    const bool known = fleet.jobs_.find(p.uid, job);
    p.submitted_at = job.submitted_at;
    p.on_at = now + times().pull;
    p.off_at = p.on_at + job.run_s * std::uniform_real_distribution<double>(1 - kRunSpread, 1 + kRunSpread)(random);
    if (!known || used + job.cores > fleet.options_.cores) {
      p.exited = true;
      p.exit_reason = known ? "no_room" : "unknown";
    }
    changed = true;
    tasks.emplace(name, std::move(p));
  }

  // ---- what it says

  std::string heartbeat() {
    std::string out = R"({"host":")" + machine.name + R"(","address":")" + machine.address + R"(","hostKind":"big","yard":")" +
                      machine.zone + R"(","loaners":false,"tenure":)" + std::to_string(agent_incarnation) +
                      ",\"serial\":" + std::to_string(++serial) + ",\"epoch\":" + std::to_string(fencing_token) +
                      R"(,"recallS":null,"pieces":[)";
    const char* separator = "";
    for (const auto& [name, p] : tasks) {
      out += separator;
      out += "{\"piece\":\"" + name + "\",\"try\":" + std::to_string(p.attempt) + ",\"status\":\"" +
             (p.exited ? "exited"
              : p.on   ? "running"
                       : "pulling") +
             "\"";
      if (p.exited) out += std::string(",\"cause\":\"") + p.exit_reason + "\"";
      out += "}";
      separator = ",";
    }
    return out + "]}";
  }

  asio::awaitable<void> report_for_ever() {
    controller = random() % fleet.options_.controllers.size();
    double last = 0;
    for (;;) {
      const double now = steady_now();
      progress(now);
      const double due = changed ? std::min(next_heartbeat, last + kMinHeartbeatInterval) : next_heartbeat;
      if (silent() || now < due) {
        boost::system::error_code ec;
        const double until = silent() ? std::min(silent_until, lease_until) : std::min(due, next_event());
        wake.expires_at(at(std::max(until, now + 0.001)));
        co_await wake.async_wait(ignoring(ec));
        continue;
      }
      changed = false;
      last = now;
      next_heartbeat = now + times().heartbeat * std::uniform_real_distribution<double>(0.75, 1.25)(random);
      co_await send_heartbeat(now);
    }
  }

  asio::awaitable<void> send_heartbeat(double sent_at) {
    const auto of_session = agent_incarnation;
    http::request<http::string_body> request(http::verb::post, "/v1/report", 11);
    request.set(http::field::host, "worker");
    request.body() = heartbeat();
    request.prepare_payload();
    fleet.counters_.heartbeat_bytes += request.body().size();
    ++fleet.counters_.heartbeats;
    http::response<http::string_body> response;
    const bool answered = co_await exchange(request, response);
    if (!answered) {
      ++fleet.counters_.failed_heartbeats;
      controller = (controller + 1) % fleet.options_.controllers.size();
      next_heartbeat = steady_now() + kAfterFailure;
      co_return;
    }
    ++fleet.counters_.answers;
    fleet.counters_.answer_bytes += response.body().size();
    const auto body = json::parse(response.body(), nullptr, false);
    if (response.result_int() == 200)
      take_answer(body, of_session, sent_at);
    else
      follow(response.result_int(), body);
  }
  void take_answer(const json& body, std::uint64_t of_session, double sent_at) {
    const auto answer_token = body.is_object() ? body.value("epoch", std::uint64_t{0}) : 0;
    progress(steady_now());
    // One of an earlier session, one with a lower token, and one that came too late are dropped.
    if (answer_token < fencing_token || of_session != agent_incarnation || steady_now() > sent_at + kAnswerTimeout || silent()) return;
    changed |= answer_token > fencing_token;
    fencing_token = answer_token;
    lease_until = std::max(lease_until, sent_at + times().lease);
    execute(body.at("orders"));
  }
  void follow(unsigned status, const json& body) {
    ++fleet.counters_.redirects;
    stream.close();
    controller = (controller + 1) % fleet.options_.controllers.size();
    next_heartbeat = steady_now() + kAfterFailure;
    const auto redirect_target = body.is_object() ? body.value("steward", std::string()) : std::string();
    constexpr std::string_view prefix = "host-";
    if (status != 421 || !redirect_target.starts_with(prefix)) return;
    controller = std::stoul(redirect_target.substr(prefix.size())) % fleet.options_.controllers.size();
    next_heartbeat = steady_now();
  }
  asio::awaitable<bool> exchange(const http::request<http::string_body>& request, http::response<http::string_body>& response) {
    boost::system::error_code ec;
    stream.expires_after(std::chrono::seconds(static_cast<int>(kAnswerTimeout)));
    if (!stream.socket().is_open()) {
      ++fleet.counters_.connects;
      co_await stream.async_connect(endpoint_of(fleet.options_.controllers[controller]), ignoring(ec));
      if (!ec) stream.socket().set_option(tcp::no_delay(true), ec);
    }
    if (!ec) co_await http::async_write(stream, request, ignoring(ec));
    beast::flat_buffer buffer;
    if (!ec) co_await http::async_read(stream, buffer, response, ignoring(ec));
    if (ec || !response.keep_alive()) stream.close();
    co_return !ec;
  }

  // ---- direct commands

  asio::awaitable<void> accept_for_ever() {
    for (;;) {
      boost::system::error_code ec;
      tcp::socket socket = co_await acceptor.async_accept(ignoring(ec));
      if (ec) co_return;
      asio::co_spawn(acceptor.get_executor(), serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
  }
  asio::awaitable<void> serve(beast::tcp_stream caller) {
    boost::system::error_code ec;
    caller.socket().set_option(tcp::no_delay(true), ec);
    beast::flat_buffer buffer;
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(caller, buffer, request, ignoring(ec));
      if (ec) co_return;
      if (silent()) continue;  // nobody answers
      ++fleet.counters_.commands;
      fleet.counters_.command_bytes += request.body().size();
      progress(steady_now());
      http::response<http::string_body> response(take_command(request), 11);
      response.body() = heartbeat();
      response.prepare_payload();
      co_await http::async_write(caller, response, ignoring(ec));
      if (ec) co_return;
      wake.cancel();  // what began or ended here is reported soon
    }
  }
  http::status take_command(const http::request<http::string_body>& request) {
    if (request.target() != "/commands") return http::status::ok;
    const auto body = json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return http::status::bad_request;
    const auto command_token = body.at("epoch").get<std::uint64_t>();
    if (command_token < fencing_token || body.at("tenure") != agent_incarnation) return http::status::conflict;
    changed |= command_token > fencing_token;
    fencing_token = command_token;
    execute(body.at("orders"));
    return http::status::ok;
  }

  HollowFleet& fleet;
  Description machine;
  tcp::acceptor acceptor;
  asio::steady_timer wake;
  beast::tcp_stream stream;
  std::mt19937 random;
  std::map<std::string, HeldTask> tasks;
  std::uint64_t agent_incarnation = 1, serial = 0, fencing_token = 0;
  double lease_until = 0, next_heartbeat = 0, silent_until = 0;  // steady seconds
  std::size_t controller = 0;
  bool changed = false;
};

HollowFleet::HollowFleet(const Options& options, const HollowJobs& jobs, Checker& checker)
    : options_(options), jobs_(jobs), checker_(checker) {
  for (std::size_t i = 0; i < std::max<std::size_t>(options.threads, 1); ++i) shards_.push_back(std::make_unique<Shard>());
  constexpr std::size_t kFirstName = 100000;
  for (std::size_t i = 0; i < options.workers; ++i) {
    machines_.push_back({"m-" + std::to_string(kFirstName + i), test_support::free_address(), options.zones[i % options.zones.size()]});
    Shard& shard = *shards_[i % shards_.size()];
    shard.workers.push_back(std::make_unique<Worker>(*this, shard.context, machines_.back(), options.seed + static_cast<unsigned>(i)));
    Worker& worker = *shard.workers.back();
    asio::co_spawn(shard.context, worker.report_for_ever(), asio::detached);
    asio::co_spawn(shard.context, worker.accept_for_ever(), asio::detached);
  }
  for (auto& shard : shards_) shard->thread = std::jthread([&context = shard->context] { context.run(); });
}

HollowFleet::~HollowFleet() {
  for (auto& shard : shards_) shard->context.stop();
  for (auto& shard : shards_) shard->thread.join();
}

std::vector<double> HollowFleet::take_waits() {
  std::lock_guard lock(waits_mutex_);
  return std::exchange(waits_, {});
}

void HollowFleet::silence(double share, double until) {
  for (auto& shard : shards_)
    asio::post(shard->context, [&workers = shard->workers, share, until] {
      const auto count = static_cast<std::size_t>(share * static_cast<double>(workers.size()));
      for (std::size_t i = 0; i < count; ++i) {
        workers[i]->silent_until = until;
        workers[i]->wake.cancel();
      }
    });
}

void HollowFleet::reconnect_all() {
  for (auto& shard : shards_)
    asio::post(shard->context, [&workers = shard->workers] {
      for (auto& worker : workers) {
        worker->stream.close();
        worker->next_heartbeat = 0;
        worker->wake.cancel();
      }
    });
}

}  // namespace thistlefront::testbed
