// Dealings with the cloud: machine types, the machine list, rentals and releases.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "bookkeeping/waiting.hpp"
#include "coordination/controller.hpp"
#include "fleet/deafness.hpp"
#include "fleet/hearing.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
constexpr double kLongWait = 60.0;     // seconds without a start: told
constexpr double kWaitsPeriod = 30.0;  // seconds between looks at what waits
constexpr double kServedGap = 10.0;    // a longer one was not looked at by this leader
constexpr double kCloudTimeout = 5.0;
constexpr double kFlavorsPeriod = 120.0;
constexpr double kRefusedPause = 20.0;  // after "no capacity"
constexpr std::size_t kMostReleased = 50;
constexpr double kQuiet = 20.0;  // no work waits or runs, services aside, for this long
constexpr double kIdleWhenQuiet = 20.0;
constexpr double kIdleWhenBusy = 300.0;
constexpr double kSilentReports = 2.0;   // report periods
constexpr double kDirectReports = 1.45;  // report periods within which one that reaches it has been heard
constexpr std::size_t kDirectShare = 3;  // one in so many
constexpr double kProbeTimeout = 1.0;
constexpr std::size_t kAskedBeforeHandOver = 5;
constexpr unsigned kPage = 500;
constexpr unsigned kMostAtOnce = 50;   // in one rental
constexpr double kRentShare = 0.5;     // of the calls that the cloud takes in a second
constexpr std::size_t kNotHeard = 50;  // one in so many machines may be up and not heard of
constexpr double kListedAfter = 2.0;   // list lags until what was rented before is in a list
constexpr double kMuteLeases = 3.0;    // leases that a machine listed as running may go unheard of
constexpr double kIdleHaste = 2.0;     // times its run and a boot that work of the lowest rank is rented for ahead of its aim

}  // namespace

void Controller::cloud_duty(std::stop_token stop) {
  HttpClient cloud(settings_.cloud_address);
  std::stop_callback abort(stop, [&] { cloud.abort(); });
  double flavors_at = -1e9, listed_at = -1e9;
  std::uint64_t number = 0;
  while (!stop.stop_requested()) {
    bool leading = false, deciding = false;
    {
      Lock lock(mutex_);
      role_changed_.wait(lock, stop, [&] { return role_ == Role::leading; });
      if (stop.stop_requested()) return;
      leading = role_ == Role::leading;
      deciding = decisive();
      if (number != term_number_) {
        number = term_number_;
        flavors_at = listed_at = -1e9;
      }
    }
    const double now = steady_now();
    if (leading && now - flavors_at > kFlavorsPeriod && learn_flavors(cloud)) flavors_at = now;
    if (leading && now - listed_at > std::max(1.0, settings_.list_lag_s / 2) && list_machines(cloud)) listed_at = now;
    if (deciding) {
      watch_starts();
      watch_workers();
      release_silent(cloud, stop);
      release_machines(cloud);
      // Several at a time: one a round, 25 offers took 17 s on the first day and after a loss (kaubaalus fleet, calm).
      const auto most = std::max(1.0, settings_.cloud_rps * kRentShare);
      for (int asked = 0; tuning_.scale_out && asked < most && rent(cloud); ++asked) {
      }
    }
    if (!pause_for(stop, std::max(0.5, 2.0 / settings_.cloud_rps))) return;
  }
}

bool Controller::learn_flavors(HttpClient& cloud) {
  const auto r = cloud.get(kFlavorsPath, kCloudTimeout);
  if (!r.ok()) return false;
  try {
    auto flavors = parse_flavors(r.body);
    Lock lock(mutex_);
    if (!decisive()) return false;
    const auto& old = term_->book->flavors();
    const bool same =
        old.size() == flavors.size() && std::equal(old.begin(), old.end(), flavors.begin(), [](const Flavor& a, const Flavor& b) {
          return a.name == b.name && a.capacity == b.capacity && a.boot_s == b.boot_s;
        });
    if (!same) {
      // Kept in the ledger, so that a later leader can decide on submissions during a cloud outage.
      spdlog::info("{} machine types known", flavors.size());
      FlavorsRecord record{std::move(flavors)};
      if (Tail::fits_in_entry(record, entry_bytes())) {
        enqueue({std::move(record)});
      } else {
        spdlog::info("the machine types fit into no entry of the ledger: each leader asks the cloud for them");
        term_->book->apply(record);
      }
    }
    return true;
  } catch (const Malformed& e) {
    spdlog::error("cloud: machine types: {}", e.what());
    return false;
  }
}

