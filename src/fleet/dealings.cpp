#include "fleet/dealings.hpp"

#include <algorithm>
#include <tuple>

namespace thistle {

namespace {

constexpr double kExpiryMargin = 0.3;
constexpr double kNoRoomPause = 3.0;
constexpr double kProven = 15.0;  // a replica that has served for this long shows that its job and its machine work
// Of a record in the ledger: its head, a machine's part beside the name, and a range of tasks.
constexpr std::size_t kHeadBytes = 120, kPartBytes = 30, kRangeBytes = 14;
// Orders in one message: well inside 64 KiB.
constexpr std::size_t kMostOrders = 400;

// Collects ends of tasks, joined into one record for a job and attempt.
class Ends {
 public:
  void done(const Book& book, PieceRef ref, double wall) {
    auto& r = done_[ref.job];
    r.uid = book.job(ref.job).uid;
    if (book.pipelines().has_dependents(ref.job)) r.at = wall;
    add_to(r.tasks, ref.task);
  }
  void off(const Book& book, PieceRef ref, std::uint64_t attempt, double failed_at = 0) {
    auto& r = off_[{ref.job, attempt, failed_at > 0}];
    r.uid = book.job(ref.job).uid;
    r.attempt = attempt;
    r.failed_at = failed_at;
    add_to(r.tasks, ref.task);
  }
  std::vector<Record> take(const Book& book) {
    const auto most = std::max<std::size_t>(1, (book.record_bytes() - kHeadBytes) / kRangeBytes);
    std::vector<Record> out;
    for (auto& [j, r] : done_) split(r, most, out);
    for (auto& [k, r] : off_) split(r, most, out);
    return out;
  }

 private:
  template <class Ended>
  static void split(const Ended& r, std::size_t most, std::vector<Record>& out) {
    for (std::size_t i = 0; i < r.tasks.size(); i += most) {
      Ended part = r;
      part.tasks.assign(r.tasks.begin() + static_cast<long>(i), r.tasks.begin() + static_cast<long>(std::min(i + most, r.tasks.size())));
      out.emplace_back(std::move(part));
    }
  }

