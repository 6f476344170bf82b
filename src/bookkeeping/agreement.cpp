#include "bookkeeping/agreement.hpp"

#include <algorithm>
#include <bit>
#include <set>
#include <string_view>

#include "protocol/digest.hpp"

namespace thistle {

std::uint64_t digest_of(const TeamsFile& file) {
  std::uint64_t digest = 1;
  for (const auto& [name, terms] : file) {
    digest = digest_with(digest, digest_of_text(name));
    for (const double v : {terms.guarantee.cores, terms.guarantee.accelerators, terms.limit.cores, terms.limit.accelerators})
      digest = digest_with(digest, std::bit_cast<std::uint64_t>(v));
  }
  return digest == 0 ? 1 : digest;
}

namespace {

// What the controllers' files say of one team.
struct Said {
  bool all_known = true, all_same = true;
  std::vector<std::optional<TeamTerms>> known;
};

Said said_of(const std::string& team, const std::map<std::string, std::optional<TeamsFile>>& files) {
  Said out;
  for (const auto& [label, file] : files) {
    if (!file) {
      out.all_known = false;
      continue;
    }
    const auto it = file->find(team);
    out.known.push_back(it == file->end() ? std::nullopt : std::optional(it->second));
  }
  out.all_same = std::all_of(out.known.begin(), out.known.end(), [&](const auto& t) { return t == out.known.front(); });
  return out;
}

TeamRecord next_of(TeamRecord record, const Said& said) {
  if (said.all_known && said.all_same && !said.known.empty()) {
    record.proposed.reset();
    if (const auto& terms = said.known.front()) {
      record.agreed = terms;
      record.leaving = false;
    } else {
      record.leaving = record.agreed.has_value();
    }
    return record;
  }
  std::optional<TeamTerms> narrowed;
  for (const auto& terms : said.known) {
    if (!terms || terms == record.agreed) continue;
    narrowed = narrowed ? narrower(*narrowed, *terms) : *terms;
  }
  // A controller that can't be asked may still have what was proposed.
  if (narrowed || said.all_known) record.proposed = narrowed;
  return record;
}

}  // namespace

std::vector<TeamRecord> next_agreement(const Accounts& accounts, const TeamsFile& own,
                                       const std::map<std::string, std::optional<TeamsFile>>& files) {
  std::set<std::string> names;
  for (const auto& [name, terms] : own) names.insert(name);
  for (const auto& [label, file] : files)
    if (file)
      for (const auto& [name, terms] : *file) names.insert(name);
  for (const auto& t : accounts.teams())
    if (t.record) names.insert(t.name);
  std::vector<TeamRecord> out;
  for (const auto& name : names) {
    TeamRecord before;
    before.name = name;
    const TeamIdx t = accounts.find(name);
    const bool recorded = t.valid() && accounts.team(t).record;
    if (recorded) {
      before = *accounts.team(t).record;
    } else if (!accounts.agreed()) {
      // Nothing is in the ledger yet: what this leader decided by so far.
      if (const auto it = own.find(name); it != own.end()) before.agreed = it->second;
    }
    auto after = next_of(before, said_of(name, files));
    if (!recorded && !after.agreed && !after.proposed) continue;
    if (!recorded || after != before) out.push_back(std::move(after));
  }
  return out;
}

}  // namespace thistle
