// Direct commands: a bounded set of senders serves the workers that are due.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <system_error>

#include "coordination/controller.hpp"
#include "fleet/deafness.hpp"
#include "transport/clock.hpp"

namespace thistle {

namespace {
constexpr double kCommandTimeout = 1.5;
constexpr double kPauseAfterFailure = 1.5;
constexpr std::size_t kTurns = 6;
constexpr double kTurn = 0.15;  // seconds: a worker that takes longer is waited for without a turn
}  // namespace

bool Controller::absorb(const Report& report, bool by_report) {
  const Moment now{steady_now(), wall_now()};
  Book& book = *term_->book;
  const HostIdx known = book.find_host(report.host);
  if (known.valid() && report.tenure > book.host(known).agent.incarnation) {
    const auto& placed = book.host(known).placed;
    const auto forgot = std::count_if(placed.begin(), placed.end(), [&](const auto& p) { return p.placement->tenure < report.tenure; });
    if (forgot > 0) spdlog::info("{}: its worker's lease ran out, {} tasks are off it", report.host, forgot);
  }
  Host& host = book.host(book.host_named(report.host));
  const bool deaf = host.agent.unresponsive_since > 0;
  listen(host, report, by_report, now.steady, settings_.lease_s);
  if (host.agent.unresponsive_since > 0 && !deaf) {
    ++counters_.deaf;
    spdlog::info("{}: its reports come and no answer reaches it; nothing is placed there", report.host);
  } else if (deaf && host.agent.unresponsive_since == 0) {
    spdlog::info("{}: answers reach it again", report.host);
  }
  auto outcome = take_report(book, report, now, by_report, term_->takeover_epoch);
  if (outcome.stale) return false;
  const bool records = !outcome.records.empty();
  // Tasks that are done can wait a moment for company; the others wait for their places to be seen to.
  const bool done_only =
      std::all_of(outcome.records.begin(), outcome.records.end(), [](const Record& r) { return std::holds_alternative<DoneRecord>(r); });
  if (records) enqueue(std::move(outcome.records), done_only ? Haste::soon : Haste::now);
  // With records, the pass comes when they are in the ledger.
  if (outcome.changed && !records) want_pass();
  return true;
}

void Controller::poke(HostIdx h, bool greet) {
  due_.enqueue(h, greet, steady_now());
  give_turns();
}

void Controller::poke_placed(const Job& job) {
  std::set<HostIdx> hosts;
  for (const auto& [task, p] : job.placed) hosts.insert(p.host);
  for (auto h : hosts) poke(h);
}

// Room made for 58 starts at once kept a controller at half speed busy past the end of its hold (lienzo grown, apart): few
// senders make and read commands at a time, and the rest of them wait for slow workers, or rest.
void Controller::give_turns() {
  while (turns_ < kTurns && turns_given_ < due_.size() && due_.has_ready()) {
    if (senders_resting_ > turns_given_) {
      ++turns_;
      ++turns_given_;
      turn_given_.notify_one();
      continue;
    }
    // All are waiting for slow workers. Where no more may be made, or can be, the next one that is free goes on.
    if (senders_.size() >= budget_.senders) return;
    try {
      senders_.emplace_back([this](std::stop_token stop) { sender_duty(stop); });
    } catch (const std::system_error& e) {
      spdlog::error("no thread for a sender: {}", e.what());
      return;
    }
    ++turns_;
    ++turns_given_;
    ++senders_resting_;
  }
}

void Controller::sender_duty(std::stop_token stop) {
  Lock lock(mutex_);  // give_turns() counted it among those that rest
  for (;;) {
    turn_given_.wait(lock, stop, [&] { return turns_given_ > 0; });
    if (stop.stop_requested()) return;
    --turns_given_;
    --senders_resting_;
    bool held = true;
    while (!stop.stop_requested()) {
      // Its turn was given up for a slow worker: it goes on if there is another.
      if (!held && turns_ >= kTurns) break;
      const auto next = due_.dequeue();
      if (!next) break;
      if (!held) ++turns_;
      held = true;
      command(lock, *next, held);
    }
    if (held) --turns_;
    ++senders_resting_;
    give_turns();
  }
}

void Controller::command(Lock& lock, DueWorkers::Item next, bool& held) {
  const auto number = term_number_;
  const HostIdx h = next.host;
  if (!term_ || !term_->book) return;
  Host& host = term_->book->host(h);
  std::vector<Order> orders;
  const bool may = !host.terminated && !host.address.empty();
  if (may) orders = due_orders(h);
  if (!may || (orders.empty() && !(next.announce && decisive()))) {
    due_.complete(h);
    return;
  }
  const bool starts = std::any_of(orders.begin(), orders.end(), [](auto& o) { return o.type == Verb::run; });
  const auto epoch = term_->epoch;
  const auto body = commands_body(epoch, std::max<std::uint64_t>(host.agent.incarnation, 1), orders);
  const auto address = host.address;
  auto client = lines_.acquire(address);
  if (starts) host.commands.in_flight_token = epoch;
  lock.unlock();
  Late late{steady_now() + kTurn, [&] {
              Lock again(mutex_);
              held = false;
              --turns_;
              give_turns();
            }};
  const auto result = client->post(kCommandsPath, body, kCommandTimeout, &late);
  Report report;
  bool understood = false;
  if (result.is(200) || result.is(409)) {
    try {
      report = parse_report(result.body);
      understood = true;
    } catch (const Malformed& e) {
      spdlog::error("malformed answer from worker: {}", e.what());
    }
  }
  lock.lock();
  if (term_number_ != number) return;
  lines_.release(address, std::move(client));
  Host& again = term_->book->host(h);
  again.commands.in_flight_token = 0;
  if (starts && result.delivery == Delivery::in_doubt) {
    // It may be executed much later. Until the worker has seen a higher epoch, nothing is concluded there.
    again.commands.uncertain_token = std::max(again.commands.uncertain_token, epoch);
    want_pass();
    spdlog::debug("{}: a start is in doubt", again.name);
  }
  again.commands.failing = !understood;
  if (understood)
    term_->commands_failing_since = 0;
  else if (term_->commands_failing_since == 0)
    term_->commands_failing_since = steady_now();
  if (!understood) {
    due_.back_off(h, steady_now() + kPauseAfterFailure);
    return;
  }
  due_.complete(h);
  if (report.epoch > term_->epoch) {
    step_down(lock, "a worker knows of a higher epoch");
    return;
  }
  if (report.host != again.name) return;
  again.agent.last_direct_contact_at = steady_now();
  absorb(report, false);
}

}  // namespace thistle
