// What several duties of a controller need: its role, its term, who leads, and the lock over all of it.
//
// Locking: there is one mutex. Everything here, and every member of a duty that is marked "guarded by SharedState::mutex", is
// read and written only while it is held; methods that take no `Lock` argument are called with it held. Nobody holds it across
// I/O. HeartbeatRelay has a mutex of its own, which is never held while this one is taken.
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

// Seconds for which an answer that may become outdated can be on its way to its user, other controllers included.
inline constexpr double kAnswerLifeS = 0.5;

enum class Role { follower, recovering, leading };

// The leader as far as this controller knows. Times are steady seconds.
struct KnownLeader {
  std::string label;  // empty: not known
  std::uint64_t fencing_token = 0;
  std::uint64_t takeover_token = UINT64_MAX;
  std::uint64_t number = 0;  // counts the leads that it learned of; two leads of one controller are two
  double since = 0;
  double last_heartbeat_at = 0;
};

// What a follower remembers of a worker that it sent to the leader. Times are steady seconds.
struct WorkerRedirect {
  double redirected_at = -1e9;
  double forward_until = 0;
};

struct SharedState {
  explicit SharedState(const ControllerConfig& configuration);

  const ControllerConfig& config;
  mutable std::mutex mutex;

  Role role = Role::follower;
  std::uint64_t term_number = 0;  // grows at each begin and end of a term: work begun in an earlier one is dropped
  std::unique_ptr<Term> term;     // not null while the role is not follower
  double follower_since = 0;      // steady seconds
  std::condition_variable_any role_changed;

  KnownLeader known_leader;
  std::vector<PeerLink> peers;                                // in the order of the settings; never resized
  PartitionLease partition_lease;                             // under which this controller may renew leases in a partition
  std::unordered_map<std::string, WorkerRedirect> redirects;  // by node; of the known leader

  // Steady seconds: until then answers that this controller gave, and that may become outdated, can be on their way.
  double answers_valid_until = 0;
  // Steady seconds: since when no leader is known that could read the ledger; 0: one is.
  double ledger_unreadable_since = 0;
  StartStallDetector start_stalls;
  CapacityReleaseRate release_rate;  // cores that tasks gave back by ending

  // Whether this controller leads for certain at this moment: it may decide, and may tell users what the cluster state says.
  [[nodiscard]] bool may_decide() const;
  // Whether `number` is still the present term.
  [[nodiscard]] bool is_term(std::uint64_t number) const { return term_number == number; }

  // Another controller, or this one, leads under this token. Older news changes nothing.
  void observe_leader(std::uint64_t fencing_token, const std::string& label);
  // Another lead than the one known before began, perhaps of the same controller. `label_known`: calls to the earlier leader
  // are ended, since they are better sent to this one.
  void on_leader_change(bool label_known);
  // Connections to the known leader; null when it is not a peer, or not known.
  FramePool* leader_pool();

  // Ends the term. Harmless where there is none.
  void step_down(const Lock& lock, const char* reason);
  // Called by step_down, with the mutex held, for what duties keep of a term.
  void on_step_down(std::function<void()> listener) { step_down_listeners_.push_back(std::move(listener)); }

  // Asks the scheduling loop for a pass.
  void request_pass();
  // Waits until a pass is requested, at most this long; takes the request.
  void wait_for_pass_request(Lock& lock, std::stop_token stop, double timeout_s);

 private:
  std::vector<std::function<void()>> step_down_listeners_;
  bool pass_requested_ = false;
  std::condition_variable_any pass_wanted_;
};

}  // namespace thistlefront
