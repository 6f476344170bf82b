// Dealings with the cloud: machine types, the machine list, rentals and releases.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "cluster_state/pending_summary.hpp"
#include "controller/controller.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"
#include "worker_control/one_way_partition.hpp"
#include "worker_control/reachability.hpp"

namespace thistlefront {

namespace {
constexpr double kLongWait = 60.0;     // seconds without a start: told
constexpr double kWaitsPeriod = 30.0;  // seconds between looks at what waits
constexpr double kServedGap = 10.0;    // a longer one was not looked at by this leader
constexpr double kCloudTimeout = 5.0;
constexpr double kMachineTypesPeriod = 120.0;
constexpr double kRefusedPause = 20.0;  // after "no capacity"
constexpr std::size_t kMostReleased = 50;
constexpr double kQuiet = 20.0;  // no work waits or runs, services aside, for this long
constexpr double kIdleWhenQuiet = 20.0;
constexpr double kIdleWhenBusy = 300.0;
constexpr double kSilentHeartbeats = 2.0;   // report periods
constexpr double kDirectHeartbeats = 1.45;  // report periods within which one that reaches it has been heard
constexpr std::size_t kDirectShare = 3;     // one in so many
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
  double machine_types_at = -1e9, listed_at = -1e9;
  std::uint64_t number = 0;
  while (!stop.stop_requested()) {
    bool leading = false, deciding = false;
    {
      Lock lock(mutex_);
      role_changed_.wait(lock, stop, [&] { return role_ == Role::leading; });
      if (stop.stop_requested()) return;
      leading = role_ == Role::leading;
      deciding = may_decide();
      if (number != term_number_) {
        number = term_number_;
        machine_types_at = listed_at = -1e9;
      }
    }
    const double now = steady_now();
    if (leading && now - machine_types_at > kMachineTypesPeriod && refresh_machine_types(cloud)) machine_types_at = now;
    if (leading && now - listed_at > std::max(1.0, settings_.list_lag_s / 2) && refresh_instances(cloud)) listed_at = now;
    if (deciding) {
      report_start_stalls();
      check_worker_reachability();
      release_silent_instances(cloud, stop);
      release_unneeded_instances(cloud);
      // Several at a time: one a round, 25 offers took 17 s on the first day and after a loss (kaubaalus fleet, calm).
      const auto most = std::max(1.0, settings_.cloud_rps * kRentShare);
      for (int asked = 0; options_.scale_out && asked < most && request_scale_out(cloud); ++asked) {
      }
    }
    if (!pause_for(stop, std::max(0.5, 2.0 / settings_.cloud_rps))) return;
  }
}

bool Controller::refresh_machine_types(HttpClient& cloud) {
  const auto r = cloud.get(kMachineTypesPath, kCloudTimeout);
  if (!r.ok()) return false;
  try {
    auto machine_types = parse_machine_types(r.body);
    Lock lock(mutex_);
    if (!may_decide()) return false;
    const auto& old = term_->cluster_state->machine_types();
    const bool same = old.size() == machine_types.size() &&
                      std::equal(old.begin(), old.end(), machine_types.begin(), [](const MachineType& a, const MachineType& b) {
                        return a.name == b.name && a.capacity == b.capacity && a.boot_s == b.boot_s;
                      });
    if (!same) {
      // Kept in the ledger, so that a later leader can decide on submissions during a cloud outage.
      spdlog::info("{} machine types known", machine_types.size());
      MachineTypesRecord record{std::move(machine_types)};
      if (LedgerWriter::fits_in_entry(record, entry_bytes())) {
        enqueue({std::move(record)});
      } else {
        spdlog::info("the machine types fit into no entry of the ledger: each leader asks the cloud for them");
        term_->cluster_state->apply(record);
      }
    }
    return true;
  } catch (const ProtocolError& e) {
    spdlog::error("cloud: machine types: {}", e.what());
    return false;
  }
}

bool Controller::refresh_instances(HttpClient& cloud) {
  std::vector<Instance> all;
  std::string from;
  for (;;) {
    const auto r = cloud.get(instances_path(from, kPage), kCloudTimeout);
    if (!r.ok()) return false;
    try {
      auto page = parse_instances(r.body);
      for (auto& m : page.instances) all.push_back(std::move(m));
      if (!page.truncated || page.instances.empty()) break;
      from = all.back().name;
    } catch (const ProtocolError& e) {
      spdlog::error("cloud: machine list: {}", e.what());
      return false;
    }
  }
  Lock lock(mutex_);
  if (role_ != Role::leading) return false;
  ClusterState& cluster_state = *term_->cluster_state;
  const double now = steady_now();
  for (const auto& m : all) {
    const NodeIndex h = cluster_state.find_or_add_node(m.name);
    Node& node = cluster_state.node(h);
    if (node.terminated) continue;
    const bool fresh = !node.instance.listed;
    node.instance.listed = true;
    node.instance.listed_at = now;
    node.instance.status = m.status;
    node.instance.age_s = m.age_s;
    if (m.status == Instance::Status::running && node.instance.running_since == 0) node.instance.running_since = now;
    if (!node.agent.has_reported) cluster_state.describe_node(h, m.address, m.machine_type, m.zone, m.spot);
    // A machine new to this leader may hold tasks: its worker learns of the epoch at once.
    if (fresh && !node.agent.has_reported && m.status == Instance::Status::running) enqueue_commands(h, true);
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
    const NodeIndex h = term_->cluster_state->find_node(name);
    if (!h.valid()) continue;
    // An answered release: the machine and all on it are gone.
    term_->cluster_state->node(h).terminated = true;
    spdlog::info("{}: released, {}", name, why);
    auto records = evict_all_tasks(*term_->cluster_state, h);
    if (!records.empty()) enqueue(std::move(records));
  }
}

void Controller::release_unneeded_instances(HttpClient& cloud) {
  std::vector<std::string> dead, idle, faulty, late, mute, unresponsive;
  {
    Lock lock(mutex_);
    if (!may_decide()) return;
    ClusterState& cluster_state = *term_->cluster_state;
    const double now = steady_now();
    // With no work about, a machine is returned soon; else it is kept a while, for boots and fetches take time.
    const bool quiet = now - std::max(active_at_, term_->taken_over_at) > kQuiet;
    const double idle_limit = quiet ? kIdleWhenQuiet : kIdleWhenBusy;
    const bool settled = now - term_->taken_over_at > kMuteLeases * settings_.lease_s;
    std::set<ZoneIndex> heard_in;
    for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i)
      if (now - cluster_state.node(NodeIndex{i}).agent.last_direct_contact_at < settings_.lease_s)
        heard_in.insert(cluster_state.node(NodeIndex{i}).zone);
    for (NodeIndex h : unresponsive_nodes_to_replace(cluster_state, now, settings_.lease_s)) {
      if (starting_.contains(h) || unresponsive.size() >= kMostReleased) continue;
      cluster_state.node(h).releasing = true;
      unresponsive.push_back(cluster_state.node(h).name);
    }
    for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
      Node& node = cluster_state.node(NodeIndex{i});
      if (!node.instance.listed || node.terminated || dead.size() + idle.size() + late.size() + mute.size() >= kMostReleased) continue;
      const MachineType* machine_type = cluster_state.machine_type(node.machine_type);
      if (node.instance.status == Instance::Status::failed || has_failed_to_boot(node, machine_type, now)) {
        dead.push_back(node.name);
        continue;
      }
      // A late one is kept while there is work.
      if (quiet && settled && boot_progress(node, machine_type, now) == BootProgress::late) {
        late.push_back(node.name);
        continue;
      }
      // Up for long, by the list, and never heard of; not where a cut may be the reason.
      if (!node.agent.has_reported && node.placed.empty() && node.instance.status == Instance::Status::running &&
          now - node.instance.running_since > kMuteLeases * settings_.lease_s && heard_in.contains(node.zone)) {
        mute.push_back(node.name);
        continue;
      }
      // Failed once more after it was tried again: another machine in its place serves better.
      if (node.placed.empty() && !starting_.contains(NodeIndex{i}) &&
          cluster_state.failure_attribution().should_replace(NodeIndex{i}, wall_now())) {
        node.releasing = true;
        faulty.push_back(node.name);
        continue;
      }
      const bool unused = node.placed.empty() && !starting_.contains(NodeIndex{i}) && node.idle_since > 0;
      const bool wanted = !quiet && !unserved_.empty();
      if (node.releasing || (unused && !wanted && now - node.idle_since > idle_limit)) {
        node.releasing = true;
        idle.push_back(node.name);
      }
    }
  }
  release(cloud, dead, "dead");
  release(cloud, unresponsive, "no answer reaches it");
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
        const auto heartbeat = parse_heartbeat(r.body);
        Lock lock(mutex_);
        if (role_ != Role::leading || heartbeat.node != p.name) return;
        apply_message(heartbeat, false);
        Node& node = term_->cluster_state->node(term_->cluster_state->find_or_add_node(p.name));
        node.agent.last_direct_contact_at = steady_now();
        node.commands.failing = false;
        term_->commands_failing_since = 0;
      } catch (const ProtocolError& e) {
        spdlog::error("{}: malformed status: {}", p.name, e.what());
      }
    });
  }
  run_at_once(work);
}

