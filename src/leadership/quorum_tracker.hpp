// What the other controllers' answers tell a leader: whether a majority stands behind it while it can't renew its hold, and
// from when on no other controller answers workers under an earlier lead. Pure; times are the leader's own steady seconds.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace thistlefront {

class QuorumTracker {
 public:
  QuorumTracker() = default;
  // Of a term that began at `taken_over_at`; `grace`: for so long an answer counts.
  QuorumTracker(std::size_t peers, double taken_over_at, double grace_s);

  // A peer, as this process of it, answered what was asked at `asked`; `epoch` is the highest that it knows. `certain`: the
  // hold was alive for sure when the answer came.
  // A process that begins anew under the name of its controller knows nothing of the later lead that the one before it had
  // acknowledged. So once the hold may be over only those count that answered, as the same process, while it was alive:
  // these would tell.
  void record_ack(std::size_t peer, std::uint64_t process, double asked, std::uint64_t fencing_token, bool certain);
  // Whether this term, which took over under `epoch`, is known to all others, or to a majority for so long that an earlier
  // leader has fallen silent; then since when, else below 0.
  double sole_leader_since(std::uint64_t fencing_token, double now);
  // So many controllers know of it that no earlier leader can find a majority any more among those that do not: what an
  // earlier one still relies on was answered before, and counts for its grace. Once so, for the whole term.
  [[nodiscard]] bool is_takeover_known(std::uint64_t fencing_token) const;
  // A majority of the controllers, itself among them, answered within the grace.
  [[nodiscard]] bool has_quorum(double now) const;
  // No peer has answered for this long.
  [[nodiscard]] bool is_isolated(double now, double for_s) const;

 private:
  [[nodiscard]] std::size_t count_aware(std::uint64_t fencing_token) const;
  struct Peer {
    std::uint64_t process = 0;        // that answered while the hold was alive
    std::uint64_t fencing_token = 0;  // known to some process of it
    double answered_at = -1e9;
  };
  std::vector<Peer> peers_;
  double grace_s_ = 0, quorum_since_ = -1, sole_leader_since_ = -1;
};

}  // namespace thistlefront
