#include "controller/metrics_reporter.hpp"

#include <initializer_list>
#include <string_view>
#include <utility>

#include "cluster_state/pending_summary.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
template <class Value>
void add_line(std::string& out, std::string_view name, Value value) {
  out += "thistlefront_";
  out += name;
  out += ' ';
  out += std::to_string(value);
  out += '\n';
}

struct Label {
  std::string_view name, value;
};

// Formats labels as {name="value",...}.
std::string label_set(std::initializer_list<Label> labels) {
  std::string out;
  for (const auto& label : labels) {
    out += out.empty() ? '{' : ',';
    out += label.name;
    out += "=\"";
    out += label.value;
    out += '"';
  }
  return out + "}";
}
}  // namespace

MetricsReporter::MetricsReporter(const SharedState& shared, const CommitQueue& commit_queue, const CommandSender& commands,
                                 const HeartbeatRelay& relay, const RolloutManager& rollout, const ControllerMetrics& metrics)
    : shared_(shared), commit_queue_(commit_queue), commands_(commands), relay_(relay), rollout_(rollout), metrics_(metrics) {}

HttpReply MetricsReporter::report(const AcceptedConnections& connections) const {
  Lock lock(shared_.mutex);
  const bool has_cluster_state = shared_.term && shared_.term->cluster_state;
  std::string out;
  add_leadership(out);
  add_counters(out);
  if (has_cluster_state) {
    const auto dependencies = shared_.term->cluster_state->dependency_graph().counts();
    add_line(out, "jobs_waiting_for_others", dependencies.blocked);
    add_line(out, "jobs_made_ready_total", dependencies.eligible);
    add_line(out, "jobs_cancelled_through_another_total", dependencies.cancelled);
    add_line(out, "dependency_steps_total", dependencies.steps);
  }
  add_resources(out, connections);
  if (has_cluster_state) {
    add_cluster_state(out);
    add_teams(out);
  }
  add_service_levels(out);
  add_histograms(out);
  HttpReply reply{200, std::move(out)};
  reply.content_type = "text/plain; version=0.0.4";
  return reply;
}

void MetricsReporter::add_leadership(std::string& out) const {
  const Term* term = shared_.term.get();
  add_line(out, "leading", shared_.role == Role::leading ? 1 : 0);
  add_line(out, "epoch", shared_.known_leader.fencing_token);
  add_line(out, "state_level", term ? term->active_version.format_version : 0);  // 0 on followers
  add_line(out, "state_level_writes", term ? term->active_version.written_version() : 0);
  add_line(out, "state_level_most", shared_.config.supported_versions.max_version);
  if (!rollout_.blocked_by().empty()) add_line(out, "state_level_waits_for" + label_set({{"reason", rollout_.blocked_by()}}), 1);
  const double unreadable_since = shared_.ledger_unreadable_since;
  add_line(out, "ledger_unread_seconds", unreadable_since != 0 ? steady_now() - unreadable_since : 0.0);
}

void MetricsReporter::add_counters(std::string& out) const {
  const Counters& counters = metrics_.counters;
  add_line(out, "accepted_total", counters.accepted.load());
  add_line(out, "refused_total", counters.refused.load());
  add_line(out, "unavailable_total", counters.unavailable.load());
  add_line(out, "started_total", counters.started.load());
  add_line(out, "finished_total", counters.finished.load());
  add_line(out, "preempted_total", counters.preempted.load());
  add_line(out, "passes_total", counters.passes.load());
  add_line(out, "pass_seconds_total", counters.pass_seconds.load());
  add_line(out, "pass_processor_seconds_total", counters.pass_processor_seconds.load());
  add_line(out, "commits_total", counters.commits.load());
  add_line(out, "commit_seconds_total", counters.commit_seconds.load());
  add_line(out, "writes_total", counters.writes.load());
  add_line(out, "writes_allowed_per_second", commit_queue_.allowed_writes_per_s());
  add_line(out, "start_stalled_seconds", shared_.start_stall_detector.stalled_for(steady_now()));
  add_line(out, "reports_total", counters.heartbeats.load());
  add_line(out, "reports_repeated_total", counters.repeated_heartbeats.load());
  add_line(out, "reports_passed_on_total", counters.relayed_heartbeats.load());
  const auto backlog = relay_.backlog();
  add_line(out, "intake_waiting", backlog.heartbeats);
  add_line(out, "intake_oldest_seconds", backlog.oldest_s);
  add_line(out, "starts_sent_total", counters.starts_sent.load());
  add_line(out, "kills_sent_total", counters.kills_sent.load());
  add_line(out, "acknowledgements_sent_total", counters.acknowledgements_sent.load());
  add_line(out, "unplaced_tasks_total", counters.unplaced_tasks.load());
  add_line(out, "token_raises_total", counters.token_raises.load());
  add_line(out, "suspected_jobs_total", counters.suspected.load());
  add_line(out, "machines_set_aside_total", counters.cordoned.load());
  add_line(out, "machines_deaf_total", counters.unresponsive.load());
  add_line(out, "handed_over_total", counters.hand_overs.load());
  add_line(out, "kept_in_cuts_total", counters.partition_renewals.load());
  add_line(out, "answered_in_doubt_total", counters.replied_while_uncertain.load());
  add_line(out, "kills_in_doubt_total", counters.kills_while_uncertain.load());
  add_line(out, "cancellations_not_confirmed_total", counters.unconfirmed_cancellations.load());
  add_line(out, "ledger_queue", commit_queue_.size());
}

