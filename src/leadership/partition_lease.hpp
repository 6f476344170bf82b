// Keeps the leases of agents alive across a network partition. A follower that is separated from the leader may, for a bounded
// time, renew the leases of the agents in its own zone under the leader's fencing token and without any commands, so that they
// do not expire. Called by the leadership code of the controller. Pure.
//
// Invariant: a partition lease plus one lease of an agent ends within `cancel_s` after the moment from which it was granted. So a
// cancellation that was confirmed to its user after that moment is carried out in time even if no command reaches the node.
// docs/design.md has the proof.
#pragma once
#include <cstdint>

namespace thistlefront {

// The longest partition lease, in seconds. An agent whose lease is renewed at its very end runs for one lease more.
double max_partition_lease_s(double cancel_s, double lease_s);

// The follower's side: what this controller was granted. A leader grants one to itself whenever it is certain to lead, and uses it
// when it no longer is.
// Times are steady seconds of this controller.
class PartitionLease {
 public:
  // `started_at`: when this process started. An earlier process of this controller renewed no lease after that.
  PartitionLease(double span_s, double started_at) : span_s_(span_s), last_renewal_(started_at) {}

  // The leader answered what this follower asked at `asked_at`. The lease runs from then, and is shorter by the age of the oldest
  // cancellation that is not carried out in this zone yet, for that has to be carried out in time as well.
  void grant(std::uint64_t fencing_token, double asked_at, double oldest_cancellation_age_s);
  // A message of the leader with this takeover token arrived. What an earlier leader granted is over, also where that was the same
  // controller.
  void observe_leader(std::uint64_t takeover_token);
  // Another controller leads.
  void revoke();
  // Whether leases may be renewed under it: the leader has been silent for some time, and not yet for too long.
  [[nodiscard]] bool is_active(double now) const;
  // Whether it has not ended, however recently the leader was heard. Only for a controller that has meanwhile taken over itself
  // and has not read the ledger yet.
  [[nodiscard]] bool is_granted(double now) const { return now < ends_at_; }
  void record_renewal(double now) { last_renewal_ = now; }
  // When this controller last renewed an agent's lease under it.
  [[nodiscard]] double last_renewal() const { return last_renewal_; }
  // The token under which it was granted. A higher one, learned in another way, may belong to another leader.
  [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }

 private:
  double span_s_, last_renewal_;
  double asked_at_ = 0, ends_at_ = 0;
  std::uint64_t fencing_token_ = 0, takeover_token_ = 0;
};

// The leader's side, for one peer: until when that peer may have renewed leases on its own. Times are steady seconds of the
// leader.
class PartitionLeaseGrant {
 public:
  PartitionLeaseGrant() = default;
  // An earlier leader granted nothing after it ceased to lead, which was before `taken_over_at`.
  PartitionLeaseGrant(double span_s, double taken_over_at) : span_s_(span_s), taken_over_at_(taken_over_at) {}

  // A peer heartbeat is sent that echoes the peer's latest answer. It grants a lease that runs from that answer, however often it
  // is sent. If it ran from the time of sending, a peer that is cut off for good would seem to hold its lease for ever.
  void record_sent() { granted_at_ = acked_at_; }
  // The peer answered a heartbeat that echoed its answer to the one sent at `echoed_sent_at` (0: that echoed none). It last renewed a
  // lease under a partition lease `last_renewal_age_s` ago.
  void record_ack(double echoed_sent_at, double now, double last_renewal_age_s);
  // Until when it may have renewed leases under this leader's token.
  [[nodiscard]] double renewals_until(double now) const;
  // The same under an earlier leader's token, which no agent accepts that has seen this leader's.
  [[nodiscard]] double earlier_renewals_until(double now) const;

 private:
  double span_s_ = 0, taken_over_at_ = 0;
  double acked_at_ = 0, granted_at_ = 0, attached_until_ = 0, renewed_at_ = 0;
  bool acked_ = false;
};

}  // namespace thistlefront
