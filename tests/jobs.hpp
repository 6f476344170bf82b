// Jobs and books that several tests begin with.
#pragma once
#include "bookkeeping/book.hpp"
#include "protocol/messages.hpp"

namespace thistle {

inline Submission submission(const std::string& uid, std::uint32_t pieces, double cores) {
  Submission s;
  s.uid = uid;
  s.job_class = "c";
  s.owner = "red";
  s.task_count = pieces;
  s.demand = {cores, 0, 1};
  s.bundle = "img";
  s.expected_s = 10;
  return s;
}

// One team, red, and its limit.
inline Book book_of_red(double cores_max) {
  return Book({Team{"red", {}, {cores_max, 0, 0}, {}}});
}

inline std::size_t encoded_size(const Record& record) {
  return encode_record(record, 1).text.size();
}

// An entry with these records as it is stored.
inline std::string stored_entry(const std::vector<Record>& records, EntryHead head = {}) {
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& r : records) {
    const auto encoded = encode_record(r, head.level);
    text += (text.empty() ? "" : ",") + encoded.text;
    digest = digest_with_record(digest, encoded);
  }
  return entry_value(head, text, digest);
}

}  // namespace thistle
