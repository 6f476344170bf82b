// State shared by the components of a controller: its role, its term, the known leader, and the mutex that guards them.
//
// Locking: there is one mutex. All members here, and all members of components marked "guarded by SharedState::mutex", are accessed
// only while it is held. Methods of SharedState and of these components are called with it held; a `Lock` argument is that lock. The
// mutex is never held across I/O. HeartbeatRelay has a mutex of its own, which is never held while this one is acquired.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/controller_config.hpp"
#include "controller/peer_link.hpp"
#include "controller/term.hpp"
#include "leadership/partition_lease.hpp"
#include "scheduling/capacity_release_rate.hpp"
#include "scheduling/start_stall_detector.hpp"

namespace thistlefront {

using Lock = std::unique_lock<std::mutex>;

// Seconds within which a reply that may become outdated must be sent to its user, including forwarding by other controllers.
inline constexpr double kReplyLifetimeS = 0.5;

enum class Role { follower, recovering, leading };

// The leader as far as this controller knows. Times are steady seconds.
struct KnownLeader {
  std::string label;  // empty: not known
  std::uint64_t fencing_token = 0;
  std::uint64_t takeover_token = UINT64_MAX;  // UINT64_MAX: not known
  std::uint64_t change_count = 0;             // leader changes that this controller learned of, including a new term of the same leader
  double known_since = 0;
  double last_heartbeat_at = 0;
};

// What a follower remembers of an agent that it redirected to the leader. Times are steady seconds.
struct AgentRedirect {
  double redirected_at = -1e9;
  double forward_until = 0;
};

struct SharedState {
  explicit SharedState(const ControllerConfig& configuration);

  const ControllerConfig& config;
  mutable std::mutex mutex;

  Role role = Role::follower;
  std::uint64_t term_number = 0;  // incremented at each start and end of a term, so that work from an earlier term is discarded
  std::unique_ptr<Term> term;     // null if and only if the role is follower
  double follower_since = 0;      // steady seconds
  std::condition_variable_any role_changed;

  KnownLeader known_leader;
  std::vector<PeerLink> peers;                               // in the order of the settings; never resized
  PartitionLease partition_lease;                            // allows this controller to renew agents' leases in a partition
  std::unordered_map<std::string, AgentRedirect> redirects;  // to the known leader, by node name

  // Steady seconds at which the last reply of this controller that may become outdated expires.
  double replies_valid_until = 0;
  // Steady seconds at which this controller, as the leader, first failed to read the ledger since a leader last read it; 0: it has not
  // failed.
  double ledger_unreadable_since = 0;
  StartStallDetector start_stall_detector;
  CapacityReleaseRate capacity_release_rate;  // cores released by completed tasks

  // Whether this controller is certain to be the leader now. Only then may it make decisions and report the cluster state to users.
  [[nodiscard]] bool may_decide() const;
  // Whether `number` is still the current term.
  [[nodiscard]] bool is_term(std::uint64_t number) const { return term_number == number; }

  // Records that this or another controller leads under this token. An older token than the known one changes nothing.
  void observe_leader(std::uint64_t fencing_token, const std::string& label);
  // Called when a new term of this or another controller becomes known. `label_known`: pending calls to the earlier leader are
  // interrupted, so that they are sent to the new one.
  void handle_leader_change(bool label_known);
  // Connections to the known leader; null if it is not known or not a peer.
  FrameConnectionPool* leader_pool();

  // Ends the term, if there is one.
  void step_down(const Lock& lock, const char* reason);
  // Adds a listener that step_down calls with the mutex held, so that components discard what they keep for the term. Called
  // only by constructors, before any thread is started.
  void add_step_down_listener(std::function<void()> listener) { step_down_listeners_.push_back(std::move(listener)); }

  // Requests a pass of the scheduling loop.
  void request_pass();
  // Waits until a pass is requested or the time-out expires. Clears the request.
  void wait_for_pass_request(Lock& lock, std::stop_token stop, double timeout_s);

 private:
  std::vector<std::function<void()>> step_down_listeners_;
  bool pass_requested_ = false;
  std::condition_variable_any pass_request_added_;
};

}  // namespace thistlefront
