// Tests of the table of versions, of the record of begun streams, and of what a gateway concludes
// from them.

#include <catch2/catch.hpp>

#include "stream_versions/stream_version_directory.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr StreamKey kStream{7};
using Planner = VersionTablePlanner;

VersionTable make_table(std::uint64_t epoch, ServiceVersions versions) {
  return {.epoch = epoch, .services = {{"s", std::move(versions)}}};
}

StreamVersionDirectory make_directory(const VersionTable& table) {
  StreamVersionDirectory directory("g");
  directory.add_services({"s"});
  directory.apply_snapshot({.table = table, .gateways = {"g", "h"}}, kStart, kStart);
  directory.record_store_answer(kStart);
  directory.set_registered({"g", "h"});
  // The first report after a gap does not count as one of a gateway that was heard all the time.
  directory.record_report("h", table.epoch, kStart - StreamVersionDirectory::kSilence);
  for (Instant at = kStart - StreamVersionDirectory::kSilence; at <= kStart; at = at + 600_ms) {
    directory.record_report("h", table.epoch, at);
  }
  return directory;
}

// Lets time pass while the gateway "h" reports an epoch.
void report_until(StreamVersionDirectory& directory,
                  std::uint64_t epoch,
                  Instant from,
                  Instant to) {
  for (Instant at = from; at <= to; at = at + 600_ms) {
    directory.record_report("h", epoch, at);
  }
}

// Sets the counts as often as a gateway does, and returns the last change of the table.
VersionTable plan_for(Planner& planner,
                      VersionTable table,
                      const VersionCounts& counts,
                      Instant& now,
                      Duration time,
                      Duration known_for = Duration{0}) {
  for (const Instant end = now + time; now < end; now = now + 1_s) {
    planner.set_counts({{"s", counts}}, now);
    table = planner
                .plan(
                    table, [&](std::uint64_t) { return known_for; }, now)
                .value_or(table);
  }
  return table;
}

}  // namespace

// Guards against objects that are read back changed, and against malformed ones that are taken for
// empty ones.
TEST_CASE("tables and records are encoded", "[stream_versions]") {
  const VersionTable table = make_table(5, {"", 5, {{"2.0", {2, true}}, {"3.0", {3, false}}}});
  CHECK(decode_version_table(encode_version_table(table)) == table);
  const StreamRecord record{.streams = {{stream_key("a", "1"), ""}, {stream_key("a", "2"), "2.0"}},
                            .era = 3,
                            .complete = false};
  CHECK(decode_begun_streams(encode_begun_streams(record)) == record);
  CHECK(decode_begun_streams(encode_begun_streams({})) == StreamRecord{});
  for (const char* text : {"", "{", "[]", "{}", R"({"epoch":1})", R"({"begun":{"v":["xyz"]}})",
                           R"({"epoch":1,"services":{"s":{"admitted":{}}}})",
                           R"({"epoch":1,"services":{"s":{"default":"","admitted":{}}}})",
                           R"({"begun":{"v":[5]}})", R"({"begun":{"v":["1 "]}})"}) {
    CAPTURE(text);
    CHECK_FALSE(decode_version_table(text).has_value());
    CHECK_FALSE(decode_begun_streams(text).has_value());
  }
}

