// One stand-in worker node with its agent, for the fault test and for tests with real controllers: keeps the worker's side of the protocol
// (heartbeats, lease, fencing token, commands), tells the checker what runs on it, and can be made to hang or lose messages. Time is real.
#pragma once
#include <algorithm>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testbed/checker.hpp"
#include "testbed/free_address.hpp"
#include "transport/http.hpp"

namespace thistlefront::testbed {

// The protocol's times, shortened so that a run shows many leases; seconds.
struct Times {
  double heartbeat = 1.0, lease = 6.0, cancel = 20.0, pull = 0.2;
};

inline constexpr double kMachineCores = 8;

class Worker {
 public:
  // `controllers`: their addresses for users; it and `checker` must outlive the worker.
  Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, Times times, unsigned seed);
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::string& address() const { return address_; }
  // Freezes it until then (steady seconds): it sends and answers nothing, and its tasks go on until its lease expires.
  void hang(double until) { hangs_until_ = until; }
  // Until then (steady seconds) its heartbeats arrive, and no answer and no command reaches it.
  void deafen(double until) { deaf_until_ = until; }
  // Direct commands do not reach it; answers to its heartbeats do.
  void cut_commands(bool is) { commands_cut_ = is; }
  // Now and then a heartbeat arrives a second time, up to three leases late, at any controller.
  void copy_heartbeats(bool on) { copies_ = on; }
  // Grows by one with each lease that expired.
  [[nodiscard]] std::uint64_t agent_incarnation() {
    std::lock_guard lock(mutex_);
    return agent_incarnation_;
  }
  // Tasks on it that have not exited.
  [[nodiscard]] std::size_t holds() {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& task) { return !task.second.exited; }));
  }
  // The node is gone, with all that runs on it.
  void die();

 private:
  struct HeldTask {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double commanded_at = 0;  // steady seconds
    double run_s = 0;
    bool service = false;
    bool on = false;  // has its image, and runs
    bool exited = false;
    std::string exit_reason;
  };
  struct DelayedHeartbeat {
    double due;  // steady seconds
    std::string body;
  };
  // A heartbeat that is to be sent, and the incarnation it speaks for.
  struct Heartbeat {
    std::string body;
    std::uint64_t agent_incarnation = 0;
  };

  // The threads' duties, until they are asked to stop.
  void send_heartbeats(const std::stop_token& stop);
  void watch_lease(const std::stop_token& stop);
  void send_delayed_heartbeats(const std::stop_token& stop);

  HttpReply on_call(const HttpCall& call);
  // The next heartbeat if one is due now; an empty one if not.
  Heartbeat next_heartbeat(double now);
  void delay_a_copy(const std::string& body, double now);
  // Takes an answer to the heartbeat that was sent at `sent_at`.
  void take_answer(const HttpResult& answer, std::uint64_t agent_incarnation, double sent_at);
  // Chooses the controller to which the next heartbeat goes, after one that did not take the last one.
  void change_controller(const HttpResult& answer, double now);

  // All below are called with mutex_ held.
  HttpReply take_commands(const HttpCall& call);
  void execute(const nlohmann::json& commands);
  void run_task(const std::string& name, std::uint64_t attempt, double now);
  void kill_task(HeldTask& task, double now);
  [[nodiscard]] double used_cores() const;
  std::string heartbeat_body();
  // What time brings: tasks start and end, and the lease expires.
  void progress(double now);
  void clear(double now);

  std::string name_, zone_, address_ = test_support::free_address();
  const std::vector<std::string>& controllers_;
  Checker& checker_;
  Times times_;
  std::mt19937 random_;
  std::mutex mutex_;
  std::map<std::string, HeldTask> tasks_;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, fencing_token_ = 0;
  double lease_until_ = 0;
  std::atomic<double> hangs_until_{0}, deaf_until_{0};
  std::atomic<bool> copies_{false}, commands_cut_{false};
  std::list<DelayedHeartbeat> delayed_;
  bool changed_ = false;  // since the last heartbeat
  bool dead_ = false;
  // Of the heartbeat thread alone.
  std::size_t controller_ = 0;
  double next_heartbeat_at_ = 0, last_heartbeat_at_ = 0;  // steady seconds
  std::unique_ptr<HttpServer> server_;
  std::jthread heartbeat_thread_, lease_thread_, copy_thread_;
};

}  // namespace thistlefront::testbed
