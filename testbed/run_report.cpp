#include "testbed/run_report.hpp"

namespace thistlefront::testbed {

void print(std::ostream& out, const RunReport& report) {
  out << "seed " << report.seed << ": " << report.events << " events, " << report.accepted << " jobs accepted, " << report.tasks_done
      << " tasks done, longest without an acceptance " << report.longest_without_acceptance_s << " s ("
      << report.longest_without_acceptance_healed_s << " s when all was well), " << report.scenario_figures << report.unanswered
      << " unanswered, " << report.unfenced << " unfenced, " << report.too_large << " too large, " << report.broken.size()
      << " rules broken\n";
  const auto& dependent = report.dependent_jobs;
  if (dependent.accepted > 0)
    out << "  " << dependent.accepted << " jobs waited for others, " << dependent.mark_done << " of them done, " << dependent.mark_cancelled
        << " told cancelled; the first was accepted " << report.first_dependent_after_s << " s after all were new\n";
  out << "  pairs:";
  for (const auto& [names, times] : report.pairs) out << " " << names << (times > 1 ? "*" + std::to_string(times) : "");
  out << '\n';
  for (const auto& rule : report.broken) out << "  " << rule << '\n';
  out.flush();
}

}  // namespace thistlefront::testbed