// On one play of operations on kaubaalus ops nothing ran for minutes, and nothing in the log said so.
void Controller::report_start_stalls() {
  Lock lock(mutex_);
  const double now = steady_now();
  // A gap of more than a few looks is not this leader's to count.
  const double since = std::exchange(served_looked_at_, now);
  if (!may_decide()) return;
  if (now - since < kServedGap) service_levels_.add_replica_time(*term_->cluster_state, now - since);
  if (start_stall_detector_.should_report(now))
    spdlog::info("nothing has started for {:.0f} s though work fits: {} records wait for the ledger, the service's writes {}",
                 start_stall_detector_.stalled_for(now), queue_.size(), store_failing_since_ != 0 ? "fail" : "go through");
  if (now - waits_told_at_ < kWaitsPeriod) return;
  waits_told_at_ = now;
  for (const auto& w : summarize_pending(*term_->cluster_state, wall_now()))
    if (w.unstarted_s > kLongWait)
      spdlog::info("team {}, class {}: {} tasks wait for {}, the oldest job of which nothing has run for {:.0f} s", w.team, w.job_class,
                   w.tasks, name_of(w.reason), w.unstarted_s);
  const auto mismatched_accounts = term_->cluster_state->correct_accounts();
  counters_.mismatched_accounts += mismatched_accounts.size();
  for (const auto& team : mismatched_accounts) spdlog::error("team {}: its account is not what is placed; the larger figure holds", team);
}