bool Controller::list_machines(HttpClient& cloud) {
  std::vector<Machine> all;
  std::string from;
  for (;;) {
    const auto r = cloud.get(machines_path(from, kPage), kCloudTimeout);
    if (!r.ok()) return false;
    try {
      auto page = parse_machines(r.body);
      for (auto& m : page.machines) all.push_back(std::move(m));
      if (!page.truncated || page.machines.empty()) break;
      from = all.back().name;
    } catch (const Malformed& e) {
      spdlog::error("cloud: machine list: {}", e.what());
      return false;
    }
  }
  Lock lock(mutex_);
  if (role_ != Role::leading) return false;
  Book& book = *term_->book;
  const double now = steady_now();
  for (const auto& m : all) {
    const HostIdx h = book.host_named(m.name);
    Host& host = book.host(h);
    if (host.terminated) continue;
    const bool fresh = !host.instance.listed;
    host.instance.listed = true;
    host.instance.listed_at = now;
    host.instance.status = m.status;
    host.instance.age_s = m.held_s;
    if (m.status == Machine::Status::running && host.instance.running_since == 0) host.instance.running_since = now;
    if (!host.agent.has_reported) book.describe(h, m.address, m.machine_type, m.yard, m.loaner);
    // A machine new to this leader may hold tasks: its worker learns of the epoch at once.
    if (fresh && !host.agent.has_reported && m.status == Machine::Status::running) poke(h, true);
  }
  return true;
}

void Controller::release(HttpClient& cloud, const std::vector<std::string>& names, const char* why) {
  if (names.empty()) return;
  const auto r = cloud.post(kReleasePath, release_body(names), kCloudTimeout);
  if (!r.ok()) return;
  Lock lock(mutex_);
  if (role_ != Role::leading) return;
  for (const auto& name : names) {
    const HostIdx h = term_->book->find_host(name);
    if (!h.valid()) continue;
    // An answered release: the machine and all on it are gone.
    term_->book->host(h).terminated = true;
    spdlog::info("{}: released, {}", name, why);
    auto records = clear_host(*term_->book, h);
    if (!records.empty()) enqueue(std::move(records));
  }
}

