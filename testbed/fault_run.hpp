// One seed of the fault test: a cluster with real controllers, its randomly chosen faults, and its report. The scenarios (scenarios.hpp)
// decide when faults are injected.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testbed/fault_test_cluster.hpp"
#include "testbed/run_report.hpp"

namespace thistlefront::testbed {

// Values of ScenarioOptions::relay_mode: whether controllers of the newer build relay heartbeats.
inline constexpr const char* kRelayOn = "on";
inline constexpr const char* kRelayOff = "off";
inline constexpr const char* kRelayDrawn = "drawn";  // random at each start of a controller

struct ScenarioOptions {
  FaultTestCluster::Options cluster;
  std::string older_program, newer_program;
  double faults_s = 40;         // duration of fault injection
  double settle_s = 60;         // maximum time until the format version is active
  unsigned format_version = 4;  // of the newer build
  double restart_after_s = 1;   // maximum time until a killed controller is restarted
  double soak_s = 0;            // soak time before a format version is activated; 0: the build's default
  std::string relay_mode = kRelayOff;
  bool roll_back = false, verbose = false;
  bool command_copies = true;  // false: for a newer build that starts attempts again by copies of answered commands
};

void wait(double seconds);

class FaultRun {
 public:
  explicit FaultRun(const ScenarioOptions& run_options);

  // Starts a controller with the newer or the older build; kills its running process first.
  void start(std::size_t i, bool newer, const std::vector<std::string>& more_flags = {});
  void start_all(bool newer);
  // Injects a random fault. Half of the faults are joined by a second one while they last or shortly afterwards.
  void inject_fault();
  // From now on, copies of executed direct commands arrive at the workers once more. For controllers of the newer build only: an older one
  // may not be able to bear them.
  void duplicate_commands(bool duplicates);
  // Ends all active faults of the network and the store.
  void end_faults();
  // Waits until this format version is active in the store; false on timeout.
  bool wait_for_format_version(std::uint32_t format_version, double within_s);
  // Polls each accepted job a last time, prints the report, and returns whether the seed passed.
  bool report(const std::string& scenario_figures);
  // Prints an event if --verbose is given.
  void log_event(const std::string& event) const;
  // Waits for 0.5 to 2.25 s.
  void wait_between_events();

  [[nodiscard]] double seconds_since_faults_ended() const;
  [[nodiscard]] bool is_fault_time_over() const;
  [[nodiscard]] bool runs_newer_build(std::size_t i) const { return runs_newer_build_[i]; }
  [[nodiscard]] std::size_t controllers() const { return runs_newer_build_.size(); }
  // Index of the leader, or of the last controller while there is no leader.
  std::size_t leader_or_last();
  // A random number below `bound`.
  std::size_t draw(std::size_t bound) { return random() % bound; }

  const ScenarioOptions options;
  FaultTestCluster cluster;
  std::mt19937 random;
  std::size_t events = 0;
  double all_newer_at = 0;  // when all controllers ran the newer build, steady seconds

 private:
  enum class Fault : unsigned {
    leader_killed,
    leader_freezes,
    controller_freezes,
    endpoint_rejects,
    replies_lost,
    transactions_delayed,
    transactions_duplicated,
    store_outage,
    leader_rejected_then_outage,
    controller_partitioned,
    workers_unresponsive,
    worker_hangs,
    all_killed,
    count
  };
  static const char* name_of(Fault fault);
  Fault choose_fault();
  void inject(Fault fault);
  // Injects the second fault of a pair unless it was injected already.
  void inject_second_fault();
  // Waits while a fault lasts, and injects the second one of its pair halfway.
  void wait_during_fault(double seconds);

  void kill_leader(std::size_t leader);
  void freeze_controller(std::size_t i, double seconds);
  void toggle_probability(const std::string& event, std::atomic<double>& probability, double enabled_value);
  void inject_outage();
  void reject_leader_then_all(std::size_t leader);
  void partition_controller(std::size_t leader, std::size_t any);
  void make_workers_unresponsive();
  void hang_worker();
  void kill_all();

  std::size_t count_jobs_without_reply(const std::vector<std::string>& uids);

  std::vector<bool> runs_newer_build_;              // by controller: whether it runs the newer build
  std::map<std::string, std::size_t> fault_pairs_;  // faults injected as pairs: names -> count
  std::optional<Fault> second_fault_;
  double started_at_, faults_ended_at_ = 0;
};

}  // namespace thistlefront::testbed
