// Wire format of the cloud's API. The tests compare with literal strings or bytes, so that they fail if a change of the code alters what
// other programs read or write.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "model/machine.hpp"
#include "protocol/cloud_messages.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

TEST(WireFormatCloud, PathsAreUnchanged) {
  EXPECT_STREQ(kMachineTypesPath, "/flavors");
  EXPECT_STREQ(kRentPath, "/rentals");
  EXPECT_STREQ(kReleasePath, "/rentals/release");
  EXPECT_EQ(instances_path("", 500), "/rentals?page=500");
  EXPECT_EQ(instances_path("m-000230", 20), "/rentals?page=20&from=m-000230");
}

const std::string kMachineTypeList = R"({"hostKinds":[{"sku":"g8","cores":96,"accelerators":8,"ramGb":768,"cacheGb":200,"fetchGbPerS":1.0,)"
                                     R"("price":12.0,"marketPrice":4.5,"bootS":45,"yards":["a","b"]}]})";

TEST(WireFormatCloud, ParsesEachFieldOfAMachineType) {
  const auto machine_types = parse_machine_types(kMachineTypeList);
  ASSERT_EQ(machine_types.size(), 1u);
  EXPECT_EQ(machine_types[0].name, "g8");
  EXPECT_EQ(machine_types[0].capacity.cores, 96);
  EXPECT_EQ(machine_types[0].capacity.accelerators, 8);
  EXPECT_EQ(machine_types[0].capacity.ram_gb, 768);
  EXPECT_EQ(machine_types[0].image_cache_gb, 200);
  EXPECT_EQ(machine_types[0].image_fetch_gb_per_s, 1);
  EXPECT_EQ(machine_types[0].price, 12);
  EXPECT_EQ(machine_types[0].spot_price, 4.5);
  EXPECT_EQ(machine_types[0].boot_s, 45);
  EXPECT_EQ(machine_types[0].zones, (std::vector<std::string>{"a", "b"}));
}

// Guards against final refusals (422) of jobs that could run, and against instances taken for free: a machine type without the number
// of its accelerators or its price was offered with 0 of them.
TEST(WireFormatCloud, RefusesAMachineTypeThatLacksAField) {
  expect_fields_required(kMachineTypeList, "/hostKinds/0", {}, [](const std::string& body) { parse_machine_types(body); });
}

TEST(WireFormatCloud, ErrorNamesTheInvalidFieldOfAMachineType) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_machine_types(body); }); };
  EXPECT_EQ(error("{}"), "hostKinds: missing");
  EXPECT_EQ(error(R"({"hostKinds":{}})"), "hostKinds: not a list");
  EXPECT_EQ(error(R"({"hostKinds":[3]})"), "hostKinds: not objects");
  EXPECT_EQ(error(R"({"hostKinds":[{"cores":4,"ramGb":16}]})"), "sku: missing");
  EXPECT_EQ(error(R"({"hostKinds":[{"sku":"c4","ramGb":16}]})"), "cores: missing");
  EXPECT_EQ(error(R"({"hostKinds":[{"sku":"c4","cores":4}]})"), "ramGb: missing");
  EXPECT_EQ(error(replaced(kMachineTypeList, R"(["a","b"])", "[7]")), "yards: not a string");
}

TEST(WireFormatCloud, ParsesEachFieldOfAnInstance) {
  const auto page = parse_instances(
      R"({"hosts":[{"uid":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,"status":"running",)"
      R"("heldS":61.5},)"
      R"({"uid":"m-000232","hostKind":"c4","yard":"b","loaners":false,"status":"booting","heldS":0},)"
      R"({"uid":"m-000233","address":null,"hostKind":"c4","yard":"b","loaners":false,"status":"failed","heldS":3}],)"
      R"("truncated":true})");
  EXPECT_TRUE(page.truncated);
  ASSERT_EQ(page.instances.size(), 3u);
  EXPECT_EQ(page.instances[0].name, "m-000231");
  EXPECT_EQ(page.instances[0].address, "10.1.0.232:9000");
  EXPECT_EQ(page.instances[0].machine_type, "g8");
  EXPECT_EQ(page.instances[0].zone, "a");
  EXPECT_TRUE(page.instances[0].spot);
  EXPECT_EQ(page.instances[0].status, Instance::Status::running);
  EXPECT_EQ(page.instances[0].age_s, 61.5);
  EXPECT_EQ(page.instances[1].name, "m-000232");
  EXPECT_EQ(page.instances[1].address, "");
  EXPECT_FALSE(page.instances[1].spot);
  EXPECT_EQ(page.instances[1].status, Instance::Status::booting);
  EXPECT_EQ(page.instances[1].age_s, 0);
  EXPECT_EQ(page.instances[2].status, Instance::Status::failed);
  EXPECT_EQ(page.instances[2].age_s, 3);
}

