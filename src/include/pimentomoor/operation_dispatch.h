// Runs an operation at most once, at one upstream of its service and through the owner of that upstream.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "peer.pb.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/event_loop.h"

namespace pimentomoor {

/// Calls to other parts of the daemon.
struct OperationDispatchHooks {
  /// Returns the catalog of a service; null when it is unknown.
  std::function<std::shared_ptr<const Catalog>(const std::string& service)> catalog;
  /// Returns the daemon that owns an upstream; null when the upstream or its owner may not get work now.
  std::function<const proto::Daemon*(const std::string& upstream, const std::string& failure_domain)> usable_owner;
  /// Sends an operation to an owner; returns false when nothing was sent.
  std::function<bool(const proto::Daemon& owner, const proto::SubQueries&)> send;
};

/// Sends operations to owners and reports their results.
class OperationDispatch {
 public:
  using Done = std::function<void(proto::OperationResult)>;

  /// Set in the query ids of operations, so that they never equal a query id of the coordinator.
  static constexpr std::uint64_t kOperationIdBit = 1ULL << 63;

  OperationDispatch(EventLoop& loop, OperationDispatchHooks hooks);
  ~OperationDispatch();
  OperationDispatch(const OperationDispatch&) = delete;
  OperationDispatch& operator=(const OperationDispatch&) = delete;

  /// Sends the operation once. `done` gets OPERATION_RAN with the upstream's answer, OPERATION_NOT_RUN when the
  /// operation can't have run at an upstream, or OPERATION_UNKNOWN.
  void Run(const std::string& token, const std::string& service, const std::string& body, Duration remaining,
           Done done);

  /// Takes answers from an owner. Answers to operations that are not running are ignored.
  void HandleAnswers(const proto::SubAnswers& answers);

 private:
  struct RunningOperation {
    Done done;
    TimerId timer = 0;  // fires when the operation's time is over
  };

  void Finish(std::uint64_t id, proto::OperationResult result);

  EventLoop& loop_;
  OperationDispatchHooks hooks_;
  std::uint64_t next_id_ = kOperationIdBit;
  std::map<std::uint64_t, RunningOperation> running_operations_;  // by query id
};

}  // namespace pimentomoor
