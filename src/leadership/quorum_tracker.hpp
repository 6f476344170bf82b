// What the answers of the other controllers prove to a leader: whether a majority still follows it while it cannot renew its
// session lease, and from when on no other controller renews agents' leases under an earlier leader's token. Called by the
// leadership code of the controller, which keeps one tracker for each term. Pure; times are the leader's own steady seconds.
//
// Invariant: once `sole_leader_since` is set, `has_quorum` is false on every earlier leader, or that leader has stepped down. A
// majority of an earlier leader must contain a controller that answered it within the grace period; each controller that knows of
// the later leader would have told it instead. tests/quorum_tracker_test.cpp explores this exhaustively.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thistlefront {

class QuorumTracker {
 public:
  QuorumTracker() = default;
  // For a term that began at `taken_over_at`. `grace_s`: for how long the answer of a peer counts towards the quorum.
  QuorumTracker(std::size_t peers, double taken_over_at, double grace_s);

  // A peer answered what was asked at `asked_at`. `process`: which run of the peer's program answered; `fencing_token`: the highest
  // that it knows; `certain`: this leader's session lease was certainly alive when the answer came.
  //
  // A peer that restarts forgets a later leader that it had acknowledged. So while the session lease may have expired, only peers
  // count that had answered before as the same process: these would still know of a later leader, and tell.
  void record_ack(std::size_t peer, std::uint64_t process, double asked_at, std::uint64_t fencing_token, bool certain);
  // Since when this term, taken over under `fencing_token`, is known to all peers, or to so many and for so long that an earlier
  // leader has stopped answering agents; below 0 while neither is so.
  double sole_leader_since(std::uint64_t fencing_token, double now);
  // Whether so many controllers know of this takeover that the others are no majority. An earlier leader can then rely only on
  // answers given before, which count for its grace period. Stays true for the whole term.
  [[nodiscard]] bool is_takeover_known(std::uint64_t fencing_token) const;
  // Whether a majority of the controllers, this one included, answered within the grace period.
  [[nodiscard]] bool has_quorum(double now) const;
  // Whether no peer has answered for `duration_s`.
  [[nodiscard]] bool is_isolated(double now, double duration_s) const;

 private:
  struct Peer {
    std::uint64_t process = 0;        // that answered while the session lease was certainly alive
    std::uint64_t fencing_token = 0;  // highest known to any process of the peer
    double answered_at = -1e9;        // when the latest answer that counts was asked for
  };

  // Peers that know of this takeover or a later one.
  [[nodiscard]] std::size_t count_aware(std::uint64_t fencing_token) const;
  // Peers whose latest answer is younger than this.
  [[nodiscard]] std::size_t count_answered_within(double now, double duration_s) const;

  std::vector<Peer> peers_;
  double grace_s_ = 0, takeover_known_since_ = -1, sole_leader_since_ = -1;
};

}  // namespace thistlefront
