// Keeping leases alive in a cut. A follower that a cut parts from the leader may, for a while, go on
// answering the workers of its own zone under the leader's epoch, without orders: so their leases do not
// lapse. Pure; docs/design.md has the proof.
#pragma once
#include <cstdint>

namespace thistlefront {

// The longest that a follower may go on: what was cancelled in that time must be gone within cancel_s of its
// user being told, and a worker answered last at its end runs for one lease more.
double max_partition_lease_s(double cancel_s, double lease_s);

// On the follower, and on a leader for the time when it can't renew its hold. Times are its own steady
// seconds.
class PartitionLease {
 public:
  // What an earlier process of this controller did is bounded by this one's start.
  PartitionLease(double span_s, double started_at) : span_s_(span_s), last_renewal_(started_at) {}

  // The leader answered what was asked at `asked_at`. `oldest_cancellation_age_s`: how long ago the oldest cancellation was made
  // that is not yet carried out in this zone; it must be carried out in time as well.
  void grant(std::uint64_t fencing_token, double asked_at, double oldest_cancellation_age_s);
  // A leader of this takeover was heard of: what an earlier one granted is over, also where it was of the same name.
  void observe_leader(std::uint64_t takeover_token);
  // Another leads.
  void revoke();
  // Nothing was heard of the leader for some time, and not yet for too long.
  [[nodiscard]] bool is_active(double now) const;
  // The same for one that has meanwhile taken the lead itself, without knowing the ledger: what it was granted is not over.
  [[nodiscard]] bool is_granted(double now) const { return now < until_; }
  void record_renewal(double now) { last_renewal_ = now; }
  [[nodiscard]] double last_renewal() const { return last_renewal_; }
  // Under which it was granted: a later one, known by other ways only, may be another leader's.
  [[nodiscard]] std::uint64_t fencing_token() const { return fencing_token_; }

 private:
  double span_s_, last_renewal_;
  double asked_at_ = 0, until_ = 0;
  std::uint64_t fencing_token_ = 0, takeover_token_ = 0;
};

// On the leader, for one peer: until when the peer may have answered workers on its own. Times are the
// leader's steady seconds.
class PartitionLeaseGrant {
 public:
  PartitionLeaseGrant() = default;
  // An earlier leader's grants were made before it ceased to lead, which was before `taken_over_at`.
  PartitionLeaseGrant(double span_s, double taken_over_at) : span_s_(span_s), taken_over_at_(taken_over_at) {}

  // A beat goes out that gives the mark of the peer's latest answer back. What it grants counts from that
  // mark, however often it is sent: with the time of sending, a peer that was cut off for good seemed to keep
  // its zone for good.
  void record_sent() { granted_at_ = acked_at_; }
  // The peer answered the beat sent at `sent_at`, which answered its own of the beat sent at `echoed_sent_at`
  // (0: of none).
  void record_ack(double echoed_sent_at, double now, double last_renewal_age_s);
  // Under this leader's epoch; and under an earlier one, which no worker takes that has seen this leader's.
  [[nodiscard]] double renewals_until(double now) const;
  [[nodiscard]] double earlier_renewals_until(double now) const;

 private:
  double span_s_ = 0, taken_over_at_ = 0;
  double acked_at_ = 0, granted_at_ = 0, attached_until_ = 0, renewed_at_ = 0;
  bool acked_ = false;
};

}  // namespace thistlefront