void MetricsReporter::add_resources(std::string& out, const AcceptedConnections& connections) const {
  const ResourceBudget& budget = shared_.config.budget;
  const auto load = commands_.load();
  add_line(out, "renewals_late_seconds", metrics_.counters.renewal_lag_s.load());
  add_line(out, "threads_budget", budget.threads);
  add_line(out, "client_connections", connections.clients);
  add_line(out, "client_connections_most", budget.client_connections);
  add_line(out, "peer_connections", connections.peers);
  add_line(out, "peer_connections_most", budget.peer_connections);
  add_line(out, "senders", load.threads);
  add_line(out, "senders_busy", load.busy_threads);
  add_line(out, "senders_most", budget.sender_threads);
  add_line(out, "worker_connections", load.connections);
  add_line(out, "worker_connections_most", budget.worker_connections);
  add_line(out, "workers_due", load.due_nodes);
}

void MetricsReporter::add_cluster_state(std::string& out) const {
  const ClusterState& cluster_state = *shared_.term->cluster_state;
  std::uint64_t pending = 0, placed = 0;
  for (const JobIndex index : cluster_state.live()) {
    pending += cluster_state.job(index).pending;
    placed += cluster_state.job(index).placed.size();
  }
  add_line(out, "live_jobs", cluster_state.live().size());
  add_line(out, "waiting_tasks", pending);
  add_line(out, "placed_tasks", placed);
  for (const auto& summary : summarize_pending(cluster_state, wall_now())) {
    const auto labels = label_set({{"team", summary.team}, {"class", summary.job_class}, {"for", name_of(summary.reason)}});
    add_line(out, "waiting_tasks_by" + labels, summary.tasks);
    add_line(out, "unstarted_seconds" + labels, summary.unstarted_s);
  }
}

void MetricsReporter::add_teams(std::string& out) const {
  for (const auto& team : shared_.term->cluster_state->teams()) {
    const auto labels = label_set({{"team", team.name}});
    add_line(out, "team_cores_used" + labels, team.used.cores);
    add_line(out, "team_cores_unplaced" + labels, team.unplaced.cores);
    add_line(out, "team_cores_limit" + labels, team.limit.cores);
    add_line(out, "team_accelerators_used" + labels, team.used.accelerators);
    add_line(out, "team_accelerators_limit" + labels, team.limit.accelerators);
  }
  add_line(out, "accounts_amiss_total", metrics_.counters.mismatched_accounts.load());
}

void MetricsReporter::add_service_levels(std::string& out) const {
  for (const auto& [key, counts] : metrics_.service_levels.counts()) {
    const auto add = [&, &team = key.first, &job_class = key.second](const std::string& name, const char* what, auto value) {
      add_line(out, name + label_set({{"team", team}, {"class", job_class}, {"what", what}}), value);
    };
    add("served_jobs_total", "accepted", counts.accepted);
    add("served_jobs_total", "started", counts.started);
    add("served_jobs_total", "done", counts.done);
    add("served_jobs_total", "due", counts.done_with_deadline);
    add("served_jobs_total", "in_time", counts.done_in_time);
    add("served_jobs_total", "largest_started", counts.largest_started);
    add("served_jobs_total", "largest_started_within_240s", counts.largest_started_in_time);
    add("served_jobs_total", "withdrawn_unstarted", counts.withdrawn_unstarted);
    if (counts.replica_requested_s == 0) continue;
    add("served_replica_seconds_total", "asked", counts.replica_requested_s);
    add("served_replica_seconds_total", "up", counts.replica_running_s);
  }
}

void MetricsReporter::add_histograms(std::string& out) const {
  metrics_.accept_waits.print(out, "thistlefront_accept_seconds", "");
  metrics_.guarantee_waits.print(out, "thistlefront_guarantee_wait_seconds", "");
  metrics_.pass_times.print(out, "thistlefront_pass_seconds", "");
  for (const auto& [job_class, waits] : metrics_.start_waits)
    waits.print(out, "thistlefront_start_wait_seconds", "class=\"" + job_class + "\"");
}

}  // namespace thistlefront
