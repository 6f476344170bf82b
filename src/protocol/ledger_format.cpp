#include "protocol/ledger_format.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/digest.hpp"
#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

std::uint32_t read_format_version(const json& object) {
  const json* format_version = find_member(object, "level");
  if (!format_version) return 1;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(as_count(*format_version, "level"), UINT32_MAX));
}

// Reads the fields that only format versions with checksums have, and verifies the checksum.
void read_checksums(const json& object, const json& records, LedgerEntry& entry) {
  entry.generation = read_count(object, "generation");
  entry.previous_link = parse_digest(read_text(object, "before"));
  if (reuses_keys(entry.format_version)) entry.number = read_count(object, "n");
  if (const json* first_needed = find_member(object, "first")) entry.first_needed = as_count(*first_needed, "first");
  entry.checksum = parse_digest(read_text(object, "check"));
  std::uint64_t digest = 0;
  for (const auto& record : records) digest = extend_digest(digest, digest_of(record));
  if (checksum_of(entry, digest) != entry.checksum) throw ProtocolError("its check is wrong: it was altered");
}

Record parse_numbered_record(const json& items, std::size_t number) {
  try {
    return parse_record(items);
  } catch (const std::exception& e) {
    throw ProtocolError("record " + std::to_string(number), e.what());
  }
}

LedgerEntry entry_from(const json& object) {
  LedgerEntry entry;
  try {
    entry.format_version = read_format_version(object);
    entry.seq = read_count(object, "seq");
    const auto& records = read_list(object, "records");
    if (has_checksums(entry.format_version)) read_checksums(object, records, entry);
    for (const auto& record : records) entry.records.push_back(parse_numbered_record(record, entry.records.size() + 1));
  } catch (const ProtocolError&) {
    throw;
  } catch (const std::exception& e) {
    throw ProtocolError(e.what());
  }
  return entry;
}

EntryPage::Row parse_entry_row(const json& object) {
  EntryPage::Row row;
  row.key = read_text(object, "path");
  row.mod_revision = read_count(object, "stamp");
  try {
    const json& value = require_member(object, "value");
    if (!value.is_object()) fail_field("value", "not an object");
    row.entry.format_version = read_format_version(value);  // for the error message if the entry cannot be read
    row.entry = entry_from(value);
  } catch (const ProtocolError& e) {
    row.error = e.what();
  }
  return row;
}

}  // namespace

std::uint64_t extend_digest_with_record(std::uint64_t digest, const EncodedRecord& record) {
  return extend_digest(digest, record.digest);
}

std::uint64_t checksum_of(const EntryHead& head, std::uint64_t records_digest) {
  const auto checksum = extend_digest(extend_digest(records_digest, head.seq), head.generation);
  return reuses_keys(head.format_version) ? extend_digest(extend_digest(checksum, head.number), head.first_needed) : checksum;
}

std::uint64_t link_of(std::uint64_t previous_link, std::uint64_t number, std::uint64_t checksum) {
  return extend_digest(extend_digest(previous_link, number), checksum);
}

std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest) {
  std::string out = "{";
  if (has_checksums(head.format_version)) {
    out += "\"level\":" + std::to_string(head.format_version) + ",\"generation\":" + std::to_string(head.generation) + ",\"check\":\"" +
           digest_text(checksum_of(head, records_digest)) + "\",\"before\":\"" + digest_text(head.previous_link) + "\",";
    if (reuses_keys(head.format_version)) out += "\"n\":" + std::to_string(head.number) + ",";
    if (reuses_keys(head.format_version) || head.first_needed > 0) out += "\"first\":" + std::to_string(head.first_needed) + ",";
  }
  out += "\"seq\":" + std::to_string(head.seq) + ",\"records\":[";
  out.append(records);
  return out + "]}";
}

LedgerEntry parse_entry(std::string_view value) {
  return entry_from(parse_object(value));
}

EntryPage parse_entries(std::string_view body) {
  const json object = parse_object(body);
  EntryPage page;
  page.revision = read_count(object, "ledgerRev");
  page.truncated = read_flag(object, "truncated");
  for (const auto& row : read_list(object, "rows")) page.rows.push_back(parse_entry_row(row));
  return page;
}

}  // namespace thistlefront
