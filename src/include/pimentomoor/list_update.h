// One conditional update of an operators' list, whose outcome is resolved when the platform's answer is lost.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "pimentomoor/config_lists.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/platform_client.h"

namespace pimentomoor {

struct ListUpdateOptions {
  std::string key;    // for example "config/plans"
  ChangeStamp stamp;  // the writer id must be unique to this update

  /// Returns the new text without a stamp, or none when nothing has to change. The object has version 0 and no value
  /// when it does not exist. A ConfigError refuses the update.
  std::function<std::optional<std::string>(const PlatformObject& current)> edit;

  std::uint64_t expected_version = 0;           // conflict unless this is the current version; 0 accepts any
  Duration timeout = std::chrono::seconds(10);  // for the whole update
  Duration retry_delay = std::chrono::milliseconds(200);  // between calls while the platform gives no answer
};

enum class UpdateOutcome {
  kWritten,
  kUnchanged,  // the object already has the wanted content
  kConflict,   // another writer was first; nothing of this update is in the current object
  kRefused,    // the edit or the platform refused it; nothing was written
  kUnknown,    // no answer in time: the update may have taken effect or may still do so
};

struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  PlatformObject object;  // with kWritten and kUnchanged the wanted one, with kConflict the current one
  std::string message;    // for the operator; empty with kWritten and kUnchanged
};

class ListUpdate {
 public:
  using Callback = std::function<void(const UpdateResult&)>;

  /// Starts the update; `done` runs once in a later turn, unless the object is destroyed before. `loop` and
  /// `platform` must outlive the object.
  ListUpdate(EventLoop& loop, PlatformClient& platform, ListUpdateOptions options, Callback done);
  ~ListUpdate();
  ListUpdate(const ListUpdate&) = delete;
  ListUpdate& operator=(const ListUpdate&) = delete;

 private:
  void Read();
  void OnRead(const PlatformReply& reply);
  void Write();
  void OnWritten(const PlatformReply& reply);
  void ReadBack();
  void OnReadBack(const PlatformReply& reply);
  void RetryLater(void (ListUpdate::*step)(), const std::string& error);
  void FinishConflict(const PlatformObject& current);
  void Finish(UpdateOutcome outcome, PlatformObject object, std::string message);
  PlatformCallback Guarded(void (ListUpdate::*step)(const PlatformReply&));

  EventLoop& loop_;
  PlatformClient& platform_;
  ListUpdateOptions options_;
  Callback done_;
  TimePoint deadline_;
  TimerId timer_ = 0;
  std::uint64_t base_version_ = 0;                              // version that the update replaces
  std::string value_;                                           // text to write, with the stamp
  bool answer_lost_ = false;                                    // some write of this update had no answer
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for running calls
};

/// A random id of 16 hexadecimal digits.
std::string RandomWriterId();

}  // namespace pimentomoor
