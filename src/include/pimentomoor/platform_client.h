// Interface of clients of the platform's object store, which has versions, conditional updates and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pimentomoor {

/// One object as the platform holds it. The versions of a key grow with each update, and none is used twice.
struct PlatformObject {
  std::string key;
  std::uint64_t version = 0;  // 0: the object does not exist
  std::string value;

  friend bool operator==(const PlatformObject&, const PlatformObject&) = default;
};

/// Result of a call to the platform.
enum class PlatformStatus {
  kOk,
  kNotFound,
  kConflict,     // the expected version is not the current one; the reply has the current object
  kUnavailable,  // no usable answer came; an update may or may not have taken effect
  kInvalid,      // the platform refused the call, for example a value over its size limit
};

std::string_view ToString(PlatformStatus status);

/// Largest value that the platform accepts.
constexpr std::size_t kMaxObjectBytes = std::size_t{1024} * 1024;

/// Reply to a call, passed to its callback.
struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnavailable;
  PlatformObject object;
  std::string error;  // call, key and cause of a failure, only the cause if no call was sent; empty with kOk
};

using PlatformCallback = std::function<void(const PlatformReply&)>;

class PlatformClient {
 public:
  virtual ~PlatformClient() = default;

  /// Reads the current version of an object.
  virtual void Get(const std::string& key, PlatformCallback done) = 0;

  /// Replaces the value if the current version is `expected_version`; with 0, creates the object if it does not
  /// exist. An update whose answer was lost ends with kUnavailable: the caller reads the object back and looks for
  /// the writer id of its update in the value.
  virtual void Put(const std::string& key, std::uint64_t expected_version, std::string value,
                   PlatformCallback done) = 0;

  /// Calls `changed` for each version of `key` above `after_version` that the platform shows, until StopWatch().
  /// Intermediate versions may be skipped, and the platform may serve an old version by mistake. After failures the
  /// watch restarts by itself, with growing, jittered delays.
  virtual void Watch(const std::string& key, std::uint64_t after_version, PlatformCallback changed) = 0;
  virtual void StopWatch(const std::string& key) = 0;
};

}  // namespace pimentomoor
