// One seed of the fault test: a cluster with real controllers, the faults that are drawn for it, and its report. The scenarios
// (scenarios.hpp) decide when faults are played.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testbed/cluster.hpp"
#include "testbed/run_report.hpp"

namespace thistlefront::testbed {

// Whether controllers of the newer build relay heartbeats.
inline constexpr const char* kRelayOn = "on";
inline constexpr const char* kRelayOff = "off";
inline constexpr const char* kRelayDrawn = "drawn";  // by each start of a controller

struct ScenarioOptions {
  Cluster::Options cluster;
  std::string older_program, newer_program;
  double faults_s = 40;         // how long faults are played
  double settle_s = 60;         // within which the format version must come on
  unsigned format_version = 4;  // that the newer build has
  double restart_after_s = 1;   // at most, until an ended controller is started again
  double soak_s = 0;            // before a format version comes on; 0: the build's own
  std::string relay = kRelayOff;
  bool roll_back = false, verbose = false;
};

void wait(double seconds);

class FaultRun {
 public:
  explicit FaultRun(const ScenarioOptions& run_options);

  // Starts a controller with the newer or the older build, in place of the one that runs.
  void start(std::size_t i, bool newer, const std::vector<std::string>& more_flags = {});
  void start_all(bool newer);
  // Plays a fault that is drawn. Half of them are met by a second one while they last, or right after.
  void play_fault();
  // Ends every fault that lasts.
  void heal();
  // Waits until the store holds this format version; false when it does not in time.
  bool format_version_comes_on(std::uint32_t format_version, double within_s);
  // Asks for each accepted job once more, prints the report, and returns whether the seed passed.
  bool report(const std::string& scenario_figures);
  // Prints an event where --verbose is given.
  void say(const std::string& what) const;
  // Waits for half a second to two and a quarter.
  void wait_between_events();

  [[nodiscard]] double since_healed() const;
  [[nodiscard]] bool over() const;
  [[nodiscard]] bool newer(std::size_t i) const { return newer_[i]; }
  [[nodiscard]] std::size_t controllers() const { return newer_.size(); }
  // A leader or, while nobody leads, the last controller.
  std::size_t leader_or_last();
  // A random number below `bound`.
  std::size_t draw(std::size_t bound) { return random() % bound; }

  const ScenarioOptions options;
  Cluster cluster;
  std::mt19937 random;
  std::size_t events = 0;
  double all_newer_at = 0;  // steady seconds

 private:
  enum class Fault : unsigned {
    leader_ends,
    leader_freezes,
    any_freezes,
    endpoint_refuses,
    answers_lost,
    late_writes,
    repeats,
    outage,
    gap,
    parted,
    deaf,
    hang,
    all_end,
    count
  };
  static const char* name_of(Fault fault);
  Fault draw_fault();
  void play(Fault fault);
  // The second fault of a pair, if it is still to come.
  void play_second_fault();
  // Lets a fault last, with the second one of its pair in the middle.
  void last(double seconds);

  void end_leader(std::size_t leader);
  void freeze(std::size_t i, double seconds);
  void toggle_share(const std::string& said, std::atomic<double>& share, double to);
  void play_outage();
  void refuse_leader_then_all(std::size_t leader);
  void part(std::size_t leader, std::size_t any);
  void deafen_workers();
  void hang_worker();
  void end_all();

  std::size_t count_unanswered(const std::vector<std::string>& uids);

  std::vector<bool> newer_;                   // by controller: runs the newer build
  std::map<std::string, std::size_t> pairs_;  // of faults that met, by their names
  std::optional<Fault> second_;
  double began_, healed_ = 0;
};

}  // namespace thistlefront::testbed