  std::map<JobIdx, DoneRecord> done_;
  std::map<std::tuple<JobIdx, std::uint64_t, bool>, OffRecord> off_;
};

bool owned(const Placement* p, HostIdx h, std::uint64_t tenure, std::uint64_t attempt) {
  return p && p->host == h && p->tenure == tenure && p->attempt == attempt;
}

// Whether the report tells of the same tasks as the message from which `host.pieces` was made. What has exited, or belongs to
// a job that was not known then, is looked at anew.
bool says_the_same(const Report& report, const Host& host) {
  if (report.repeated_serial != host.agent.serial || host.agent.tasks.size() != report.tasks.size()) return false;
  return std::none_of(host.agent.tasks.begin(), host.agent.tasks.end(),
                      [](const SeenPiece& s) { return s.phase == Phase::exited || !s.ref.job.valid(); });
}

bool cancelled(const Book& book, JobIdx j) {
  return j.valid() && book.job(j).status == JobStatus::aborted;
}

}  // namespace

std::vector<StartRecord> in_fitting_records(const StartRecord& r, std::size_t record_bytes) {
  std::vector<StartRecord> out;
  std::size_t bytes = 0;
  for (const auto& part : r.assignments) {
    bool begun = false;
    for (const auto& range : part.tasks) {
      const auto part_bytes = kPartBytes + part.host.size();
      if (out.empty() || bytes + kRangeBytes + (begun ? 0 : part_bytes) > record_bytes) {
        out.push_back({r.uid, r.attempt, r.at, {}});
        bytes = kHeadBytes;
        begun = false;
      }
      if (!begun) {
        out.back().assignments.push_back({part.host, part.tenure, {}});
        bytes += part_bytes;
        begun = true;
      }
      out.back().assignments.back().tasks.push_back(range);
      bytes += kRangeBytes;
    }
  }
  return out;
}

void stop_task(Placement& p, double wind_down_s) {
  p.stopping = true;
  p.wind_down_s = wind_down_s;
}

ReportOutcome take_report(Book& book, const Report& report, Moment now, bool by_report, std::uint64_t fence_epoch) {
  ReportOutcome out;
  const HostIdx h = book.host_named(report.host);
  Host& host = book.host(h);
  if (host.terminated || std::pair(report.tenure, report.serial) <= std::pair(host.agent.incarnation, host.agent.serial)) {
    out.stale = true;
    return out;
  }
  // A copy of an earlier report may come late, by well over a lease, and to a leader that has heard nothing else of the
  // machine it is as good as a first one. What no copy can show is a token of this leader's: without it a report is a sign
  // of life once, and brings no machine back whose lease is over.
  const bool alive = !by_report || report.epoch >= fence_epoch;
  if (!host.agent.has_reported || host.lease_expired) out.changed = true;
  book.describe(h, report.address, report.machine_type, report.yard, report.loaner);
  Ends ends;
  const bool new_tenure = report.tenure > host.agent.incarnation;
  const bool repeated = !new_tenure && says_the_same(report, host);
  if (new_tenure) host.commands.uncertain_token = 0;
  // A later tenure: the worker forgot all it held, and commands of the earlier one are refused. Looked for in each report,
  // since a start planned for the earlier one may get into the ledger after the later one was heard of: it would stay
  // there for good and never run (found by the randomised test).
  for (const auto& ref : host.placed) {
    Placement* p = ref.placement;
    if (p->tenure >= report.tenure || p->end_pending) continue;
    p->end_pending = true;
    ends.off(book, ref, p->attempt);
    out.changed = true;
  }
  host.agent.incarnation = report.tenure;
  host.agent.serial = report.serial;
  host.agent.highest_token = std::max(host.agent.highest_token, report.epoch);
  // A session's own lease runs from its beginning, without any answer of ours: after a tenure change it counts from
  // when the new session is first heard of, or a task started in it could be given up while it runs.
  if ((host.agent.fenced_at == 0 || new_tenure) && host.agent.highest_token >= fence_epoch) host.agent.fenced_at = now.steady;
  host.agent.last_message_at = now.steady;
  if (new_tenure) host.agent.incarnation_since = now.steady, host.commands.last_run_serial = 0, host.agent.heartbeat_serial = 0;
  if (by_report) host.agent.heartbeat_serial = report.serial;
  if (alive || !host.agent.has_reported) host.agent.last_heartbeat_at = now.steady;
  host.agent.has_reported = true;
  if (alive) host.lease_expired = false;
  if (report.recall_s) {
    if (!host.agent.interruption_at) out.changed = true;
    host.agent.interruption_at = now.steady + *report.recall_s;
  }
  if (host.commands.uncertain_token != 0 && report.epoch > host.commands.uncertain_token) host.commands.uncertain_token = 0;

  const auto note = [&](const SeenPiece& seen, Cause cause) {
    Placement* p = book.placement(seen.ref);
    if (!owned(p, h, report.tenure, seen.attempt)) return;
    p->reported = true;
    if (p->phase != seen.phase) {
      p->phase = seen.phase;
      if (seen.phase == Phase::running && p->running_at == 0) p->running_at = now.wall;
    }
    if (seen.phase == Phase::running && book.blame().is_suspect(seen.ref.job) && now.wall - p->running_at > kProven &&
        book.job(seen.ref.job).spec.shape == Shape::service)
      book.blame().record_success(seen.ref.job, h);
    if (seen.phase != Phase::exited || p->end_pending) return;
    p->end_pending = true;
    out.changed = true;
    if (cause == Cause::done) {
      ends.done(book, seen.ref, now.wall);
      return;
    }
    const bool failed = cause == Cause::error || cause == Cause::unknown;
    ends.off(book, seen.ref, p->attempt, failed ? now.wall : 0);
    if (cause == Cause::no_room || cause == Cause::busy) host.full_until = now.steady + kNoRoomPause;
  };
  if (repeated) {
    // What is seen there stays as it is; only the book may have changed since.
    for (const SeenPiece& seen : host.agent.tasks) note(seen, Cause::none);
  } else {
    host.agent.tasks.clear();
    for (const auto& piece : report.tasks) {
      SeenPiece seen;
      seen.ref = {book.find(piece.id.uid), piece.id.task};
      seen.attempt = piece.attempt;
      seen.phase = piece.phase;
      if (!seen.ref.job.valid()) seen.uid = piece.id.uid;
      note(seen, piece.cause);
      host.agent.tasks.push_back(std::move(seen));
    }
    std::sort(host.agent.tasks.begin(), host.agent.tasks.end(), [](const SeenPiece& a, const SeenPiece& b) { return a.ref < b.ref; });
  }
  // A stopped task that the worker does not hold: it is off only when no start can still be on its way.
  if (by_report && report.epoch >= fence_epoch && host.has_no_uncertain_start(report.epoch)) {
    for (const auto& ref : host.placed) {
      Placement* p = ref.placement;
      if (!p->stopping || p->end_pending || p->tenure != report.tenure) continue;
      const bool there = std::any_of(host.agent.tasks.begin(), host.agent.tasks.end(),
                                     [&](const SeenPiece& s) { return s.ref == ref && s.attempt == p->attempt; });
      if (there) continue;
      p->end_pending = true;
      out.changed = true;
      ends.off(book, ref, p->attempt);
    }
  }
  out.records = ends.take(book);
  return out;
}

std::vector<Order> orders_for(const Book& book, HostIdx h, std::uint64_t epoch) {
  std::vector<Order> out;
  const Host& host = book.host(h);
  if (host.terminated || host.lease_expired || host.agent.incarnation == 0) return out;
  const auto find = [&](PieceRef ref, std::uint64_t attempt) -> const SeenPiece* {
    auto it =
        std::lower_bound(host.agent.tasks.begin(), host.agent.tasks.end(), ref, [](const SeenPiece& s, PieceRef r) { return s.ref < r; });
    for (; it != host.agent.tasks.end() && it->ref == ref; ++it)
      if (it->attempt == attempt) return &*it;
    return nullptr;
  };
  // Stops and reaps first: they make the room that starts need.
  const bool clean = host.has_no_uncertain_start(host.agent.highest_token) && host.agent.highest_token >= epoch;
  for (const auto& s : host.agent.tasks) {
    if (out.size() >= kMostOrders) return out;
    const Placement* p = s.ref.job.valid() ? const_cast<Book&>(book).placement(s.ref) : nullptr;
    const std::string& uid = s.ref.job.valid() ? book.job(s.ref.job).uid : s.uid;
    if (owned(p, h, host.agent.incarnation, s.attempt)) {
      // What is cancelled while it saves has nothing to save for: a second kill ends it.
      const bool saves_on = s.phase == Phase::saving && !cancelled(book, s.ref.job);
      if (p->stopping && s.phase != Phase::exited && !saves_on) out.push_back({Verb::kill, {uid, s.ref.task}, s.attempt, p->wind_down_s});
      continue;
    }
    if (s.phase != Phase::exited) {
      out.push_back({Verb::kill, {uid, s.ref.task}, s.attempt, 0});
    } else if (clean) {
      // Its outcome is in the ledger. While a start may still be on its way it must stay known to the worker.
      out.push_back({Verb::reap, {uid, s.ref.task}, s.attempt, 0});
    }
  }
  for (const auto& ref : host.placed) {
    if (out.size() >= kMostOrders) return out;
    const Placement* p = ref.placement;
    if (p->end_pending || p->tenure != host.agent.incarnation || find(ref, p->attempt)) continue;
    const Job& job = book.job(ref.job);
    if (p->stopping) {
      out.push_back({Verb::kill, {job.uid, ref.task}, p->attempt, p->wind_down_s});
    } else {
      out.push_back({Verb::run, {job.uid, ref.task}, p->attempt, 0});
    }
  }
  return out;
}

std::vector<Order> kills_of_cancelled(const Book& book, HostIdx h) {
  std::vector<Order> out;
  const Host& host = book.host(h);
  if (host.terminated || host.agent.incarnation == 0) return out;
  const auto kill = [&](PieceRef ref, std::uint64_t attempt) {
    if (out.size() < kMostOrders) out.push_back({Verb::kill, {book.job(ref.job).uid, ref.task}, attempt, 0});
  };
  for (const auto& s : host.agent.tasks)
    if (s.phase != Phase::exited && cancelled(book, s.ref.job)) kill(s.ref, s.attempt);
  // Not shown yet: a start that was on its way may have been carried out since.
  for (const auto& p : host.placed)
    if (cancelled(book, p.job) && !p.placement->reported && p.placement->tenure == host.agent.incarnation) kill(p, p.placement->attempt);
  return out;
}

// Found by the randomised test with more seeds: told to run by an answer that took 3 s, and by a command; stopped and reaped by
// commands meanwhile; then the answer came and started it once more.
void note_orders(Host& host, std::uint64_t serial, const std::vector<Order>& orders) {
  if (std::any_of(orders.begin(), orders.end(), [](const Order& o) { return o.type == Verb::run; }))
    host.commands.last_run_serial = std::max(host.commands.last_run_serial, serial);
}

void note_answer(Host& host, bool stale, double steady) {
  host.agent.last_answered_at = std::max(host.agent.last_answered_at, stale ? std::min(host.agent.last_message_at, steady) : steady);
}

bool lease_over(const Host& host, const Fencing& fencing, double lease_s, double steady) {
  // An earlier leader's answers count up to the moment when the worker was known to have seen this one's epoch:
  // a worker greeted with a direct command has a lease that this leader never renewed.
  double since = std::max(host.agent.last_answered_at, host.agent.fenced_at);
  // A peer that a cut parts from this leader may keep the leases of its own zone for a while.
  const auto note = [&](const std::vector<double>& by_zone) {
    for (std::size_t z = 0; z < by_zone.size(); ++z)
      if (z == host.zone.v || !host.zone.valid()) since = std::max(since, by_zone[z]);
  };
  note(fencing.renewed_until_by_zone);
  if (host.agent.highest_token < fencing.epoch) {
    // Another controller may have answered it under an older epoch until it learned of this one.
    if (fencing.peers_acked_at < 0) return false;
    since = std::max({since, fencing.peers_acked_at, fencing.taken_over_at});
    note(fencing.earlier_renewed_until_by_zone);
  }
  return steady > since + lease_s * (1 + kClockDrift) + kExpiryMargin;
}

std::vector<Record> clear_host(Book& book, HostIdx h) {
  Ends ends;
  for (const auto& ref : book.host(h).placed) {
    Placement* p = ref.placement;
    if (p->end_pending) continue;
    p->end_pending = true;
    ends.off(book, ref, p->attempt);
  }
  return ends.take(book);
}

std::vector<HostIdx> drain_recalled(Book& book, Moment now) {
  std::set<HostIdx> touched;
  const auto stop = [&](Placement& p, double wind_down_s) {
    if (p.stopping || p.end_pending) return;
    stop_task(p, wind_down_s);
    touched.insert(p.host);
  };
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    if (!host.agent.interruption_at || host.terminated || host.lease_expired) continue;
    const double left = *host.agent.interruption_at - now.steady;
    for (const auto& ref : host.placed) {
      Job& job = book.job(ref.job);
      Placement& p = *ref.placement;
      const bool saves = job.spec.snapshot_every_s > 0;
      const double ran = p.running_at > 0 ? now.wall - p.running_at : 0;
      const bool ends_in_time = job.spec.shape != Shape::service && job.spec.expected_s - ran < left;
      if (ends_in_time) continue;
      if (job.spec.shape != Shape::group) {
        stop(p, saves ? job.spec.snapshot_s : 0);
        continue;
      }
      // An orderly stop tells all of a gang at once.
      for (auto& [task, other] : job.placed) stop(other, saves ? job.spec.snapshot_s : 0);
    }
  }
  return {touched.begin(), touched.end()};
}

