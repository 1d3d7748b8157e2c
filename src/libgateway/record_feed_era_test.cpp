// Tests of the record feed against a fake store on loopback that is restored from older copies, and against peers
// that know other eras of the store.
#include "fake_record_store.h"
#include "pimentomoor/record_feed.h"
#include "test_loop.h"

// CppUTest's macros come last, because they redefine names that other headers use.
#include <CppUTest/TestHarness.h>

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsWatch(const std::string& target) { return target.find("watch=") != std::string::npos; }
std::string Event(const std::string& name, int revision, bool deleted = false) {
  return R"({"object":)" + Object(name, revision) + R"(,"deleted":)" + (deleted ? "true}" : "false}");
}

}  // namespace

TEST_GROUP(RecordFeedEra) {
  ManualClock clock;
  EventLoop loop{clock};
  Metrics metrics;
  std::unique_ptr<PlatformCodec> codec = MakePlatformCodec();
  FakeStore store{loop, codec->field_names()};
  RecordFeed feed{loop,
                  metrics,
                  *codec,
                  RecordKind::kOutages,
                  store.listener.address(),
                  {.on_put = [](const StoredRecord&) {},
                   .on_delete = [](const std::string&) {},
                   .on_batch_applied = [] {},
                   .on_store_availability_changed = [] {}},
                  {.long_watch_wait = milliseconds(500), .watch_timeout_margin = milliseconds(200)}};

  bool RunUntil(const std::function<bool()>& done) { return RunTurns(loop, clock, done, seconds(10)); }
  /// Runs the loop for `time` of the clock, which advances by 10 ms per turn.
  void Run(Duration time) {
    for (const TimePoint end = clock.Now() + time; clock.Now() < end; clock.Advance(milliseconds(10))) {
      loop.RunOnce(milliseconds(1));
    }
  }
  std::string InForce() const {
    std::string names;
    for (const auto& name : feed.NamesInForce()) {
      names += name;
    }
    return names;
  }
  std::size_t CountLists() const {
    return static_cast<std::size_t>(std::count_if(store.targets.begin(), store.targets.end(),
                                                  [](const auto& target) { return !IsWatch(target); }));
  }
  /// Loads the outages a and b in era 1 at revision 20, and waits for the watch, which stays unanswered.
  void Load() {
    store.respond = [](const std::string& target) {
      return IsWatch(target) ? "" : InEra("1", Page(Object("a", 3) + "," + Object("b", 19), 20));
    };
    feed.SetSource(RecordFeed::Source::kLongWatch);
    CHECK(RunUntil([this] { return store.targets.size() == 2; }));
  }
  /// Answers the waiting call.
  void Answer(const std::string& bytes) { store.connections.back()->stream->Write(bytes); }
};

// Guards against a restoration that isn't noticed, because the watch is answered as if nothing had happened, and
// whose reissued revisions pass for known ones.
TEST(RecordFeedEra, WatchThatIsAnsweredInANewEraListsAnew) {
  Load();
  LONGS_EQUAL(1, feed.era());
  store.respond = [](const std::string& target) {
    return IsWatch(target) ? "" : InEra("2", Page(Object("a", 3) + "," + Object("c", 11), 11));
  };
  Answer(InEra("2", Events(Event("a", 25, true), 25)));
  CHECK(RunUntil([this] { return feed.era() == 2; }));
  STRCMP_EQUAL("abc", InForce().c_str());  // b was written after the copy was made
  LONGS_EQUAL(11, feed.store_revision());
  CHECK(RunUntil([this] { return store.targets.back().find("watch=11&") != std::string::npos; }));
  LONGS_EQUAL(2, CountLists());
  Answer(InEra("2", Events(Event("b", 12) + "," + Event("b", 13, true), 13)));
  CHECK(RunUntil([this] { return feed.store_revision() == 13; }));
  STRCMP_EQUAL("ac", InForce().c_str());
}

// Guards against the same when the store has lost the revision of the watch, and against a list whose pages are of
// different eras.
TEST(RecordFeedEra, RestorationBetweenTwoPagesListsAgain) {
  Load();
  int lists = 0;
  store.respond = [&lists](const std::string& target) -> std::string {
    if (IsWatch(target)) {
      return target.find("watch=20&") != std::string::npos ? "HTTP/1.1 410 Gone\r\n" + kEmptyBodyHead : "";
    }
    if (target.find("after=") == std::string::npos) {
      return ++lists == 1 ? InEra("2", Page(Object("d", 4), 12, true)) : InEra("3", Page(Object("e", 5), 9));
    }
    return InEra("3", Page(Object("f", 6), 10));
  };
  CHECK(RunUntil([this] { return feed.era() == 3; }));
  STRCMP_EQUAL("abe", InForce().c_str());
  LONGS_EQUAL(9, feed.store_revision());
}