void Controller::release_machines(HttpClient& cloud) {
  std::vector<std::string> dead, idle, faulty, late, mute, deaf;
  {
    Lock lock(mutex_);
    if (!decisive()) return;
    Book& book = *term_->book;
    const double now = steady_now();
    // With no work about, a machine is returned soon; else it is kept a while, for boots and fetches take time.
    const bool quiet = now - std::max(active_at_, term_->taken_over_at) > kQuiet;
    const double idle_limit = quiet ? kIdleWhenQuiet : kIdleWhenBusy;
    const bool settled = now - term_->taken_over_at > kMuteLeases * settings_.lease_s;
    std::set<ZoneIdx> heard_in;
    for (std::uint32_t i = 0; i < book.host_count(); ++i)
      if (now - book.host(HostIdx{i}).agent.last_direct_contact_at < settings_.lease_s) heard_in.insert(book.host(HostIdx{i}).zone);
    for (HostIdx h : given_up_as_deaf(book, now, settings_.lease_s)) {
      if (starting_.contains(h) || deaf.size() >= kMostReleased) continue;
      book.host(h).releasing = true;
      deaf.push_back(book.host(h).name);
    }
    for (std::uint32_t i = 0; i < book.host_count(); ++i) {
      Host& host = book.host(HostIdx{i});
      if (!host.instance.listed || host.terminated || dead.size() + idle.size() + late.size() + mute.size() >= kMostReleased) continue;
      const Flavor* flavor = book.flavor(host.machine_type);
      if (host.instance.status == Machine::Status::failed || never_came(host, flavor, now)) {
        dead.push_back(host.name);
        continue;
      }
      // A late one is kept while there is work.
      if (quiet && settled && coming(host, flavor, now) == Coming::late) {
        late.push_back(host.name);
        continue;
      }
      // Up for long, by the list, and never heard of; not where a cut may be the reason.
      if (!host.agent.has_reported && host.placed.empty() && host.instance.status == Machine::Status::running &&
          now - host.instance.running_since > kMuteLeases * settings_.lease_s && heard_in.contains(host.zone)) {
        mute.push_back(host.name);
        continue;
      }
      // Failed once more after it was tried again: another machine in its place serves better.
      if (host.placed.empty() && !starting_.contains(HostIdx{i}) && book.blame().should_replace(HostIdx{i}, wall_now())) {
        host.releasing = true;
        faulty.push_back(host.name);
        continue;
      }
      const bool unused = host.placed.empty() && !starting_.contains(HostIdx{i}) && host.idle_since > 0;
      const bool wanted = !quiet && !unserved_.empty();
      if (host.releasing || (unused && !wanted && now - host.idle_since > idle_limit)) {
        host.releasing = true;
        idle.push_back(host.name);
      }
    }
  }
  release(cloud, dead, "dead");
  release(cloud, deaf, "no answer reaches it");
  release(cloud, idle, "idle");
  release(cloud, faulty, "faulty");
  release(cloud, late, "late and no longer wanted");
  release(cloud, mute, "up and never heard of");
}

// A worker that has fallen silent while the others report is most likely on a dead or hanging machine. Its lease may
// have long to run; an answered release ends it for certain, so that its services can start elsewhere at once.
void Controller::probe(std::vector<Probe>& probes) {
  // All at once: with one after the other, the replicas of the last of 13 dead machines waited 20 s (lienzo grown,
  // troubles).
  std::vector<std::function<void()>> work;
  for (auto& p : probes) {
    work.emplace_back([this, &p] {
      HttpClient worker(p.address);
      const auto r = worker.get(kWorkerStatusPath, kProbeTimeout);
      if (!r.ok()) return;
      p.answered = true;
      try {
        const auto report = parse_report(r.body);
        Lock lock(mutex_);
        if (role_ != Role::leading || report.host != p.name) return;
        absorb(report, false);
        Host& host = term_->book->host(term_->book->host_named(p.name));
        host.agent.last_direct_contact_at = steady_now();
        host.commands.failing = false;
        term_->commands_failing_since = 0;
      } catch (const Malformed& e) {
        spdlog::error("{}: malformed status: {}", p.name, e.what());
      }
    });
  }
  run_at_once(work);
}

// On one play of operations on kaubaalus ops nothing ran for minutes, and nothing in the log said so.
void Controller::watch_starts() {
  Lock lock(mutex_);
  const double now = steady_now();
  // A gap of more than a few looks is not this leader's to count.
  const double since = std::exchange(served_looked_at_, now);
  if (!decisive()) return;
  if (now - since < kServedGap) served_.add_replica_time(*term_->book, now - since);
  if (start_watch_.should_report(now))
    spdlog::info("nothing has started for {:.0f} s though work fits: {} records wait for the ledger, the service's writes {}",
                 start_watch_.stalled_for(now), queue_.size(), store_failing_since_ != 0 ? "fail" : "go through");
  if (now - waits_told_at_ < kWaitsPeriod) return;
  waits_told_at_ = now;
  for (const auto& w : what_waits(*term_->book, wall_now()))
    if (w.unstarted_s > kLongWait)
      spdlog::info("team {}, class {}: {} tasks wait for {}, the oldest job of which nothing has run for {:.0f} s", w.team, w.job_class,
                   w.tasks, name_of(w.reason), w.unstarted_s);
  const auto amiss = term_->book->correct_accounts();
  counters_.amiss += amiss.size();
  for (const auto& team : amiss) spdlog::error("team {}: its account is not what is placed; the larger figure holds", team);
}

