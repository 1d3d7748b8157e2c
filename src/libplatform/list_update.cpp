// Implements the steps of a conditional update: read, write, and read back while the outcome of the write is unknown.
#include "pimentomoor/list_update.h"

#include "pimentomoor/random.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kWriterIdDigits = 16;

}  // namespace

ListUpdate::ListUpdate(EventLoop& loop, PlatformClient& platform, ListUpdateOptions options, Callback done)
    : loop_(loop), platform_(platform), options_(std::move(options)), done_(std::move(done)) {
  deadline_ = loop_.Now() + options_.timeout;
  ReadCurrent();
}

ListUpdate::~ListUpdate() {
  *alive_ = false;
  loop_.Cancel(timer_);
}

PlatformCallback ListUpdate::CallIfAlive(void (ListUpdate::*step)(const PlatformReply&)) {
  return [this, step, alive = alive_](const PlatformReply& reply) {
    if (*alive) {
      (this->*step)(reply);
    }
  };
}

void ListUpdate::ReadCurrent() { platform_.Get(options_.key, CallIfAlive(&ListUpdate::OnRead)); }

void ListUpdate::OnRead(const PlatformReply& reply) {
  if (reply.status == PlatformStatus::kUnavailable) {
    RetryLater(&ListUpdate::ReadCurrent, reply.error);
    return;
  }
  if (reply.status != PlatformStatus::kOk && reply.status != PlatformStatus::kNotFound) {
    Finish(UpdateOutcome::kRefused, reply.object, reply.error);
    return;
  }
  if (options_.expected_version != 0 && options_.expected_version != reply.object.version) {
    FinishConflict(reply.object);
    return;
  }
  try {
    const std::optional<std::string> text = options_.edit(reply.object);
    if (!text) {
      Finish(UpdateOutcome::kUnchanged, reply.object, "");
      return;
    }
    value_ = WithStamp(*text, options_.stamp);
  } catch (const ConfigError& error) {
    Finish(UpdateOutcome::kRefused, reply.object, error.what());
    return;
  }
  // After a lost answer, only a readable stamp tells whether the update was written.
  if (ParseStamp(value_) != options_.stamp) {
    Finish(UpdateOutcome::kRefused, reply.object,
           options_.key + ": the text does not stay valid with a writer line at its end; write it in block style");
    return;
  }
  base_version_ = reply.object.version;
  Write();
}

void ListUpdate::Write() { platform_.Put(options_.key, base_version_, value_, CallIfAlive(&ListUpdate::OnWritten)); }

void ListUpdate::OnWritten(const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      Finish(UpdateOutcome::kWritten, {options_.key, reply.object.version, value_}, "");
      return;
    case PlatformStatus::kUnavailable:
      answer_lost_ = true;
      ReadBack();
      return;
    case PlatformStatus::kConflict:
      // An earlier write of this update may have taken effect without an answer.
      if (ParseStamp(reply.object.value).writer == options_.stamp.writer) {
        Finish(UpdateOutcome::kWritten, reply.object, "");
      } else {
        FinishConflict(reply.object);
      }
      return;
    case PlatformStatus::kNotFound:
    case PlatformStatus::kInvalid:
      Finish(answer_lost_ ? UpdateOutcome::kUnknown : UpdateOutcome::kRefused, reply.object, reply.error);
      return;
  }
}

void ListUpdate::ReadBack() { platform_.Get(options_.key, CallIfAlive(&ListUpdate::OnReadBack)); }

void ListUpdate::OnReadBack(const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk && reply.status != PlatformStatus::kNotFound) {
    RetryLater(&ListUpdate::ReadBack, reply.error);
  } else if (ParseStamp(reply.object.value).writer == options_.stamp.writer) {
    Finish(UpdateOutcome::kWritten, reply.object, "");
  } else if (reply.object.version == base_version_) {
    // The write has not taken effect so far. Writing again is safe: both writes expect the same version, so at most
    // one of them succeeds.
    RetryLater(&ListUpdate::Write, "no answer to the write");
  } else {
    FinishConflict(reply.object);
  }
}

void ListUpdate::RetryLater(void (ListUpdate::*step)(), const std::string& error) {
  if (loop_.Now() + options_.retry_delay >= deadline_) {
    if (answer_lost_) {
      Finish(
          UpdateOutcome::kUnknown, {.key = options_.key},
          "it is unknown whether " + options_.key + " was written (writer " + options_.stamp.writer + "): " + error);
    } else {
      Finish(UpdateOutcome::kRefused, {.key = options_.key}, "nothing was written: " + error);
    }
    return;
  }
  timer_ = loop_.CallAfter(options_.retry_delay, [this, step] { (this->*step)(); });
}

void ListUpdate::FinishConflict(const PlatformObject& current) {
  if (current.version == 0) {
    Finish(UpdateOutcome::kConflict, current, "conflict: " + options_.key + " does not exist");
    return;
  }
  const std::string operator_name = ParseStamp(current.value).operator_name;
  std::string message = "conflict: " + (operator_name.empty() ? "another writer" : operator_name) + " wrote " +
                        options_.key + " first, at version " + std::to_string(current.version);
  if (answer_lost_) {
    message += "; the answer to this write was lost, so it may have been in force before that version";
  }
  Finish(UpdateOutcome::kConflict, current, std::move(message));
}

void ListUpdate::Finish(UpdateOutcome outcome, PlatformObject object, std::string message) {
  // `done` is called in a later turn, since it may destroy this object, and a platform client may call back at once.
  timer_ =
      loop_.CallAfter(Duration::zero(), [this, outcome, object = std::move(object), message = std::move(message)] {
        const Callback done = std::move(done_);
        done({.outcome = outcome, .object = object, .message = message});
      });
}

std::string RandomWriterId() { return RandomHex(kWriterIdDigits); }

}  // namespace pimentomoor