// Guards against an answer of the old era that arrives after one of the new and brings the old state back.
TEST(RecordFeedEra, OldAnswersAreIgnored) {
  Load();
  store.respond = [](const std::string& target) {
    return IsWatch(target) ? "" : InEra("2", Page(Object("a", 3), 10));
  };
  Answer(InEra("2", Events("", 10)));
  CHECK(RunUntil([this] { return feed.era() == 2 && IsWatch(store.targets.back()); }));
  for (const std::string& old :
       {InEra("1", Events(Event("z", 21), 21)), Events(Event("z", 21), 21), InEra("", Events(Event("z", 21), 21)),
        InEra("-3", Events(Event("z", 21), 21)), InEra("two", Events(Event("z", 21), 21)),
        InEra("99999999999999999999", Events(Event("z", 21), 21))}) {
    const std::size_t calls = store.targets.size();
    Answer(old);
    CHECK_TEXT(RunUntil([&] { return store.targets.size() > calls; }), old.c_str());
    STRCMP_EQUAL("ab", InForce().c_str());
    CHECK(IsWatch(store.targets.back()));
  }
  LONGS_EQUAL(6, metrics.counter("pimentomoor_store_old_era_total", "source=\"store\""));
  LONGS_EQUAL(2, CountLists());
  Answer(InEra("2", Events(Event("z", 11), 11)));
  CHECK(RunUntil([this] { return feed.store_revision() == 11; }));
  STRCMP_EQUAL("abz", InForce().c_str());
}

// Guards against a header that makes the feed list without end.
TEST(RecordFeedEra, EraThatRisesWithEachAnswerIsListedOnceASecond) {
  Load();
  int era = 1;
  store.respond = [&era](const std::string& target) {
    ++era;
    return InEra(std::to_string(era), IsWatch(target) ? Events("", 10) : Page(Object("a", 3), 10));
  };
  Answer(InEra("2", Events("", 10)));
  Run(seconds(5));
  CHECK_TEXT(CountLists() >= 3 && CountLists() <= 7, std::to_string(CountLists()).c_str());
  const std::size_t before = CountLists();
  int answers = 0;
  store.respond = [&answers, &era](const std::string& target) {
    const std::string stated = ++answers % 3 == 0 ? "" : std::to_string(era - answers % 3);
    return InEra(stated, IsWatch(target) ? Events("", 10) : Page(Object("a", 3), 10));
  };
  Run(seconds(20));
  // A list that gets a doubtful answer is repeated like one that fails, at least 0.75 s later in the end.
  CHECK_TEXT(CountLists() - before <= 20, std::to_string(CountLists() - before).c_str());
}

// Guards against a peer that passes on an earlier era late, a watch that goes on waiting for a revision of the
// previous era, and removals of another era that are applied by their revision.
TEST(RecordFeedEra, PeersBringTheNewerEraOnly) {
  Load();
  feed.Adopt(
      {.store_revision = 12, .content_revision = 12, .changed = {{"a", 3, "{}"}}, .existing_names = {"a"}, .era = 2});
  LONGS_EQUAL(2, feed.era());
  STRCMP_EQUAL("ab", InForce().c_str());
  CHECK(RunUntil([this] { return store.targets.back().find("watch=12&") != std::string::npos; }));
  CHECK_FALSE(feed.Adopt({.store_revision = 90,
                          .content_revision = 90,
                          .changed = {{"z", 90, "{}"}},
                          .existing_names = {"z"},
                          .era = 1}));
  CHECK_FALSE(feed.Adopt({.store_revision = 90,
                          .content_revision = 90,
                          .removed = {{.name = "a", .revision = 90}},
                          .lists_existing_names = false,
                          .era = 3}));
  CHECK_FALSE(feed.Adopt({.store_revision = 90, .content_revision = 90, .era = 2 + kMaxEraStep + 1}));
  STRCMP_EQUAL("ab", InForce().c_str());
  const RecordDelta whole = feed.MakeDelta({.era = 1, .revision = 20});
  CHECK(whole.lists_existing_names);
  LONGS_EQUAL(1, whole.changed.size());
  CHECK_FALSE(feed.MakeDelta({.era = 2, .revision = 12}).lists_existing_names);
}

// Guards against a list of the store by each daemon of a large cell after a restoration, and against a daemon that
// waits for its peers in vain.
TEST(RecordFeedEra, FollowerListsOnlyWhenNoPeerDeliversTheNewEra) {
  Load();
  feed.SetSource(RecordFeed::Source::kPeers);
  store.respond = [](const std::string& target) {
    return InEra("2", IsWatch(target) ? Events("", 10) : Page(Object("a", 3), 10));
  };
  feed.Recheck({.era = 1, .revision = 30});
  CHECK(RunUntil([this] { return feed.newest_era() == 2; }));
  Run(seconds(1));
  LONGS_EQUAL(1, CountLists());
  CHECK(RunUntil([this] { return feed.era() == 2; }));
  LONGS_EQUAL(2, CountLists());
}

}  // namespace pimentomoor