// Cut from the workers only, it keeps its hold and its peers: reports reach it by way of them, its commands fail, and
// sound machines look dead to it (own day of cuts: 40 released as silent). A few are asked before it gives up, so that
// workers which only go by way of others, though they need not, are no reason.
void Controller::watch_workers() {
  std::vector<Probe> probes;
  {
    Lock lock(mutex_);
    if (!decisive() || !workers_by_peers()) return;
    const double now = steady_now();
    const Book& book = *term_->book;
    for (std::uint32_t i = 0; i < book.host_count() && probes.size() < kAskedBeforeHandOver; ++i) {
      const Host& host = book.host(HostIdx{i});
      if (!host.agent.has_reported || host.terminated || host.lease_expired || host.address.empty()) continue;
      if (now - host.agent.last_heartbeat_at < settings_.report_s * kSilentReports &&
          now - host.agent.last_direct_contact_at > now - host.agent.last_heartbeat_at)
        probes.push_back({host.name, host.address});
    }
  }
  probe(probes);
  if (probes.empty() || std::any_of(probes.begin(), probes.end(), [](const Probe& p) { return p.answered; })) return;
  Lock lock(mutex_);
  if (decisive()) term_->hand_over = "the workers reach other controllers, and not this one";
}

// Not the one to judge is a leader that hears most machines by way of its peers, or not at all just now: in the first
// seconds of a cut from the workers, 12 sound ones were released. One that is short of processor time hears late.
std::vector<HostIdx> Controller::doubtful_machines() const {
  const double now = steady_now();
  const auto heard = hearing(*term_->book, now, kDirectReports * settings_.report_s);
  if (kDirectShare * heard.direct < heard.known) return {};
  return doubtful(heard_of(*term_->book, now, term_->taken_over_at), settings_.report_s);
}

void Controller::release_silent(HttpClient& cloud, std::stop_token stop) {
  const double began = steady_now();
  std::vector<Probe> probes;
  {
    Lock lock(mutex_);
    if (!decisive() || workers_by_peers()) return;
    for (HostIdx h : doubtful_machines()) {
      const Host& host = term_->book->host(h);
      if (probes.size() < budget_.probes) probes.push_back({host.name, host.address});
    }
  }
  if (probes.empty()) return;
  probe(probes);
  std::erase_if(probes, [](const Probe& p) { return p.answered; });
  if (probes.empty()) return;
  // A cut may refuse connections at once: by the second look it must show in what is heard of the zone.
  if (!pause_for(stop, std::max(0.0, began + kProbeTimeout - steady_now()))) return;
  std::vector<std::string> names;
  {
    Lock lock(mutex_);
    // Looked at once more: a cut may have begun just before they were asked, or one was heard of by way of another controller.
    if (!decisive()) return;
    std::set<std::string> still;
    for (HostIdx h : doubtful_machines()) still.insert(term_->book->host(h).name);
    for (const auto& p : probes)
      if (still.contains(p.name)) names.push_back(p.name);
  }
  if (names.size() > 1) spdlog::info("{} machines are silent and do not answer, while others of their zones do", names.size());
  release(cloud, names, "silent");
}

// Work of the lowest rank is done with what is free; machines are rented for it when an aim for its end needs them.
bool Controller::worth_renting(const Job& job, double wall) const {
  if (job.urgency.rank != Rank::idle) return true;
  double boot = 0;
  for (const auto& f : term_->book->flavors()) boot = boot == 0 ? f.boot_s : std::min(boot, f.boot_s);
  double by = job.urgency.due_at;
  for (const auto& o : settings_.objectives)
    if (o.job_class == job.spec.job_class && o.within_s > 0 && (o.kind == "finished" || o.kind == "wait"))
      by = std::min(by, job.eligible_since + o.within_s);
  return wall + kIdleHaste * (job.spec.expected_s + boot) > by;
}

