// One stand-in machine of the rig and of tests with real controllers. Time is real.
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

// One machine: holds tasks as commanded, reports them, and forgets them with its lease.
class Worker {
 public:
  Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, Times times, unsigned seed);
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::string& address() const { return address_; }
  void hang(double until) { hangs_until_ = until; }  // steady seconds
  // Its reports arrive; no answer and no command reaches it.
  void deafen(double until) { deaf_until_ = until; }
  // Direct commands do not reach it; answers to its reports do.
  void cut_commands(bool is) { commands_cut_ = is; }
  // Now and then a report comes once more, up to a few leases late, at any controller.
  void copy_heartbeats(bool on) { copies_ = on; }
  // Grows by one with each lease that lapsed.
  [[nodiscard]] std::uint64_t agent_incarnation() {
    std::lock_guard lock(mutex_);
    return agent_incarnation_;
  }
  // Tasks on it that have not ended.
  [[nodiscard]] std::size_t holds() {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& p) { return !p.second.exited; }));
  }
  // It goes, with all that is on it.
  void die();

 private:
  struct HeldTask {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double at = 0, run_s = 0;  // steady seconds of the command
    bool service = false, on = false, exited = false;
    std::string exit_reason;
  };
  HttpReply on_call(const HttpCall& call);
  void execute(const nlohmann::json& commands);
  std::string heartbeat();
  void progress(double now);
  void clear(double now);
  void live(std::stop_token stop);

  std::string name_, zone_, address_ = test_support::free_address();
  const std::vector<std::string>& controllers_;  // users' addresses
  Checker& checker_;
  Times times_;
  std::mt19937 random_;
  std::mutex mutex_;
  std::map<std::string, HeldTask> tasks_;
  std::uint64_t agent_incarnation_ = 1, serial_ = 0, fencing_token_ = 0;
  double lease_until_ = 0;
  std::atomic<double> hangs_until_{0}, deaf_until_{0};
  std::atomic<bool> copies_{false}, commands_cut_{false};
  struct Copy {
    double at;
    std::string body;
  };
  std::list<Copy> copies_due_;
  bool changed_ = false, dead_ = false;
  std::unique_ptr<HttpServer> server_;
  std::jthread thread_, expiry_, copier_;
};

}  // namespace thistlefront::testbed
