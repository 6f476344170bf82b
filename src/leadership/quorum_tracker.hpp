// Tracks what the acknowledgements of the peers prove to a leader: whether a majority still follows it while it cannot renew its session
// lease, and since when no other controller renews agents' leases under an earlier leader's token. Called by the controller's leadership
// code, which keeps one tracker for each term. Pure; times are the leader's own steady seconds.
//
// Invariant: once `sole_leader_since` is set, every earlier leader has stepped down or its `has_quorum` is false. The quorum of an
// earlier leader would contain a controller that knows of the later leader and sent an acknowledgement within the grace period, and such an
// acknowledgement would have made the earlier leader step down. tests/quorum_tracker_test.cpp explores this exhaustively.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thistlefront {

class QuorumTracker {
 public:
  QuorumTracker() = default;
  // For a term that began at `taken_over_at`. `grace_s`: for how long the acknowledgement of a peer counts towards the quorum.
  QuorumTracker(std::size_t peers, double taken_over_at, double grace_s);

  // A peer acknowledged a heartbeat sent at `sent_at`. `process`: identifies the process of the peer that acknowledged it; `fencing_token`:
  // the highest one that it knows; `leadership_certain`: this leader's session lease was certainly valid when the acknowledgement arrived.
  //
  // A peer that restarts forgets a later leader that it has acknowledged. So while the session lease may have expired, an acknowledgement
  // counts only if the same process sent one while the lease was valid: it would still know of a later leader, and report it.
  void record_ack(std::size_t peer, std::uint64_t process, double sent_at, std::uint64_t fencing_token, bool leadership_certain);
  // Returns since when no earlier leader replies to agents, or a negative value if one may still do so. `fencing_token`: of this term's
  // takeover. The time is set once all peers know of the takeover, or enough of them for long enough that an earlier leader has lost
  // its quorum. Each call records in the tracker what has become known by `now`.
  double sole_leader_since(std::uint64_t fencing_token, double now);
  // Whether so many controllers know of this takeover that the others are no majority. An earlier leader then has a quorum only
  // through acknowledgements received before, which count for its grace period. Stays true for the whole term.
  [[nodiscard]] bool is_takeover_known(std::uint64_t fencing_token) const;
  // Whether a majority of the controllers, this one included, sent an acknowledgement within the grace period.
  [[nodiscard]] bool has_quorum(double now) const;
  // Whether no peer has sent an acknowledgement for `duration_s`.
  [[nodiscard]] bool is_isolated(double now, double duration_s) const;

 private:
  struct Peer {
    std::uint64_t process = 0;        // the one that sent an acknowledgement while the session lease was certainly valid
    std::uint64_t fencing_token = 0;  // highest one known to any process of the peer
    double acked_sent_at = -1e9;      // when the latest heartbeat was sent whose acknowledgement counts
  };

  // Counts the peers that know of this takeover or a later one.
  [[nodiscard]] std::size_t count_peers_aware_of(std::uint64_t fencing_token) const;
  // Counts the peers whose latest acknowledgement is younger than `duration_s`.
  [[nodiscard]] std::size_t count_peers_acked_within(double now, double duration_s) const;

  std::vector<Peer> peers_;
  double grace_s_ = 0, takeover_known_since_ = -1, sole_leader_since_ = -1;
};

}  // namespace thistlefront
