// Tests of the operators' conditional updates of lists: races, lost answers and outages.
#include "pimentomoor/list_update.h"

#include <algorithm>
#include <deque>

#include "pimentomoor/http_platform_client.h"
#include "property.h"
#include "standin_platform.h"

// clang-format off
#include <CppUTest/TestHarness.h>  // last: it redefines operator new
// clang-format on

namespace pimentomoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kKey(kOutagesKey);

/// Options of an update that adds one host to the outages, as the command `outage add` does.
ListUpdateOptions AddHost(const std::string& host, const std::string& operator_name) {
  return {.key = kKey,
          .stamp = {.writer = RandomWriterId(), .operator_name = operator_name},
          .edit = [host](const PlatformObject& current) -> std::optional<std::string> {
            Outages outages = current.version == 0 ? Outages{} : ParseOutages(current.value, current.key);
            if (IsInOutage(outages, host, "")) {
              return std::nullopt;
            }
            outages.hosts.push_back(host);
            return RenderOutages(outages);
          },
          .timeout = milliseconds(1'000),
          .retry_delay = milliseconds(5)};
}

enum class Fault { kNone, kLostAnswer, kLostWrite, kLateWrite, kOtherWriterFirst };

/// A platform in memory with injected faults: each call has the next fault of a list. A late write takes effect at a
/// later call.
class FaultyPlatform final : public PlatformClient {
 public:
  FaultyPlatform(EventLoop& loop, std::deque<Fault> faults) : loop_(loop), faults_(std::move(faults)) {}

  void Get(const std::string& /*key*/, PlatformCallback done) override {
    const Fault fault = NextFault();
    if (fault != Fault::kLateWrite) {  // with kLateWrite the delayed write stays pending
      Apply(late_write_);
    }
    if (fault == Fault::kOtherWriterFirst) {
      ApplyOtherWriter();
    }
    const bool lost = fault == Fault::kLostAnswer || fault == Fault::kLostWrite;
    Answer(lost                    ? PlatformStatus::kUnavailable
           : current_.version == 0 ? PlatformStatus::kNotFound
                                   : PlatformStatus::kOk,
           done);
  }

  void Put(const std::string& /*key*/, std::uint64_t expected, std::string value, PlatformCallback done) override {
    const Fault fault = NextFault();
    Apply(late_write_);
    const std::pair<std::uint64_t, std::string> update(expected, std::move(value));
    if (fault == Fault::kLateWrite) {
      late_write_ = update;
    } else if (fault == Fault::kOtherWriterFirst) {
      ApplyOtherWriter();
    }
    const bool applied = fault != Fault::kLateWrite && fault != Fault::kLostWrite && Apply(update);
    const bool lost = fault != Fault::kNone && fault != Fault::kOtherWriterFirst;
    Answer(lost ? PlatformStatus::kUnavailable : applied ? PlatformStatus::kOk : PlatformStatus::kConflict, done);
  }

  void Watch(const std::string& /*key*/, std::uint64_t /*after*/, PlatformCallback /*changed*/) override {}
  void StopWatch(const std::string& /*key*/) override {}

  /// Applies a late write that is still pending.
  void Flush() { Apply(late_write_); }
  [[nodiscard]] std::ptrdiff_t WritesBy(const std::string& writer) const {
    return std::count(writers_.begin(), writers_.end(), writer);
  }

 private:
  Fault NextFault() {
    if (faults_.empty()) {
      return Fault::kNone;
    }
    const Fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  bool Apply(std::optional<std::pair<std::uint64_t, std::string>> update) {
    late_write_.reset();
    if (!update || update->first != current_.version) {
      return false;
    }
    current_ = {kKey, current_.version + 1, update->second};
    writers_.push_back(ParseStamp(current_.value).writer);
    return true;
  }

  void ApplyOtherWriter() {
    const std::string text = "failure_domains: []\nhosts: []\nwriter: other\noperator: eva\n";
    Apply(std::pair(current_.version, text));
  }

  void Answer(PlatformStatus status, const PlatformCallback& done) {
    PlatformReply reply{.status = status, .object = {.key = kKey}, .error = "fault"};
    if (status == PlatformStatus::kOk || status == PlatformStatus::kConflict) {
      reply.object = current_;
    }
    loop_.Post([done, reply] { done(reply); });
  }

  EventLoop& loop_;
  std::deque<Fault> faults_;
  PlatformObject current_{.key = kKey};
  std::optional<std::pair<std::uint64_t, std::string>> late_write_;  // expected version and value
  std::vector<std::string> writers_;                                 // writer id of each version, oldest first
};

}  // namespace

TEST_GROUP(ListUpdate) {
  SystemClock clock;
  EventLoop loop{clock};
  HttpClient http{loop};
  StandinPlatform platform{loop, {}};
  HttpPlatformClient client{loop,
                            http,
                            {.endpoints = {platform.address()},
                             .timeout = milliseconds(200),
                             .min_retry_delay = milliseconds(10),
                             .total_timeout = milliseconds(300)}};

  UpdateResult Run(ListUpdateOptions options) {
    std::optional<UpdateResult> result;
    const ListUpdate update(loop, client, std::move(options), [&](const UpdateResult& done) { result = done; });
    CHECK(loop.RunUntil([&] { return result.has_value(); }, seconds(5)));
    return result.value_or(UpdateResult{});
  }

  Outages Stored() const { return ParseOutages(platform.Read(kKey).second, kKey); }
};

// Guards against an operator's change that silently replaces another operator's, and against a conflict message that
// doesn't name the operator who wrote first.
TEST(ListUpdate, ConflictNamesTheOperatorWhoWroteFirst) {
  platform.SetFaults({.delay = milliseconds(20)});  // both updates read the list before either one writes
  std::optional<UpdateResult> results[2];
  const ListUpdate ana(loop, client, AddHost("h1", "ana"), [&](const UpdateResult& done) { results[0] = done; });
  const ListUpdate ben(loop, client, AddHost("h2", "ben"), [&](const UpdateResult& done) { results[1] = done; });
  CHECK(loop.RunUntil([&] { return results[0] && results[1]; }, seconds(5)));
  const std::size_t winner = results[0]->outcome == UpdateOutcome::kWritten ? 0 : 1;
  CHECK(results[winner]->outcome == UpdateOutcome::kWritten);
  CHECK(results[1 - winner]->outcome == UpdateOutcome::kConflict);
  const std::string expected = std::string("conflict: ") + (winner == 0 ? "ana" : "ben") +
                               " wrote config/outages first, at version " + std::to_string(platform.Read(kKey).first);
  STRCMP_EQUAL(expected.c_str(), results[1 - winner]->message.c_str());
  LONGS_EQUAL(1, Stored().hosts.size());

  platform.SetFaults({});
  CHECK(Run(AddHost("h1", "ana")).outcome != UpdateOutcome::kConflict);
  CHECK(Run(AddHost("h2", "ben")).outcome != UpdateOutcome::kConflict);
  CHECK(Stored().hosts == std::vector<std::string>({"h1", "h2"}));
}

// Guards against a change that took effect and is reported as failed, and against a second write of the same change.
TEST(ListUpdate, LostAnswerIsResolvedByReadingBack) {
  platform.SetFaults({.lose_answers = 1});
  const UpdateResult result = Run(AddHost("h1", "ana"));
  CHECK(result.outcome == UpdateOutcome::kWritten);
  CHECK(result.object.version == platform.Read(kKey).first);
  LONGS_EQUAL(1, platform.calls().put);
  LONGS_EQUAL(1, platform.calls().lost_answers);
  CHECK(Run(AddHost("h1", "ana")).outcome == UpdateOutcome::kUnchanged);
}

// Guards against an outcome that is reported as certain although the platform never answered the write.
TEST(ListUpdate, OutageEndsAsRefusedOrUnknown) {
  platform.SetFaults({.outage = PlatformOutage::kRefuse});
  ListUpdateOptions options = AddHost("h1", "ana");
  options.timeout = milliseconds(300);
  const UpdateResult refused = Run(options);
  CHECK(refused.outcome == UpdateOutcome::kRefused);
  CHECK(refused.message.starts_with("nothing was written: "));

  platform.SetFaults({});
  // The outage begins between the read and the write.
  options.edit = [&, edit = options.edit](const PlatformObject& current) {
    platform.SetFaults({.outage = PlatformOutage::kHang});
    return edit(current);
  };
  const UpdateResult unknown = Run(options);
  CHECK(unknown.outcome == UpdateOutcome::kUnknown);
  CHECK(unknown.message.find(options.stamp.writer) != std::string::npos);
}

// Guards against an update of a version that the operator has not seen.
TEST(ListUpdate, ExpectedVersionMustBeCurrent) {
  const std::uint64_t version = platform.Write(kKey, "failure_domains: []\nhosts: []\noperator: eva\n");
  ListUpdateOptions options = AddHost("h1", "ana");
  options.expected_version = version + 1;
  STRCMP_EQUAL(("conflict: eva wrote config/outages first, at version " + std::to_string(version)).c_str(),
               Run(options).message.c_str());
  options.expected_version = version;
  CHECK(Run(options).outcome == UpdateOutcome::kWritten);
}

// Guards against an update that replaces a list which can't be parsed, and against a text that the stamp makes
// invalid.
TEST(ListUpdate, RefusesListsThatCannotBeParsed) {
  platform.Write(kKey, "hosts: [");
  CHECK(Run(AddHost("h1", "ana")).outcome == UpdateOutcome::kRefused);
  ListUpdateOptions options = AddHost("h1", "ana");
  options.edit = [](const PlatformObject&) { return std::optional<std::string>("{failure_domains: [], hosts: []}"); };
  CHECK(Run(options).outcome == UpdateOutcome::kRefused);
  LONGS_EQUAL(0, platform.calls().put);
}

// Guards against an outcome that contradicts what was written, after any sequence of lost, late and competing writes.
TEST(ListUpdate, OutcomeMatchesTheWritesUnderAnyFaults) {
  CHECK(CheckProperty(300, "outcome", [this] {
    const auto faults = *rc::gen::container<std::vector<Fault>>(rc::gen::element(
        Fault::kNone, Fault::kLostAnswer, Fault::kLostWrite, Fault::kLateWrite, Fault::kOtherWriterFirst));
    FaultyPlatform faulty(loop, {faults.begin(), faults.end()});
    ListUpdateOptions options = AddHost("h1", "ana");
    options.timeout = milliseconds(20);
    options.retry_delay = milliseconds(1);
    std::optional<UpdateResult> result;
    const ListUpdate update(loop, faulty, options, [&](const UpdateResult& done) { result = done; });
    RC_ASSERT(loop.RunUntil([&] { return result.has_value(); }, seconds(5)));
    faulty.Flush();
    const std::ptrdiff_t writes = faulty.WritesBy(options.stamp.writer);
    RC_ASSERT(writes <= 1);
    if (result->outcome == UpdateOutcome::kWritten) {
      RC_ASSERT(writes == 1);
    }
    if (result->outcome == UpdateOutcome::kConflict) {
      RC_ASSERT(ParseStamp(result->object.value).writer == "other");
    }
    const bool may_have_been_in_force = result->message.find("may have been in force") != std::string::npos;
    if (result->outcome == UpdateOutcome::kRefused ||
        (result->outcome == UpdateOutcome::kConflict && !may_have_been_in_force)) {
      RC_ASSERT(writes == 0);
    }
  }));
}

}  // namespace pimentomoor