// Guards against a table that changes with one version, and against a version that is dropped or
// replaced as the default one while streams at it may still begin or continue.
TEST_CASE("a version is given up in two steps", "[stream_versions]") {
  constexpr Duration kSettled = Planner::kSettleTime;
  constexpr Duration kNotSettled = kSettled - 1_ms;
  Planner planner;
  Instant now = kStart;
  VersionTable table = plan_for(planner, {}, {{"1", 1}, {"2", 3}}, now, 1_s);
  CHECK(table == make_table(1, {"2", 0, {}}));
  table = plan_for(planner, table, {{"1", 1}, {"2", 3}}, now, 1_s);
  CHECK(table == make_table(2, {"2", 0, {{"1", {2, false}}}}));
  CHECK(plan_for(planner, table, {{"2", 3}}, now, Planner::kGone - 1_s, kSettled) == table);
  table = plan_for(planner, table, {{"2", 3}}, now, 3_s);
  CHECK(table == make_table(3, {"2", 0, {{"1", {3, true}}}}));
  CHECK(plan_for(planner, table, {{"2", 3}}, now, 400_s, kNotSettled) == table);
  CHECK(plan_for(planner, table, {{"1", 1}, {"2", 3}}, now, 1_s, kNotSettled) ==
        make_table(4, {"2", 0, {{"1", {4, false}}}}));
  table = plan_for(planner, table, {{"2", 3}}, now, 1_s, kSettled);
  CHECK(table == make_table(4, {"2", 0, {}}));
  CHECK(plan_for(planner, table, {{"2", 1}}, now, 200_s, kSettled) == table);
  CHECK(plan_for(planner, table, {}, now, 200_s, kSettled) == table);
  table = plan_for(planner, table, {{"2", 0}, {"3", 1}}, now, 100_s, kSettled);
  CHECK(table == make_table(5, {"2", 0, {{"3", {5, false}}}}));  // Upstreams that leave serve.
  table = plan_for(planner, table, {{"3", 1}}, now, Planner::kGone + 2_s, kNotSettled);
  CHECK(table == make_table(6, {"2", 6, {{"3", {5, false}}}}));
  CHECK(plan_for(planner, table, {{"3", 1}}, now, 400_s, kNotSettled) == table);
  table = plan_for(planner, table, {{"2", 1}, {"3", 1}}, now, 1_s, kSettled);
  CHECK(table == make_table(7, {"2", 0, {{"3", {5, false}}}}));  // An upstream is back.
  table = plan_for(planner, table, {{"3", 1}}, now, Planner::kGone + 2_s, kNotSettled);
  CHECK(table == make_table(8, {"2", 8, {{"3", {5, false}}}}));
  table = plan_for(planner, table, {{"3", 1}}, now, 1_s, kSettled);
  CHECK(table == make_table(9, {"3", 0, {{"2", {9, true}}}}));
}

// Guards against a first step that counts as known although a listed gateway has not reported it,
// or one that was not listed when the table was learned.
TEST_CASE("a table is known once all listed gateways have reported it", "[stream_versions]") {
  StreamVersionDirectory directory = make_directory(make_table(1, {"1", 0, {}}));
  directory.apply_table(make_table(2, {"1", 2, {}}), kStart + 1_s);
  directory.record_report("h", 2, kStart + 1_s);
  CHECK(directory.known_for(2, kStart + 2_s) == 0_ms);
  CHECK(directory.known_for(2, kStart + 400_s) == 0_ms);  // The list is older than the table.
  directory.apply_snapshot({.gateways = {"g", "h", "new"}}, kStart + 400_s, kStart + 400_s);
  CHECK(directory.known_for(2, kStart + 400_s) == 0_ms);
  directory.record_report("h", 2, kStart + 400_s);
  directory.record_report("new", 1, kStart + 401_s);
  CHECK(directory.known_for(2, kStart + 401_s) == 0_ms);
  directory.record_report("new", 2, kStart + 402_s);
  CHECK(directory.known_for(2, kStart + 402_s) == 0_ms);
  CHECK(directory.known_for(2, kStart + 412_s) == 10_s);
  CHECK(directory.known_for(3, kStart + 412_s) == 0_ms);
}

// Guards against a new version that is used although another gateway cannot have heard of it.
TEST_CASE("an admitted version waits for gateways that trust an older table", "[stream_versions]") {
  const VersionTable table = make_table(2, {"1", 0, {{"2", {2, false}}}});
  StreamVersionDirectory directory("g");
  directory.apply_snapshot({.table = table, .gateways = {"g", "h"}}, kStart, kStart);
  const Instant heard = kStart + 1_s;
  directory.record_report("h", 0, heard);
  const Instant silent = heard + StreamVersionDirectory::kSilence;
  CHECK(directory.begin_rule("s", "2", true, silent - 1_ms) == BeginRule::kForbidden);
  CHECK(directory.begin_rule("s", "2", true, silent) == BeginRule::kRecorded);

  StreamVersionDirectory newcomer("g");
  newcomer.apply_snapshot({.table = table, .gateways = {"g", "h"}}, kStart, kStart);
  newcomer.record_joined(kStart);
  const Instant known = kStart + StreamVersionDirectory::kNewcomerTime;
  CHECK(newcomer.begin_rule("s", "2", true, known - 1_ms) == BeginRule::kForbidden);
  CHECK(newcomer.begin_rule("s", "2", true, known) == BeginRule::kRecorded);

  // The list is older than the table.
  StreamVersionDirectory unlisted("g");
  unlisted.apply_snapshot({.table = table, .gateways = {"g"}}, kStart - 1_ms, kStart);
  CHECK(unlisted.needs_gateways());
  CHECK(unlisted.begin_rule("s", "2", true, kStart + 10_s) == BeginRule::kForbidden);

  StreamVersionDirectory informed("g");
  informed.apply_snapshot({.table = table, .gateways = {"g", "h"}}, kStart, kStart);
  informed.record_report("h", 2, kStart);
  CHECK(informed.begin_rule("s", "2", true, kStart) == BeginRule::kRecorded);
  CHECK(informed.begin_rule("s", "2", false, kStart) == BeginRule::kForbidden);
  CHECK(informed.begin_rule("s", "3", true, kStart) == BeginRule::kForbidden);
  CHECK(informed.begin_rule("s", "1", false, kStart) == BeginRule::kFree);
}

