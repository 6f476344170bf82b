// Builders of jobs, cluster states and ledger entries for tests.
#pragma once
#include "cluster_state/cluster_state.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

inline JobSpec submission(const std::string& uid, std::uint32_t tasks, double cores) {
  JobSpec spec;
  spec.uid = uid;
  spec.job_class = "c";
  spec.owner = "red";
  spec.task_count = tasks;
  spec.demand = {cores, 0, 1};
  spec.image = "img";
  spec.estimated_run_s = 10;
  return spec;
}

inline JobSpec job_with_dependencies(const std::string& uid, std::vector<std::string> dependencies, std::uint32_t tasks = 2) {
  JobSpec spec = submission(uid, tasks, 1);
  spec.priority = Priority::idle;
  spec.depends_on = std::move(dependencies);
  return spec;
}

inline JobAcceptedRecord accept_record(JobSpec spec, double accepted_at) {
  return {std::move(spec), 0.5, accepted_at};
}

// A cluster state with one team, "red", that has this limit of cores.
inline ClusterState cluster_state_with_core_limit(double core_limit) {
  return ClusterState({Team{"red", {}, {core_limit, 0, 0}, {}}});
}

inline std::size_t encoded_size(const Record& record) {
  return encode_record(record, 1).text.size();
}

// The stored form of a ledger entry with these records.
inline std::string stored_entry(const std::vector<Record>& records, EntryHead head = {}) {
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& record : records) {
    const auto encoded = encode_record(record, head.format_version);
    text += (text.empty() ? "" : ",") + encoded.text;
    digest = extend_digest_with_record(digest, encoded);
  }
  return entry_value(head, text, digest);
}

// The row of a stored entry, as a reader of the ledger gets it from the key-value store.
inline EntryPage::Row stored_row(const std::string& key, const std::string& value, std::uint64_t mod_revision) {
  const auto revision = std::to_string(mod_revision);
  const auto row = R"({"path":")" + key + R"(","stamp":)" + revision + R"(,"value":)" + value + "}";
  return parse_entries(R"({"rows":[)" + row + R"(],"truncated":false,"ledgerRev":)" + revision + "}").rows.at(0);
}

}  // namespace thistlefront
