// Reads the ledger's entries, in order, into a book, and checks that they are whole. Pure.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/tail.hpp"

namespace thistle {

class Reader {
 public:
  // `least` to `most`: the levels that this build reads.
  Reader(Book& book, std::uint32_t least, std::uint32_t most) : book_(book), least_(least), most_(most) {}
  // The next entry. False: it can't be read, and why() tells entry, place and reason; a part of the ledger
  // must not be led on, for an accepted job could be in the rest.
  bool take(const EntryPage::Row& row);
  [[nodiscard]] const std::string& why() const { return why_; }
  [[nodiscard]] std::size_t entries() const { return entries_; }
  [[nodiscard]] Tail::Found found() && { return std::move(found_); }

 private:
  bool fail(const std::string& key, const std::string& reason);

  Book& book_;
  std::uint32_t least_, most_;
  std::size_t entries_ = 0, jobs_ = 0;
  Tail::Found found_;
  std::string why_;
};

}  // namespace thistle