// Guards against a gateway that takes an admitted version for in force because it no longer knows
// the other gateways.
TEST_CASE("a gateway that was removed from the list uses no admitted version",
          "[stream_versions]") {
  const VersionTable table = make_table(2, {"1", 0, {{"2", {2, false}}}});
  StreamVersionDirectory directory("g");
  directory.apply_snapshot({.table = table, .gateways = {"g", "h"}}, kStart, kStart);
  directory.record_report("h", 0, kStart);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kForbidden);
  directory.forget_gateways();
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kForbidden);
}

// Guards against streams that begin without a record while the default version may move, and at a
// version that is about to be dropped.
TEST_CASE("streams at a version that is given up are recorded or not begun", "[stream_versions]") {
  StreamVersionDirectory directory =
      make_directory(make_table(3, {"1", 3, {{"2", {2, false}}, {"3", {3, true}}}}));
  CHECK(directory.begin_rule("s", "1", true, kStart) == BeginRule::kRecorded);
  CHECK(directory.begin_rule("s", "1", false, kStart) == BeginRule::kForbidden);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kRecorded);
  CHECK(directory.begin_rule("s", "3", true, kStart) == BeginRule::kForbidden);
  CHECK(directory.usable_versions("s", true, kStart) == std::vector<std::string>{"1", "2"});
  CHECK(directory.usable_versions("s", false, kStart).empty());
  const Instant outdated = kStart + StreamVersionDirectory::kMaxWithoutStore;
  CHECK_FALSE(directory.usable_versions("s", true, outdated - 1_ms).empty());
  CHECK(directory.usable_versions("s", true, outdated).empty());
  directory.record_store_answer(outdated);
  CHECK_FALSE(directory.usable_versions("s", true, outdated).empty());
  directory.forget_gateways();  // The others do not wait for this gateway any more.
  CHECK(directory.usable_versions("s", true, outdated).empty());
}

// Guards against a gateway that trusts its table although another one may know a newer one.
TEST_CASE("a gateway trusts its table only in touch with all others", "[stream_versions]") {
  const VersionTable table = make_table(1, {"1", 0, {}});
  const StreamBelief trusted(KnownVersion{"1"});
  const StreamBelief asks(AskStore{});
  StreamVersionDirectory directory = make_directory(table);
  CHECK(directory.belief("s", kStream, kStart) == trusted);
  const Instant last_heard = kStart;
  CHECK(directory.belief("s", kStream, last_heard + StreamVersionDirectory::kHeardWithin) ==
        trusted);
  CHECK(directory.belief("s", kStream, last_heard + StreamVersionDirectory::kHeardWithin + 1_ms) ==
        asks);

  directory = make_directory(table);
  directory.set_registered({"g", "h", "new"});  // Not in the list yet.
  CHECK(directory.belief("s", kStream, kStart) == asks);
  directory.record_report("new", 0, kStart);
  CHECK(directory.belief("s", kStream, kStart) == trusted);

  directory = make_directory(table);
  CHECK_FALSE(directory.record_report("h", 0, kStart));  // Stands for the first table too.
  CHECK(directory.belief("s", kStream, kStart) == trusted);
  CHECK(directory.record_report("other", 2, kStart));
  CHECK(directory.belief("s", kStream, kStart) == asks);

  // A gateway that knows an older table than this one.
  directory = make_directory(make_table(2, {"1", 0, {}}));
  CHECK(directory.belief("s", kStream, kStart) == trusted);
  directory.record_report("h", 0, kStart);
  CHECK(directory.belief("s", kStream, kStart) == asks);

  // The store was not heard for too long, although the others are.
  directory = make_directory(table);
  const Instant late = kStart + StreamVersionDirectory::kTrustWithoutStore;
  report_until(directory, 0, kStart, late + 1_s);
  CHECK(directory.belief("s", kStream, late) == trusted);
  CHECK(directory.belief("s", kStream, late + 1_ms) == asks);
  directory.record_store_answer(late);
  CHECK(directory.belief("s", kStream, late + 1_ms) == trusted);

  // After a gap in the reports this gateway may read datagrams that had waited.
  directory = make_directory(table);
  const Instant resumed = kStart + StreamVersionDirectory::kMaxReportGap + 1_ms;
  directory.record_report("h", 0, resumed);
  CHECK(directory.belief("s", kStream, resumed) == asks);
  const Instant settled = resumed + StreamVersionDirectory::kSilence;
  report_until(directory, 0, resumed, settled);
  CHECK(directory.belief("s", kStream, settled - 1_ms) == asks);
  CHECK(directory.belief("s", kStream, settled) == trusted);

  directory.forget_gateways();
  CHECK(directory.belief("s", kStream, settled) == asks);
}