// Cut from the workers only, it keeps its hold and its peers: reports reach it by way of them, its commands fail, and
// sound machines look dead to it (own day of cuts: 40 released as silent). A few are asked before it gives up, so that
// workers which only go by way of others, though they need not, are no reason.
void Controller::check_worker_reachability() {
  std::vector<Probe> probes;
  {
    Lock lock(mutex_);
    if (!may_decide() || !are_workers_heard_through_peers()) return;
    const double now = steady_now();
    const ClusterState& cluster_state = *term_->cluster_state;
    for (std::uint32_t i = 0; i < cluster_state.node_count() && probes.size() < kAskedBeforeHandOver; ++i) {
      const Node& node = cluster_state.node(NodeIndex{i});
      if (!node.agent.has_reported || node.terminated || node.lease_expired || node.address.empty()) continue;
      if (now - node.agent.last_heartbeat_at < settings_.heartbeat_interval_s * kSilentHeartbeats &&
          now - node.agent.last_direct_contact_at > now - node.agent.last_heartbeat_at)
        probes.push_back({node.name, node.address});
    }
  }
  probe(probes);
  if (probes.empty() || std::any_of(probes.begin(), probes.end(), [](const Probe& p) { return p.answered; })) return;
  Lock lock(mutex_);
  if (may_decide()) term_->hand_over = "the workers reach other controllers, and not this one";
}

// Not the one to judge is a leader that hears most machines by way of its peers, or not at all just now: in the first
// seconds of a cut from the workers, 12 sound ones were released. One that is short of processor time hears late.
std::vector<NodeIndex> Controller::suspect_silent_nodes() const {
  const double now = steady_now();
  const auto heard = measure_reachability(*term_->cluster_state, now, kDirectHeartbeats * settings_.heartbeat_interval_s);
  if (kDirectShare * heard.direct < heard.known) return {};
  return suspect_nodes(measure_silence(*term_->cluster_state, now, term_->taken_over_at), settings_.heartbeat_interval_s);
}

