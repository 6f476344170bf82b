// Keeps the leases of agents alive during a network partition. A follower that is partitioned from the leader may, for a bounded time,
// renew the leases of the agents in its own zone, under the leader's fencing token and without sending commands. Called by the
// controller's leadership code. Pure.
//
// Invariant: a partition lease followed by one lease of an agent ends within `cancel_s` of the time from which the partition lease was
// granted. So a cancellation that was confirmed to its user after that time is carried out in time even if no command reaches the
// node. docs/design.md has the proof.
#pragma once
#include <cstdint>

namespace thistlefront {

// Returns the maximum duration of a partition lease in seconds. An agent whose lease is renewed at the end of the partition lease runs
// for one more lease.
double max_partition_lease_s(double cancel_s, double lease_s);

// The follower's side: the partition lease that was granted to this controller. A leader grants one to itself while it is certain to
// lead, and uses it once its leadership is uncertain. Times are steady seconds of this controller.
class PartitionLease {
 public:
  // `started_at`: when this process started. An earlier process of this controller renewed no lease after that.
  PartitionLease(double max_duration_s, double started_at) : max_duration_s_(max_duration_s), last_renewal_at_(started_at) {}

  // A heartbeat of the leader grants a lease. The heartbeat echoes an acknowledgement that this follower sent at `requested_at`, and the
  // lease runs from that time. The lease is shortened by the age of the oldest cancellation that is not carried out in this zone yet, so
  // that this cancellation is carried out in time too.
  void grant(std::uint64_t fencing_token, double requested_at, double oldest_cancellation_age_s);
  // A message of the leader with this takeover token was received. A grant of an earlier term is revoked, even if the same controller led.
  void observe_leader(std::uint64_t takeover_token);
  // Ends the lease: another controller leads, or this one stepped down or has read the ledger.
  void revoke();
  // Whether agents' leases may be renewed under this lease: the leader has been silent for some time and this lease has not expired.
  [[nodiscard]] bool is_active(double now) const;
  // Whether this lease has not expired, even if the leader is not silent. On this condition alone, agents' leases may be renewed only by
  // a controller that has taken over since the grant and has not read the ledger yet.
  [[nodiscard]] bool is_unexpired(double now) const { return now < ends_at_; }
  void record_renewal(double now) { last_renewal_at_ = now; }
  // When this controller last renewed an agent's lease under a partition lease.
  [[nodiscard]] double last_renewal_at() const { return last_renewal_at_; }
  // The token under which this lease was granted. A higher token that this controller learned elsewhere may belong to another leader.
  [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }

 private:
  double max_duration_s_, last_renewal_at_;
  double requested_at_ = 0, ends_at_ = 0;
  std::uint64_t fencing_token_ = 0, takeover_token_ = 0;
};

// The leader's side, for one peer: bounds the time until which that peer may have renewed leases under a partition lease. Times are
// steady seconds of the leader.
class PartitionLeaseGrant {
 public:
  PartitionLeaseGrant() = default;
  // `taken_over_at`: after this takeover, no earlier leader granted a partition lease.
  PartitionLeaseGrant(double max_duration_s, double taken_over_at) : max_duration_s_(max_duration_s), taken_over_at_(taken_over_at) {}

  // A heartbeat that echoes the peer's latest acknowledgement is sent to the peer. The heartbeat grants a lease that runs from that
  // acknowledgement, however often the heartbeat is repeated. If the lease ran from the time of sending, a permanently partitioned peer
  // would seem to hold it forever.
  void record_heartbeat_sent() { granted_at_ = acked_at_; }
  // The peer acknowledged a heartbeat. `echoed_sent_at`: that heartbeat echoed the acknowledgement of an earlier heartbeat, which was sent
  // at this time; 0 if it echoed none. `last_renewal_age_s`: time since the peer last renewed an agent's lease under a partition lease.
  void record_ack(double echoed_sent_at, double now, double last_renewal_age_s);
  // Returns the latest time at which the peer may have renewed a lease under this leader's token.
  [[nodiscard]] double latest_possible_renewal(double now) const;
  // Returns the latest time at which the peer may have renewed a lease under an earlier leader's token. An agent that has seen this
  // leader's token does not accept such a renewal.
  [[nodiscard]] double latest_possible_earlier_renewal(double now) const;

 private:
  double max_duration_s_ = 0, taken_over_at_ = 0;
  double acked_at_ = 0, granted_at_ = 0, renewed_at_ = 0;
  double no_renewal_before_ = 0;  // until then the peer does not regard the leader as silent
  bool acked_ = false;
};

}  // namespace thistlefront