// Guards against a stream that continues at a version that this gateway only assumes.
TEST_CASE("the version of a stream is known or not", "[stream_versions]") {
  const StreamKey other = stream_key("other account", "1");
  auto directory = make_directory(make_table(1, {"", 0, {}}));
  CHECK(directory.covers("s"));
  CHECK_FALSE(directory.covers("other service"));
  CHECK(directory.belief("s", other, kStart) == StreamBelief(KnownVersion{""}));
  directory.note_begun(kStream, "2", kStart + 10_s, kStart);
  CHECK(directory.belief("s", kStream, kStart + 5_s) == StreamBelief(KnownVersion{"2"}));
  CHECK(directory.belief("s", other, kStart + 5_s) == StreamBelief(AskStore{}));

  const VersionTable table = make_table(2, {"1", 0, {{"2", {2, false}}}});
  directory = make_directory(table);
  CHECK(directory.belief("s", other, kStart) == StreamBelief(AskStore{}));
  CHECK(directory.belief("s", std::nullopt, kStart) == StreamBelief(AskStore{}));
  StreamSnapshot list{.table = table, .gateways = {"g", "h"}, .begun = {{kStream, "2"}}};
  CHECK(directory.belief("s", kStream, list) == StreamBelief(KnownVersion{"2"}));
  CHECK(directory.belief("s", other, list) == StreamBelief(KnownVersion{"1"}));
  CHECK(directory.belief("s", std::nullopt, list) ==
        StreamBelief(UnknownVersion{"stream_not_named"}));
  list.unreadable = true;
  CHECK(directory.belief("s", kStream, list) == StreamBelief(KnownVersion{"2"}));
  CHECK(directory.belief("s", other, list) == StreamBelief(UnknownVersion{"record_unreadable"}));
  const StreamSnapshot older{.table = make_table(1, {"1", 0, {}}), .gateways = {"g"}};
  CHECK(directory.belief("s", other, older) == StreamBelief(UnknownVersion{"older_version_table"}));
  CHECK(directory.belief("s", other, StreamSnapshot{}) ==
        StreamBelief(UnknownVersion{"no_version_table"}));
}

// Guards against two tables of the same epoch after a restore, and against one of a later era that
// replaces an earlier one without knowing it.
TEST_CASE("a table that a restore has lost is written again with a higher epoch",
          "[stream_versions]") {
  const VersionTable stored = make_table(4, {"1", 0, {}});
  const VersionTable lost = make_table(5, {"1", 5, {{"2", {5, false}}}});
  StreamVersionDirectory directory = make_directory(lost);
  directory.raise_era(1, kStart, kStart);
  const Instant now = kStart + 1_s;
  StreamSnapshot list{.table = stored, .gateways = {"g", "h"}, .era = 1};
  directory.apply_snapshot(list, now, now);
  CHECK(directory.table() == lost);
  CHECK_FALSE(directory.records().has_table());
  const auto again = directory.lost_table(stored);
  REQUIRE(again);
  const std::uint64_t epoch = first_epoch(1) + 1;
  CHECK(again->epoch == epoch);
  CHECK(again->services.at("s") == ServiceVersions{"1", epoch, {{"2", {epoch, false}}}});
  CHECK(supersedes(*again, lost));
  CHECK(supersedes(*again, stored));

  // Another gateway that knew only the stored table has written that one.
  const VersionTable other = written_again(stored, 3, 1);
  CHECK(other.epoch == epoch);
  CHECK_FALSE(supersedes(other, lost));
  CHECK_FALSE(directory.apply_table(other, now));
  CHECK(directory.lost_table(other)->epoch == epoch + 1);

  list.table = again;
  directory.apply_snapshot(list, now, now);
  CHECK(directory.table() == *again);
  CHECK(directory.records().has_table());
  CHECK_FALSE(directory.lost_table(again));
}

