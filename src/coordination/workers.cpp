// Direct commands: one duty for each worker, which sends what the worker is due when it is poked.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/controller.hpp"
#include "transport/clock.hpp"

namespace thistle {

namespace {
constexpr double kCommandTimeout = 1.5;
constexpr double kPauseAfterFailure = 1.5;
constexpr std::size_t kTurns = 6;
constexpr double kTurn = 0.15;  // seconds: a worker that takes longer is waited for without a turn
}  // namespace

void Controller::absorb(const Report& report, bool by_report) {
  const Moment now{steady_now(), wall_now()};
  Book& book = *term_->book;
  const HostIdx known = book.find_host(report.host);
  if (known.valid() && report.tenure > book.host(known).tenure) {
    const auto& placed = book.host(known).placed;
    const auto forgot =
        std::count_if(placed.begin(), placed.end(), [&](const auto& p) { return p.at->tenure < report.tenure; });
    if (forgot > 0) spdlog::info("{}: its worker's lease ran out, {} tasks are off it", report.host, forgot);
  }
  auto outcome = take_report(book, report, now, by_report, term_->takeover_epoch);
  if (outcome.stale) return;
  const bool records = !outcome.records.empty();
  // Tasks that are done can wait a moment for company; the others wait for their places to be seen to.
  const bool done_only = std::all_of(outcome.records.begin(), outcome.records.end(),
                                     [](const Record& r) { return std::holds_alternative<DoneRecord>(r); });
  if (records) enqueue(std::move(outcome.records), done_only ? Haste::soon : Haste::now);
  // With records, the pass comes when they are in the ledger.
  if (outcome.changed && !records) want_pass();
}

void Controller::poke(HostIdx h, bool greet) {
  auto& duty = host_duties_[h];
  if (!duty) {
    duty = std::make_unique<HostDuty>();
    duty->thread = std::jthread([this, h, d = duty.get(), number = term_number_](std::stop_token stop) {
      host_duty(stop, h, d, number);
      d->finished = true;
    });
  }
  duty->poked = true;
  duty->greet = duty->greet || greet;
  duty->wake.notify_all();
}

void Controller::poke_placed(const Job& job) {
  std::set<HostIdx> hosts;
  for (const auto& [task, p] : job.placed) hosts.insert(p.host);
  for (auto h : hosts) poke(h);
}

// Room made for 58 starts at once kept a controller at half speed busy past the end of its hold (lienzo grown, apart).
double Controller::await_turn(Lock& lock, std::stop_token stop) {
  for (;;) {
    const double now = steady_now();
    std::erase_if(turns_, [&](double until) { return until <= now; });
    if (stop.stop_requested() || turns_.size() < kTurns) break;
    turn_given_.wait_for(lock, stop, std::chrono::duration<double>(turns_.front() - now),
                         [&] { return turns_.size() < kTurns; });
  }
  return turns_.emplace_back(steady_now() + kTurn);
}

void Controller::host_duty(std::stop_token stop, HostIdx h, HostDuty* duty, std::uint64_t number) {
  std::unique_ptr<HttpClient> client;
  Lock lock(mutex_);
  while (!stop.stop_requested() && term_number_ == number) {
    duty->wake.wait(lock, stop, [&] { return duty->poked; });
    if (stop.stop_requested() || term_number_ != number) return;
    // Given back when this command is dealt with, unless it ran out.
    struct Turn {
      Controller& c;
      double until;
      ~Turn() {
        if (auto it = std::find(c.turns_.begin(), c.turns_.end(), until); it != c.turns_.end()) c.turns_.erase(it);
        c.turn_given_.notify_one();
      }
    } given{*this, await_turn(lock, stop)};
    if (stop.stop_requested() || term_number_ != number) return;
    duty->poked = false;
    Host& host = term_->book->host(h);
    if (host.gone || host.address.empty() || !decisive() || steady_now() < duty->not_before) continue;
    const auto orders = orders_for(*term_->book, h, term_->takeover_epoch);
    if (orders.empty() && !duty->greet) continue;
    duty->greet = false;
    const bool starts = std::any_of(orders.begin(), orders.end(), [](auto& o) { return o.verb == Verb::run; });
    const auto epoch = term_->epoch;
    const auto body = commands_body(epoch, std::max<std::uint64_t>(host.tenure, 1), orders);
    if (!client) client = std::make_unique<HttpClient>(host.address);
    if (starts) host.in_flight_epoch = epoch;
    lock.unlock();
    const auto result = client->post(kCommandsPath, body, kCommandTimeout);
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
    Host& again = term_->book->host(h);
    again.in_flight_epoch = 0;
    if (starts && result.delivery == Delivery::in_doubt) {
      // It may be executed much later. Until the worker has seen a higher epoch, nothing is concluded there.
      again.doubt_epoch = std::max(again.doubt_epoch, epoch);
      want_pass();
      spdlog::debug("{}: a start is in doubt", again.name);
    }
    if (!understood) {
      duty->not_before = steady_now() + kPauseAfterFailure;
      continue;
    }
    if (report.epoch > term_->epoch) {
      step_down(lock, "a worker knows of a higher epoch");
      return;
    }
    if (report.host != again.name) continue;
    again.direct_at = steady_now();
    absorb(report, false);
  }
}

}  // namespace thistle
