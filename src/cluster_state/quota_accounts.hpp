// Quotas and usage of teams. Quotas (guarantee and limit) come from the settings file until the ledger contains quota records, and
// only from these afterwards: neither a changed file alone nor a failover to a controller with a different file changes a quota.
// `ClusterState` owns the accounts and charges them. No I/O and no clock.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/resources.hpp"

namespace thistlefront {

// Quota and usage of a team. Memory is neither limited nor guaranteed.
struct Team {
  std::string name;
  Resources guarantee, limit;                            // in force; 0: none
  Resources used = {};                                   // by placed tasks, including those whose start has an unknown outcome
  Resources unplaced = {};                               // by tasks that agents report but that are not placed
  std::optional<TeamQuotaRecord> record = std::nullopt;  // latest one in the ledger
  bool lacks_quota = false;                              // it has jobs, but no quota in the settings or the ledger
};

class QuotaAccounts {
 public:
  // `configured_teams`: from the settings file.
  explicit QuotaAccounts(const std::vector<Team>& configured_teams);

  [[nodiscard]] TeamIndex find(std::string_view name) const { return names_.find(name); }
  // Returns the team of a job that is in the ledger. An unknown team gets an account without a quota, on which nothing starts:
  // without an account, its jobs would have no limit once the team was removed from the settings.
  TeamIndex find_or_add(std::string_view name);
  // Replaces the quota of the record's team.
  void apply_record(const TeamQuotaRecord& record);
  // Whether the ledger contains the quota of any team.
  [[nodiscard]] bool has_agreed_quotas() const { return has_agreed_quotas_; }
  // Whether submissions of the team are accepted: it has a quota, and some controller's settings contain it.
  [[nodiscard]] bool accepts_jobs(TeamIndex index) const;

  // A task with this demand was placed.
  void charge(TeamIndex team, const Resources& demand) { teams_[team.value].used += demand; }
  // A task with this demand was removed from its node.
  void refund(TeamIndex team, const Resources& demand) { teams_[team.value].used -= demand; }
  // Raises the usage by placed tasks to at least this many cores and accelerators.
  void raise_usage(TeamIndex team, const Resources& used);
  // Resets the usage by reported but unplaced tasks, which is recomputed for each scheduling pass.
  void clear_unplaced();
  void add_unplaced(TeamIndex team, const Resources& demand) { teams_[team.value].unplaced += demand; }

  // Resources that the team may still use within its limit; `unlimited` for a resource without a limit.
  [[nodiscard]] Resources headroom(TeamIndex index, double unlimited) const;
  // The first team whose quota differs between settings files, or that is no longer in any file; nullopt if there is none. Format
  // versions before 3 cannot store such a quota.
  [[nodiscard]] std::optional<std::string> changing_team() const;

  [[nodiscard]] const std::vector<Team>& teams() const { return teams_; }
  [[nodiscard]] const Team& team(TeamIndex index) const { return teams_[index.value]; }

 private:
  Interner<TeamIndex> names_;
  std::vector<Team> teams_;
  bool has_agreed_quotas_ = false;
};

// The quota in force while controllers' settings differ: the lower limit, and the higher guarantee, capped at that limit.
TeamQuota stricter_quota(const TeamQuota& a, const TeamQuota& b);

}  // namespace thistlefront
