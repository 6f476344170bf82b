// A simulated worker node with its agent, for the fault test and for tests with real controllers. It follows the agent's side of the
// protocol (heartbeats, lease, fencing token, commands) in real time, reports to the checker what runs on it, and can be made to hang or to
// lose messages.
#pragma once
#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/delayed_messages.hpp"
#include "testbed/free_address.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

// Durations of the protocol, shortened so that many leases fit into a run.
struct ProtocolTimes {
  double heartbeat_interval_s = 1.0, lease_s = 6.0, cancel_s = 20.0, image_pull_s = 0.2;
};

inline constexpr double kNodeCores = 8;

class Worker {
 public:
  // `controllers`: their client addresses. `controllers` and `checker` must outlive the worker.
  Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, ProtocolTimes times,
         unsigned seed);
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::string& address() const { return address_; }
  // Freezes the agent until the given time (steady seconds): it neither sends nor replies, and its tasks run until its lease expires.
  void hang_until(double until) { hangs_until_ = until; }
  // One-way partition until the given time (steady seconds): heartbeats arrive, but neither replies nor commands reach the agent.
  void lose_replies_until(double until) { loses_replies_until_ = until; }
  // While set, direct commands do not reach the agent; replies to its heartbeats do.
  void drop_commands(bool drops) { drops_commands_ = drops; }
  // While set, one in eight heartbeats arrives a second time, up to three lease durations late, at a random controller.
  void duplicate_heartbeats(bool duplicates) { duplicates_heartbeats_ = duplicates; }
  // While set, half of the calls to `/commands` that were executed and answered arrive once or twice more, up to a minute late.
  // Copies that have not arrived yet are dropped when it is reset.
  void duplicate_commands(bool duplicates);
  // Delivers once more, in their order, the latest 1,000 calls to `/commands` that were executed.
  void repeat_executed_commands();
  // The node comes back with a new incarnation, without its tasks.
  void restart();
  // The cloud takes the node away in this time, as the next heartbeats say.
  void announce_interruption(double in_s) { interruption_at_ = steady_now() + in_s; }
  // While set, tasks fail as soon as they have their image.
  void fail_tasks(bool fails) { fails_tasks_ = fails; }
  // Incremented each time the lease expires.
  [[nodiscard]] std::uint64_t agent_incarnation() {
    std::lock_guard lock(mutex_);
    return agent_incarnation_;
  }
  // Number of attempts that the agent reports, exited ones that are not acknowledged included.
  [[nodiscard]] std::size_t reported_attempts() {
    std::lock_guard lock(mutex_);
    return tasks_.size();
  }
  // Number of tasks on the node that have not exited.
  [[nodiscard]] std::size_t unfinished_tasks() {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& task) { return !task.second.exited; }));
  }
  // The node and everything that runs on it are gone from now on.
  void terminate();

 private:
  struct Task {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double commanded_at = 0;  // steady seconds
    double run_s = 0;
    bool service = false;
    bool running = false;  // its image is pulled
    bool exited = false;
    std::string exit_reason;
  };
  using TaskKey = std::pair<std::string, std::uint64_t>;  // name and attempt
  // A heartbeat to be sent, and the incarnation that sends it.
  struct Heartbeat {
    std::string body;
    std::uint64_t agent_incarnation = 0;
  };

  // The threads' functions; each runs until stop is requested.
  void send_heartbeats(const std::stop_token& stop);
  void watch_lease(const std::stop_token& stop);
  void send_delayed_heartbeats(const std::stop_token& stop);
  void deliver_delayed_commands(const std::stop_token& stop);

  HttpReply handle_call(const HttpCall& call);
  // Returns the next heartbeat if one is due now; otherwise one with an empty body.
  Heartbeat next_heartbeat(double now);
  void schedule_duplicate(const std::string& body, double now);
  // Applies the reply to the heartbeat that was sent at `sent_at`.
  void apply_reply(const HttpResult& reply, std::uint64_t agent_incarnation, double sent_at);
  // Chooses the controller for the next heartbeat after a controller did not accept the last one.
  void change_controller(const HttpResult& reply, double now);

  // The functions below are called with mutex_ held.
  HttpReply handle_commands(const HttpCall& call);
  // Executes a call to `/commands` if its fencing token and incarnation are accepted; returns whether they were.
  bool execute_call(const nlohmann::json& body);
  void schedule_command_duplicates(const std::string& body);
  void execute(const nlohmann::json& commands);
  void run_task(const TaskKey& key, double now);
  // Why the agent refuses to start the task, in the protocol's words; empty: it starts it.
  [[nodiscard]] std::string refusal_of(const TaskKey& key, const std::optional<SubmittedJob>& spec) const;
  void kill_task(Task& task, double now);
  [[nodiscard]] double used_cores() const;
  std::string heartbeat_body();
  // Starts and completes the tasks that are due. If the lease has expired, removes all tasks and begins a new incarnation.
  void advance_to(double now);
  void remove_all_tasks(double now);
  void begin_incarnation(double now);

  std::string name_, zone_, address_ = test_support::free_address();
  const std::vector<std::string>& controllers_;
  Checker& checker_;
  ProtocolTimes times_;
  std::mt19937 random_;
  std::mutex mutex_;
  std::map<TaskKey, Task> tasks_;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, fencing_token_ = 0;
  double lease_expires_at_ = 0;  // steady seconds
  // Steady seconds; `interruption_at_`: 0 without a notice.
  std::atomic<double> hangs_until_{0}, loses_replies_until_{0}, interruption_at_{0};
  std::atomic<bool> duplicates_heartbeats_{false}, duplicates_commands_{false}, drops_commands_{false}, fails_tasks_{false};
  DelayedMessages heartbeat_duplicates_, command_duplicates_;
  std::deque<std::string> executed_calls_;  // the bodies of the latest calls
  bool changed_ = false;                    // since the last heartbeat
  bool terminated_ = false;
  // Used by the heartbeat thread only.
  std::size_t controller_ = 0;
  double next_heartbeat_at_ = 0, last_heartbeat_at_ = 0;  // steady seconds
  std::unique_ptr<HttpServer> server_;
  std::jthread heartbeat_thread_, lease_thread_, heartbeat_duplicates_thread_, command_duplicates_thread_;
};

}  // namespace thistlefront::testbed
