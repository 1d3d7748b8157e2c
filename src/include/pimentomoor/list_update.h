// A conditional update of an operators' list. When the platform's answer is lost, the update reads the list back to
// find out whether it was written.
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
  ChangeStamp stamp;  // its writer id must be unique to this update

  /// Returns the new text of the list without a stamp, or none when nothing has to change. `current` has version 0
  /// and no value when the object does not exist. Throws ConfigError to refuse the update.
  std::function<std::optional<std::string>(const PlatformObject& current)> edit;

  std::uint64_t expected_version = 0;           // the update conflicts unless this is the current version; 0: any
  Duration timeout = std::chrono::seconds(10);  // timeout of the whole update
  Duration retry_delay = std::chrono::milliseconds(200);  // delay before a call is repeated
};

/// Outcome of an update.
enum class UpdateOutcome {
  kWritten,
  kUnchanged,  // the object already had the wanted content
  kConflict,   // another writer was first; the current object has nothing of this update
  kRefused,    // the edit or the platform refused it, or no read was answered in time; nothing was written
  kUnknown,    // no write was answered in time: the update may have taken effect or may still do so
};

struct UpdateResult {
  UpdateOutcome outcome = UpdateOutcome::kUnknown;
  PlatformObject object;  // the wanted object with kWritten and kUnchanged, the current one with kConflict
  std::string message;    // message for the operator; empty with kWritten and kUnchanged
};

/// Reads a list, edits it and writes it if its version is still the same.
class ListUpdate {
 public:
  using Callback = std::function<void(const UpdateResult&)>;

  /// Starts the update. `done` is called once, in a later turn of the loop, unless the update is destroyed before.
  /// `loop` and `platform` must outlive the update.
  ListUpdate(EventLoop& loop, PlatformClient& platform, ListUpdateOptions options, Callback done);
  ~ListUpdate();
  ListUpdate(const ListUpdate&) = delete;
  ListUpdate& operator=(const ListUpdate&) = delete;

 private:
  void ReadCurrent();
  void OnRead(const PlatformReply& reply);
  void Write();
  void OnWritten(const PlatformReply& reply);
  void ReadBack();
  void OnReadBack(const PlatformReply& reply);
  void RetryLater(void (ListUpdate::*step)(), const std::string& error);
  void FinishConflict(const PlatformObject& current);
  void Finish(UpdateOutcome outcome, PlatformObject object, std::string message);
  /// Callback that calls `step`, or does nothing once this object is destroyed.
  PlatformCallback CallIfAlive(void (ListUpdate::*step)(const PlatformReply&));

  EventLoop& loop_;
  PlatformClient& platform_;
  ListUpdateOptions options_;
  Callback done_;
  TimePoint deadline_;
  TimerId timer_ = 0;
  std::uint64_t base_version_ = 0;                              // version that the write replaces
  std::string value_;                                           // text to write, with the stamp
  bool answer_lost_ = false;                                    // whether a write of this update got no answer
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // set to false by the destructor, for running calls
};

/// Returns a random id of 16 hexadecimal digits.
std::string RandomWriterId();

}  // namespace pimentomoor
