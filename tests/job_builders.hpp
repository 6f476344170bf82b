// Jobs and books that several tests begin with.
#pragma once
#include "cluster_state/cluster_state.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

inline JobSpec submission(const std::string& uid, std::uint32_t tasks, double cores) {
  JobSpec s;
  s.uid = uid;
  s.job_class = "c";
  s.owner = "red";
  s.task_count = tasks;
  s.demand = {cores, 0, 1};
  s.image = "img";
  s.estimated_run_s = 10;
  return s;
}

// One team, red, and its limit.
inline ClusterState book_of_red(double cores_max) {
  return ClusterState({Team{"red", {}, {cores_max, 0, 0}, {}}});
}

inline std::size_t encoded_size(const Record& record) {
  return encode_record(record, 1).text.size();
}

// An entry with these records as it is stored.
inline std::string stored_entry(const std::vector<Record>& records, EntryHead head = {}) {
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& r : records) {
    const auto encoded = encode_record(r, head.format_version);
    text += (text.empty() ? "" : ",") + encoded.text;
    digest = digest_with_record(digest, encoded);
  }
  return entry_value(head, text, digest);
}

}  // namespace thistlefront
