// What each team may use, and what it uses. Terms (guarantee and limit) come from the settings file until the
// ledger holds some, and from the ledger's records from then on: so that a changed file changes nothing by
// itself, and a takeover by a controller with another file neither. Pure.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/resources.hpp"

namespace thistlefront {

struct Team {
  std::string name;
  Resources guarantee, limit;                            // in force; 0: none
  Resources used = {};                                   // by placed tasks, those in doubt of having started included
  Resources unplaced = {};                               // by tasks that workers report and the book places nowhere
  std::optional<TeamQuotaRecord> record = std::nullopt;  // the ledger's terms
  bool lacks_quota = false;                              // a job's owner that nobody has told terms of
};

class QuotaAccounts {
 public:
  explicit QuotaAccounts(const std::vector<Team>& of_settings);

  [[nodiscard]] TeamIndex find(std::string_view name) const { return names_.find(name); }
  // The team of a job that is in the ledger. One without terms gets an account on which nothing starts: with
  // none, its work had no limit at all once the team was taken out of the settings.
  TeamIndex find_or_add(std::string_view name);
  // What the ledger says of a team, in place of anything said before.
  void apply_record(const TeamQuotaRecord& record);
  // Some terms are in the ledger.
  [[nodiscard]] bool agreed() const { return agreed_; }
  // Takes submissions: it has terms, and is not leaving.
  [[nodiscard]] bool accepts_jobs(TeamIndex team) const;

  void charge(TeamIndex team, const Resources& need) { teams_[team.value].used += need; }
  void refund(TeamIndex team, const Resources& need) { teams_[team.value].used -= need; }
  void raise_usage(TeamIndex team, const Resources& used);
  // What workers report beside what is placed, by team, counted anew for each pass.
  void clear_unplaced();
  void add_unplaced(TeamIndex team, const Resources& need) { teams_[team.value].unplaced += need; }

  // What may be started within the limit; what is not limited is `unlimited`.
  [[nodiscard]] Resources headroom(TeamIndex team, double unlimited) const;
  // The first team whose terms differ from place to place or outlive the settings, for which an older level
  // has no form.
  [[nodiscard]] std::optional<std::string> changing_team() const;

  [[nodiscard]] const std::vector<Team>& teams() const { return teams_; }
  [[nodiscard]] const Team& team(TeamIndex t) const { return teams_[t.value]; }

 private:
  Interner<TeamIndex> names_;
  std::vector<Team> teams_;
  bool agreed_ = false;
};

// What holds while controllers differ: the lower limit, and the higher guarantee as far as it fits.
TeamQuota stricter_quota(const TeamQuota& a, const TeamQuota& b);

}  // namespace thistlefront