void Controller::release_silent_instances(HttpClient& cloud, std::stop_token stop) {
  const double began = steady_now();
  std::vector<Probe> probes;
  {
    Lock lock(mutex_);
    if (!may_decide() || are_workers_heard_through_peers()) return;
    for (NodeIndex h : suspect_silent_nodes()) {
      const Node& node = term_->cluster_state->node(h);
      if (probes.size() < budget_.probes) probes.push_back({node.name, node.address});
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
    if (!may_decide()) return;
    std::set<std::string> still;
    for (NodeIndex h : suspect_silent_nodes()) still.insert(term_->cluster_state->node(h).name);
    for (const auto& p : probes)
      if (still.contains(p.name)) names.push_back(p.name);
  }
  if (names.size() > 1) spdlog::info("{} machines are silent and do not answer, while others of their zones do", names.size());
  release(cloud, names, "silent");
}

// Work of the lowest rank is done with what is free; machines are rented for it when an aim for its end needs them.
bool Controller::is_worth_scaling_out(const Job& job, double wall) const {
  if (job.urgency.priority != Priority::idle) return true;
  double boot = 0;
  for (const auto& f : term_->cluster_state->machine_types()) boot = boot == 0 ? f.boot_s : std::min(boot, f.boot_s);
  double by = job.urgency.deadline_at;
  for (const auto& o : settings_.objectives)
    if (o.job_class == job.spec.job_class && o.within_s > 0 && (o.kind == "finished" || o.kind == "wait"))
      by = std::min(by, job.eligible_since + o.within_s);
  return wall + kIdleHaste * (job.spec.estimated_run_s + boot) > by;
}

bool Controller::is_fleet_known(double now) const {
  // What an earlier leader rented is in no list yet, and what is up has not reported to this one.
  if (now - term_->taken_over_at >= kListedAfter * settings_.list_lag_s) return true;
  if (!term_->first_of_all) return false;
  std::size_t up = 0, heard = 0;
  for (std::uint32_t i = 0; i < term_->cluster_state->node_count(); ++i) {
    const Node& node = term_->cluster_state->node(NodeIndex{i});
    if (!node.instance.listed || node.instance.status != Instance::Status::running) continue;
    ++up;
    heard += node.agent.has_reported;
  }
  return up > 0 && heard >= up - up / kNotHeard;
}

bool Controller::request_scale_out(HttpClient& cloud) {
  std::uint64_t number = 0;
  {
    Lock lock(mutex_);
    if (!may_decide()) return false;
    const double now = steady_now();
    number = term_number_;
    if (!is_fleet_known(now)) return false;
    if (!pending_scale_out_ || pending_scale_out_->term != number) {
      std::erase_if(refused_offers_, [&](const auto& r) { return r.second <= now; });
      std::set<MachineOffer> refused;
      for (const auto& [offer, until] : refused_offers_) refused.insert(offer);
      // Renting pays only for what has no slot before the machine is up.
      ScaleOutInput in{*term_->cluster_state, {}, refused, now, kMostAtOnce};
      for (const auto& u : unserved_)
        if (u.late > 0 && is_worth_scaling_out(term_->cluster_state->job(u.job), wall_now())) in.unmet.push_back({u.job, u.late});
      // Machines with accelerators first: nothing else serves the work that needs them, and they take the longest to boot.
      std::stable_partition(in.unmet.begin(), in.unmet.end(),
                            [&](const auto& n) { return term_->cluster_state->job(n.job).spec.demand.accelerators > 0; });
      const auto rental = choose_scale_out(in);
      if (!rental) return false;
      // The epoch is of this term alone, so no other controller or process ever uses the name again.
      pending_scale_out_ = {number, "r-" + std::to_string(term_->takeover_token) + "-" + std::to_string(++scale_out_count_), *rental};
    }
  }
  const auto [term, name, rental] = *pending_scale_out_;
  const std::string kind = [&] {
    Lock lock(mutex_);
    return term_number_ == number ? term_->cluster_state->machine_type_name(rental.offer.machine_type) : std::string();
  }();
  if (kind.empty()) return false;
  const auto r = cloud.post(kRentPath, rent_body(name, kind, rental.offer.zone, rental.offer.spot, rental.count), kCloudTimeout);
  Lock lock(mutex_);
  // Without an answer the same request is made again: under another name it would rent twice.
  if (r.delivery == Delivery::in_doubt || r.is(429)) return false;
  pending_scale_out_.reset();
  if (term_number_ != number) return false;
  const double now = steady_now();
  if (r.ok()) {
    try {
      const auto names = parse_rented(r.body);
      spdlog::info("rented {} of {} {} in {}{}{}", names.size(), rental.count, kind, rental.offer.zone, rental.offer.spot ? ", spot" : "",
                   rental.late > 0 ? ", while " + std::to_string(rental.late) + " rented before are late" : "");
      for (const auto& node_name : names) {
        const NodeIndex h = term_->cluster_state->find_or_add_node(node_name);
        Node& node = term_->cluster_state->node(h);
        node.instance.requested_at = now;
        // It may be up, and have reported, before this answer came.
        if (node.agent.has_reported || node.instance.listed) continue;
        term_->cluster_state->describe_node(h, "", kind, rental.offer.zone, rental.offer.spot);
        node.instance.listed = true;
        node.instance.status = Instance::Status::booting;
      }
      if (names.size() < rental.count) refused_offers_[rental.offer] = now + kRefusedPause;
    } catch (const ProtocolError& e) {
      spdlog::error("cloud: rental: {}", e.what());
    }
  } else if (r.is(503) && is_no_capacity(r.body)) {
    refused_offers_[rental.offer] = now + kRefusedPause;
  } else {
    return false;
  }
  return true;
}

}  // namespace thistlefront
