// A stand-in cluster on loopback around real controller processes: state service, cloud, workers, users. Time
// is real.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "rig/checker.hpp"
#include "rig/relay.hpp"
#include "rig/state_service.hpp"
#include "transport/http.hpp"

namespace thistle::rig {

// The protocol's times, shortened so that a run shows many leases; seconds.
struct Times {
  double report = 1.0, lease = 6.0, cancel = 20.0, pull = 0.2;
};

// One machine: holds tasks as commanded, reports them, and forgets them with its lease.
class Worker {
 public:
  Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker,
         Times times, unsigned seed);
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] const std::string& zone() const { return zone_; }
  [[nodiscard]] const std::string& address() const { return address_; }
  void hang(double until) { hangs_until_ = until; }  // steady seconds
  // Its reports arrive; no answer and no command reaches it.
  void deafen(double until) { deaf_until_ = until; }
  // Now and then a report comes once more, up to a few leases late, at any controller.
  void copy_reports(bool on) { copies_ = on; }
  // It goes, with all that is on it.
  void die();

 private:
  struct Piece {
    std::string uid;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double at = 0, run_s = 0;  // steady seconds of the command
    bool service = false, on = false, exited = false;
    std::string cause;
  };
  HttpReply on_call(const HttpCall& call);
  void execute(const nlohmann::json& orders);
  std::string report();
  void progress(double now);
  void clear(double now);
  void live(std::stop_token stop);

  std::string name_, zone_, address_ = testing_::free_address();
  const std::vector<std::string>& controllers_;  // users' addresses
  Checker& checker_;
  Times times_;
  std::mt19937 random_;
  std::mutex mutex_;
  std::map<std::string, Piece> pieces_;
  std::uint64_t tenure_ = 1, serial_ = 0, epoch_ = 0;
  double lease_until_ = 0;
  std::atomic<double> hangs_until_{0}, deaf_until_{0};
  std::atomic<bool> copies_{false};
  struct Copy {
    double at;
    std::string body;
  };
  std::list<Copy> copies_due_;
  bool changed_ = false, dead_ = false;
  std::unique_ptr<HttpServer> server_;
  std::jthread thread_, copier_;
};

// Cores that each team may use at first.
inline const std::map<std::string, double> kLimits{{"red", 60}, {"blue", 25}};

class Cluster {
 public:
  struct Options {
    std::size_t controllers = 3, workers = 40, users = 6;
    unsigned seed = 1;
    std::string logs;  // a directory for what the processes write
  };
  explicit Cluster(const Options& options);
  ~Cluster();

  // The settings file of a controller, from its next start on, with these teams and limits.
  void configure(std::size_t i, const std::map<std::string, double>& limits);
  // Starts a controller with this program, in place of the one that is there; ended without a signal it could
  // heed.
  void start(std::size_t i, const std::string& program, const std::vector<std::string>& flags);
  void end(std::size_t i);
  void freeze(std::size_t i, bool frozen);
  // Parts a controller from its peers, and from the state service if so; its workers and users still reach it.
  void part(std::size_t i, bool parted, bool state_too);
  [[nodiscard]] std::size_t leader();  // or the number of controllers
  // Asks any controller that answers.
  HttpResult ask(const std::string& method, const std::string& path, const std::string& body,
                 unsigned& random);
  void stop_users() { users_.clear(); }

  Checker checker;
  testing_::StateService state;
  std::atomic<bool> pipelines{false};  // users submit jobs that wait for others
  std::list<std::unique_ptr<Worker>> workers;

 private:
  HttpReply cloud(const HttpCall& call);
  void use(std::stop_token stop, unsigned seed);
  void poll(const std::string& uid, const HttpResult& answer);

  Options options_;
  Times times_;
  std::vector<std::string> addresses_, peers_, configs_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Relay>> relays_;  // from, to
  std::vector<pid_t> processes_;
  std::string directory_, cloud_address_;
  std::unique_ptr<HttpServer> cloud_;
  std::jthread ticker_;
  std::vector<std::jthread> users_;
};

}  // namespace thistle::rig