// Guards against a stream that is taken for one at the default version because its record was lost.
TEST_CASE("no record tells nothing until all gateways have written theirs after a restore",
          "[stream_versions]") {
  const VersionTable table = make_table(1, {"1", 0, {}});
  const StreamBelief unknown(UnknownVersion{"store_restored"});
  StreamVersionDirectory directory = make_directory(table);
  directory.record_report("gone", 1, kStart);  // Its record is lost.
  directory.raise_era(1, kStart, kStart);
  CHECK(directory.belief("s", kStream, kStart) == StreamBelief(AskStore{}));
  const auto by_list = [&](const StreamSnapshot& list, Instant now) {
    directory.apply_snapshot(list, now, now);
    return directory.belief("s", kStream, list);
  };
  const auto make_list = [&](const StreamRecord& record, GatewayNames gateways) {
    StreamSnapshot list{.table = table, .era = 1};
    for (const std::string& name : gateways) {
      list.add_record(name, name == "h" ? record : StreamRecord{.era = 1});
    }
    return list;
  };
  const StreamRecord whole{.era = 1};
  const GatewayNames all = {"g", "h", "gone"};
  const Instant now = kStart + 1_s;
  CHECK(by_list(make_list({.streams = {{kStream, "2"}}}, all), now) == unknown);
  CHECK(by_list(make_list({.era = 1, .complete = false}, all), now) == unknown);
  CHECK(by_list(make_list(whole, {"g", "h"}), now) == unknown);
  CHECK_FALSE(directory.may_change_table(now));
  CHECK(by_list(make_list({.streams = {{kStream, "2"}}, .era = 1}, all), now) ==
        StreamBelief(KnownVersion{"2"}));
  CHECK(by_list(make_list(whole, all), now) == StreamBelief(KnownVersion{"1"}));
  CHECK(directory.may_change_table(now));

  // The caller of a stream that is lost has given up by then.
  const Instant settled = kStart + BegunStreams::kLostStreamTime;
  CHECK(by_list(make_list(whole, {"g", "h"}), settled - 1_ms) == unknown);
  CHECK(by_list(make_list(whole, {"g", "h"}), settled) == StreamBelief(KnownVersion{"1"}));
}

// Guards against a version that comes into force while gateways may trust the restored table.
TEST_CASE("no further version is used before the records are written again", "[stream_versions]") {
  const VersionTable table = make_table(2, {"1", 0, {{"2", {2, false}}}});
  StreamVersionDirectory directory = make_directory(table);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kRecorded);
  directory.raise_era(1, kStart, kStart);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kForbidden);
  CHECK(directory.begin_rule("s", "1", true, kStart) == BeginRule::kFree);
  StreamSnapshot list{.table = table, .era = 1};
  list.add_record("g", StreamRecord{.era = 1});
  list.add_record("h", StreamRecord{});
  directory.apply_snapshot(list, kStart, kStart);
  directory.record_report("h", 2, kStart);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kForbidden);
  list.outdated.clear();
  directory.apply_snapshot(list, kStart, kStart);
  CHECK(directory.begin_rule("s", "2", true, kStart) == BeginRule::kRecorded);
}

// Guards against a record that is called complete although the process that began the streams has
// stopped, and against streams of a running process that stay lost.
TEST_CASE("a record is complete if its gateway ran during the restore", "[stream_versions]") {
  const StreamRecord before{.streams = {{kStream, "2"}}, .era = 1};
  BegunStreams running;
  CHECK_FALSE(running.can_add());
  running.adopt(before, kStart);
  running.set_era(1, false, kStart);
  CHECK(running.can_add());
  CHECK_FALSE(running.needs_write());
  running.set_era(2, false, kStart);
  CHECK(running.needs_write());
  CHECK(decode_begun_streams(running.take_content(kStart)) ==
        StreamRecord{.streams = {{kStream, "2"}}, .era = 2});

  BegunStreams restarted;
  restarted.adopt(before, kStart);
  restarted.set_era(2, false, kStart);
  const StreamRecord incomplete{.era = 2, .complete = false};
  CHECK(decode_begun_streams(restarted.take_content(kStart)) == incomplete);
  restarted.record_written();
  const Instant closed = kStart + BegunStreams::kLostStreamTime;
  restarted.refresh(closed - 1_ms);
  CHECK_FALSE(restarted.needs_write());
  restarted.refresh(closed);
  CHECK(restarted.needs_write());
  CHECK(decode_begun_streams(restarted.take_content(closed)) == StreamRecord{.era = 2});

  BegunStreams first;  // Of a system whose store was restored only before.
  first.adopt({}, kStart);
  first.set_era(2, true, kStart);
  CHECK(decode_begun_streams(first.take_content(kStart)) == StreamRecord{.era = 2});
}

}  // namespace bluebellstep