std::vector<HostIdx> go_on_with_stops(Book& book) {
  std::set<HostIdx> touched;
  for (JobIdx j : book.live()) {
    Job& job = book.job(j);
    // Only what saves at all can be found saving.
    if (job.spec.snapshot_every_s <= 0 || job.ended()) continue;
    const auto begun = [](const auto& placed) {
      const Placement& p = placed.second;
      return p.reported && p.phase == Phase::saving && !p.stopping && !p.end_pending;
    };
    if (std::none_of(job.placed.begin(), job.placed.end(), begun)) continue;
    for (auto& placed : job.placed) {
      if (placed.second.stopping || (job.spec.shape != Shape::group && !begun(placed))) continue;
      stop_task(placed.second, job.spec.snapshot_s);
      touched.insert(placed.second.host);
    }
  }
  return {touched.begin(), touched.end()};
}

bool stop_broken_gangs(Book& book) {
  bool any = false;
  for (JobIdx j : book.live()) {
    Job& job = book.job(j);
    if (job.spec.shape != Shape::group || job.placed.empty() || job.pending == 0 || job.done > 0) continue;
    for (auto& [task, p] : job.placed) {
      if (p.stopping) continue;
      stop_task(p, 0);
      any = true;
    }
  }
  return any;
}

}  // namespace thistle