bool Controller::knows_fleet(double now) const {
  // What an earlier leader rented is in no list yet, and what is up has not reported to this one.
  if (now - term_->taken_over_at >= kListedAfter * settings_.list_lag_s) return true;
  if (!term_->first_of_all) return false;
  std::size_t up = 0, heard = 0;
  for (std::uint32_t i = 0; i < term_->book->host_count(); ++i) {
    const Host& host = term_->book->host(HostIdx{i});
    if (!host.instance.listed || host.instance.status != Machine::Status::running) continue;
    ++up;
    heard += host.agent.has_reported;
  }
  return up > 0 && heard >= up - up / kNotHeard;
}

bool Controller::rent(HttpClient& cloud) {
  std::uint64_t number = 0;
  {
    Lock lock(mutex_);
    if (!decisive()) return false;
    const double now = steady_now();
    number = term_number_;
    if (!knows_fleet(now)) return false;
    if (!rental_ || rental_->term != number) {
      std::erase_if(refused_rentals_, [&](const auto& r) { return r.second <= now; });
      std::set<Offer> refused;
      for (const auto& [offer, until] : refused_rentals_) refused.insert(offer);
      // Renting pays only for what has no slot before the machine is up.
      RentingInput in{*term_->book, {}, refused, now, kMostAtOnce};
      for (const auto& u : unserved_)
        if (u.late > 0 && worth_renting(term_->book->job(u.job), wall_now())) in.unmet.push_back({u.job, u.late});
      // Machines with accelerators first: nothing else serves the work that needs them, and they take the longest to boot.
      std::stable_partition(in.unmet.begin(), in.unmet.end(),
                            [&](const auto& n) { return term_->book->job(n.job).spec.demand.accelerators > 0; });
      const auto rental = choose_rental(in);
      if (!rental) return false;
      // The epoch is of this term alone, so no other controller or process ever uses the name again.
      rental_ = {number, "r-" + std::to_string(term_->takeover_epoch) + "-" + std::to_string(++rentals_), *rental};
    }
  }
  const auto [term, name, rental] = *rental_;
  const std::string kind = [&] {
    Lock lock(mutex_);
    return term_number_ == number ? term_->book->kind_name(rental.offer.machine_type) : std::string();
  }();
  if (kind.empty()) return false;
  const auto r = cloud.post(kRentPath, rent_body(name, kind, rental.offer.yard, rental.offer.loaner, rental.count), kCloudTimeout);
  Lock lock(mutex_);
  // Without an answer the same request is made again: under another name it would rent twice.
  if (r.delivery == Delivery::in_doubt || r.is(429)) return false;
  rental_.reset();
  if (term_number_ != number) return false;
  const double now = steady_now();
  if (r.ok()) {
    try {
      const auto names = parse_rented(r.body);
      spdlog::info("rented {} of {} {} in {}{}{}", names.size(), rental.count, kind, rental.offer.yard, rental.offer.loaner ? ", spot" : "",
                   rental.late > 0 ? ", while " + std::to_string(rental.late) + " rented before are late" : "");
      for (const auto& host_name : names) {
        const HostIdx h = term_->book->host_named(host_name);
        Host& host = term_->book->host(h);
        host.instance.requested_at = now;
        // It may be up, and have reported, before this answer came.
        if (host.agent.has_reported || host.instance.listed) continue;
        term_->book->describe(h, "", kind, rental.offer.yard, rental.offer.loaner);
        host.instance.listed = true;
        host.instance.status = Machine::Status::booting;
      }
      if (names.size() < rental.count) refused_rentals_[rental.offer] = now + kRefusedPause;
    } catch (const Malformed& e) {
      spdlog::error("cloud: rental: {}", e.what());
    }
  } else if (r.is(503) && is_no_capacity(r.body)) {
    refused_rentals_[rental.offer] = now + kRefusedPause;
  } else {
    return false;
  }
  return true;
}

}  // namespace thistle
