// Tests of `StoreEra` and of the text of revisions.

#include "store_history/store_era.h"

#include <catch2/catch.hpp>

#include "platform/store_revision.h"

namespace bluebellstep {

// Guards against an answer from before a restore that is taken for one of the present store.
TEST_CASE("an answer from before a known restore does not count", "[store_history]") {
  StoreEra era;
  int raised = 0;
  era.on_raised([&] { ++raised; });
  CHECK_FALSE(era.known_since());
  CHECK(era.record_answer(3, Instant{10}) == 3);
  CHECK(era.record_answer(4, Instant{20}) == 4);
  CHECK(era.record_answer(4, Instant{25}) == 4);
  CHECK(era.record_answer(3, Instant{30}) == std::nullopt);
  CHECK(era.number() == 4);
  CHECK(era.known_since() == Instant{20});
  CHECK(raised == 2);
}

// Guards against a restore that is seen in each answer without the header.
TEST_CASE("an answer that states no era is of the newest one", "[store_history]") {
  StoreEra era;
  CHECK(era.record_answer(std::nullopt, Instant{10}) == 0);
  CHECK(era.known_since() == Instant{10});
  era.record_heard(2, Instant{20});
  CHECK(era.record_answer(std::nullopt, Instant{30}) == 2);
  CHECK(era.known_since() == Instant{20});
}

// Guards against a gateway that goes back to an era that a slower one tells of.
TEST_CASE("an era that another gateway tells of only raises the own one", "[store_history]") {
  StoreEra era;
  era.record_heard(5, Instant{10});
  era.record_heard(4, Instant{20});
  CHECK(era.number() == 5);
  CHECK(era.known_since() == Instant{10});
}

// Guards against one wrong statement after which all answers of the store would be ignored for
// good.
TEST_CASE("an implausibly late era is ignored", "[store_history]") {
  StoreEra era;
  CHECK(era.record_answer(3, Instant{10}) == 3);
  CHECK(era.record_answer(UINT64_MAX, Instant{20}) == 3);
  era.record_heard(UINT64_MAX, Instant{30});
  CHECK(era.number() == 3);
  CHECK(era.record_answer(4, Instant{40}) == 4);
}

// Guards against a gateway that takes the first era it hears of for a restore.
TEST_CASE("only a later era than a known one is a restore", "[store_history]") {
  StoreEra era;
  era.record_heard(0, Instant{5});
  era.record_answer(3, Instant{10});
  CHECK_FALSE(era.restored());
  era.record_answer(4, Instant{20});
  CHECK(era.restored());
}

// Guards against the comparison of bare revision numbers, which a restored store gives out again.
TEST_CASE("revisions of a later era are greater", "[store_history]") {
  CHECK(StoreRevision{.number = 9, .era = 1} < StoreRevision{.number = 2, .era = 2});
  CHECK(StoreRevision{.number = 2, .era = 2} < StoreRevision{.number = 3, .era = 2});
  CHECK(StoreRevision{.number = 2, .era = 1} != StoreRevision{.number = 2, .era = 2});
}

TEST_CASE("the text of a revision is read as it was written", "[store_history]") {
  CHECK(to_string(StoreRevision{7}) == "7");
  CHECK(to_string(StoreRevision{.number = 7, .era = 3}) == "3.7");
  for (const StoreRevision revision : {StoreRevision{}, StoreRevision{7}, StoreRevision{7, 3}}) {
    CHECK(parse_store_revision(to_string(revision)) == revision);
  }
  for (const char* text : {"", ".", "3.", ".7", "a", "-1", "1.2.3"}) {
    CHECK_FALSE(parse_store_revision(text));
  }
}

}  // namespace bluebellstep