TEST(WireFormatCloud, LastPageOfInstancesIsNotTruncated) {
  EXPECT_FALSE(parse_instances(R"({"hosts":[],"truncated":false})").truncated);
}

const std::string kInstanceList =
    R"({"hosts":[{"uid":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,"status":"running",)"
    R"("heldS":61.5}],"truncated":true})";

// Guards against spot instances taken for ordinary ones, instances that never seem late to boot, and the rest of a list that is never
// read: an omitted field was read as false or 0.
TEST(WireFormatCloud, RefusesAListOfInstancesThatLacksAField) {
  const auto parse = [](const std::string& body) { parse_instances(body); };
  expect_fields_required(kInstanceList, "/hosts/0", {}, parse);
  expect_fields_required(kInstanceList, "", {}, parse);
}

TEST(WireFormatCloud, OnlyARunningInstanceMustHaveAnAddress) {
  const auto with_status = [](const std::string& status) { return replaced(kInstanceList, R"("running")", "\"" + status + "\""); };
  for (const auto* status : {"booting", "failed"}) {
    const auto list = without(with_status(status), R"("address":"10.1.0.232:9000",)");
    EXPECT_EQ(parse_instances(list).instances.at(0).address, "") << status;
    const auto wrong_kind = replaced(with_status(status), R"("10.1.0.232:9000")", "7");
    EXPECT_EQ(error_message_of([&] { parse_instances(wrong_kind); }), "address: not a string") << status;
  }
}

TEST(WireFormatCloud, ErrorNamesTheInvalidFieldOfAnInstance) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_instances(body); }); };
  EXPECT_EQ(error("{}"), "hosts: missing");
  EXPECT_EQ(error(R"({"hosts":[3]})"), "hosts: not objects");
  EXPECT_EQ(error(R"({"hosts":[{"hostKind":"c4","yard":"b","status":"running"}]})"), "uid: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","yard":"b","status":"running"}]})"), "hostKind: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","status":"running"}]})"), "yard: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","yard":"b","loaners":false}]})"), "status: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","yard":"b","loaners":false,"status":"odd"}]})"), "status: not a known value");
}

TEST(WireFormatCloud, EncodesRentRequest) {
  EXPECT_EQ(rent_body("r-17", "g8", "a", true, 12), R"({"count":12,"hostKind":"g8","loaners":true,"rental":"r-17","yard":"a"})");
  EXPECT_EQ(rent_body("r-18", "c4", "b", false, 1), R"({"count":1,"hostKind":"c4","loaners":false,"rental":"r-18","yard":"b"})");
}

TEST(WireFormatCloud, ParsesNamesOfRentedInstances) {
  EXPECT_EQ(parse_rented_names(R"({"hosts":["m-000231","m-000232"]})"), (std::vector<std::string>{"m-000231", "m-000232"}));
  EXPECT_TRUE(parse_rented_names(R"({"hosts":[]})").empty());
  EXPECT_EQ(error_message_of([] { parse_rented_names("{}"); }), "hosts: missing");
  EXPECT_EQ(error_message_of([] { parse_rented_names(R"({"hosts":[3]})"); }), "hosts: not a string");
}

TEST(WireFormatCloud, DistinguishesNoCapacityFromOtherErrors) {
  EXPECT_TRUE(reports_no_capacity(R"({"error":"no capacity"})"));
  EXPECT_FALSE(reports_no_capacity(R"({"error":"trouble"})"));
  EXPECT_FALSE(reports_no_capacity(""));
}

TEST(WireFormatCloud, EncodesReleaseRequest) {
  EXPECT_EQ(release_body({"m-000231", "m-000232"}), R"({"hosts":["m-000231","m-000232"]})");
  EXPECT_EQ(release_body({}), R"({"hosts":[]})");
}

}  // namespace
}  // namespace thistlefront
