// Jobs and books that several tests begin with.
#pragma once
#include "bookkeeping/book.hpp"

namespace thistle {

inline Submission submission(const std::string& uid, std::uint32_t pieces, double cores) {
  Submission s;
  s.uid = uid;
  s.job_class = "c";
  s.owner = "red";
  s.pieces = pieces;
  s.need = {cores, 0, 1};
  s.bundle = "img";
  s.expected_s = 10;
  return s;
}

// One team, red, and its limit.
inline Book book_of_red(double cores_max) { return Book({Team{"red", {}, {cores_max, 0, 0}, {}}}); }

}  // namespace thistle
