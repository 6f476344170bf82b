// What each team may use, and what it uses. Quotas (guarantee and limit) come from the settings file until the ledger holds
// some, and only from the ledger's records from then on: a changed file alone changes nothing, nor does a failover to a
// controller with another file. `ClusterState` owns the accounts and charges them. Pure.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/resources.hpp"

namespace thistlefront {

// A team's quota and usage. Memory is neither limited nor guaranteed.
struct Team {
  std::string name;
  Resources guarantee, limit;                            // in force; 0: none
  Resources used = {};                                   // by placed tasks, also those whose start is uncertain
  Resources unplaced = {};                               // by tasks that agents report and that are placed nowhere
  std::optional<TeamQuotaRecord> record = std::nullopt;  // the latest one of the ledger
  bool lacks_quota = false;                              // it owns jobs, and neither settings nor ledger gave it a quota
};

class QuotaAccounts {
 public:
  // `configured_teams`: those of the settings file.
  explicit QuotaAccounts(const std::vector<Team>& configured_teams);

  [[nodiscard]] TeamIndex find(std::string_view name) const { return names_.find(name); }
  // The team of a job that is in the ledger. A team without a quota gets an account on which nothing starts; without an
  // account, its jobs had no limit at all once the team was taken out of the settings.
  TeamIndex find_or_add(std::string_view name);
  // The record replaces every earlier quota of the team.
  void apply_record(const TeamQuotaRecord& record);
  // Whether the ledger holds the quota of some team.
  [[nodiscard]] bool has_agreed_quotas() const { return agreed_; }
  // Whether submissions of the team are accepted: it has a quota, and some controller's settings still name it.
  [[nodiscard]] bool accepts_jobs(TeamIndex index) const;

  // A task with this demand was placed.
  void charge(TeamIndex team, const Resources& demand) { teams_[team.value].used += demand; }
  // A task with this demand was removed from its node.
  void refund(TeamIndex team, const Resources& demand) { teams_[team.value].used -= demand; }
  // The team uses at least this many cores and accelerators.
  void raise_usage(TeamIndex team, const Resources& used);
  // Starts a new count of the tasks that agents report and that are placed nowhere; made for each scheduling pass.
  void clear_unplaced();
  void add_unplaced(TeamIndex team, const Resources& demand) { teams_[team.value].unplaced += demand; }

  // What may still be started within the limit; an amount without a limit is `unlimited`.
  [[nodiscard]] Resources headroom(TeamIndex index, double unlimited) const;
  // The first team whose quota is not yet the same in all settings, or that is in no settings any more: format versions
  // before 3 cannot store it.
  [[nodiscard]] std::optional<std::string> changing_team() const;

  [[nodiscard]] const std::vector<Team>& teams() const { return teams_; }
  [[nodiscard]] const Team& team(TeamIndex index) const { return teams_[index.value]; }

 private:
  Interner<TeamIndex> names_;
  std::vector<Team> teams_;
  bool agreed_ = false;
};

// The quota in force while controllers' settings differ: the lower limit, and the higher guarantee as far as the limit allows.
TeamQuota stricter_quota(const TeamQuota& a, const TeamQuota& b);

}  // namespace thistlefront
