// Dealings with workers: what a report means for the book, and which orders a worker is due. Pure.
#pragma once
#include <cstdint>
#include <vector>

#include "bookkeeping/book.hpp"

namespace thistle {

struct Moment {
  double steady = 0, wall = 0;
};

// What came out of a report. The records go to the ledger; the book changes when they are durable.
struct ReportOutcome {
  bool stale = false;    // older than one already seen: nothing was taken from it
  bool changed = false;  // something a pass may want to know
  std::vector<Record> records;
};

// `by_report`: it came as a report (and not as the answer to a direct command), so every answer this worker was
// given before has been executed or dropped.
// `fence_epoch`: of this leader's takeover; a worker that has seen it executes no earlier leader's commands.
ReportOutcome take_report(Book& book, const Report& report, Moment now, bool by_report, std::uint64_t fence_epoch);

// The leader answers a report. The worker's lease counts from when it sent the report, and one that is not newer than what
// was heard before was sent before that was: a copy, however late, adds nothing to it.
void note_answer(Host& host, bool stale, double steady);

// The orders that bring the worker from what it last reported to what the book says.
std::vector<Order> orders_for(const Book& book, HostIdx h, std::uint64_t epoch);

// Of these, the kills of tasks whose jobs are cancelled in the ledger: right under every later leader too, for a cancelled
// job stays so and none of its tasks may ever start again. All that a leader in doubt may give.
std::vector<Order> kills_of_cancelled(const Book& book, HostIdx h);

// The same starts in records that fit into an entry of the ledger, however scattered their tasks are. One that does not is
// refused by the state service, and each leader in turn would plan it again and step down.
std::vector<StartRecord> in_fitting_records(const StartRecord& r, std::size_t record_bytes = kRecordBytes);

// These are the answer to its report with this serial. Until its next report the answer may be on its way: nothing is reaped
// before, for a run that comes after the reap of its attempt starts it again.
void note_orders(Host& host, std::uint64_t serial, const std::vector<Order>& orders);

// Marks a placed task for stopping.
void stop_task(Placement& p, double wind_down_s);

// Since when no one can have answered a host's reports but this leader.
struct Fencing {
  std::uint64_t epoch = 0;     // of this leader's takeover
  double taken_over_at = 0;    // steady seconds
  double peers_acked_at = -1;  // steady seconds; below 0: some peer may still answer under an older epoch
  // By zone, steady seconds: until when a peer there may have answered on its own, under this leader's epoch and under an
  // earlier one.
  std::vector<double> renewed_until_by_zone = {}, earlier_renewed_until_by_zone = {};
};
// Whether the worker's lease is over for certain, wherever its reports were answered.
bool lease_over(const Host& host, const Fencing& fencing, double lease_s, double steady);

// Ends of everything placed on a host that is known to be empty: its lease is over, or it was released.
std::vector<Record> clear_host(Book& book, HostIdx h);

// Machines about to be taken: services move at once, work with checkpoints saves, and of the rest what can't end in
// time starts again elsewhere. Returns the hosts that have something to stop.
std::vector<HostIdx> drain_recalled(Book& book, Moment now);

// Tasks that save though this leader stops none of them: an earlier one did, to make room. That goes on, for a gang with all
// of its tasks, and their room counts as coming free; a successor that took them for running stopped others for the same
// need, and tore gangs whose stop was half told. Returns the hosts that have something to stop.
std::vector<HostIdx> go_on_with_stops(Book& book);

// Gangs that lost a task are stopped, so that they can be planned anew.
bool stop_broken_gangs(Book& book);

}  // namespace thistle
