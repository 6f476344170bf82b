#include "testbed/run_report.hpp"

namespace thistlefront::testbed {

void print(std::ostream& out, const RunReport& report) {
  out << "seed " << report.seed << ": " << report.events << " events, " << report.accepted << " jobs accepted, " << report.completed_tasks
      << " tasks done, longest time without an acceptance " << report.longest_acceptance_gap_s << " s ("
      << report.longest_acceptance_gap_after_faults_s << " s after all faults ended), " << report.scenario_figures
      << report.jobs_without_reply << " unanswered jobs, " << report.unfenced_writes << " unfenced writes, "
      << report.oversized_transactions << " oversized transactions, " << report.violations.size() << " rules broken\n";
  const auto& dependent = report.dependent_jobs;
  if (dependent.accepted > 0)
    out << "  " << dependent.accepted << " dependent jobs, " << dependent.completed << " of them done, " << dependent.reported_cancelled
        << " reported as cancelled; the first was accepted " << report.first_dependent_after_s
        << " s after all controllers ran the newer build\n";
  out << "  fault pairs:";
  for (const auto& [names, count] : report.fault_pairs) out << " " << names << (count > 1 ? "*" + std::to_string(count) : "");
  out << '\n';
  for (const auto& violation : report.violations) out << "  " << violation << '\n';
  out.flush();
}

}  // namespace thistlefront::testbed
