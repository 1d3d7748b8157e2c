// Runs one operation at one upstream of its service, through the upstream's owner, at most once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "peer.pb.h"
#include "pimentomoor/config_lists.h"
#include "pimentomoor/event_loop.h"

namespace pimentomoor {

struct OperationDispatchHooks {
  std::function<std::shared_ptr<const Catalog>(const std::string& service)> catalog;
  std::function<const proto::Daemon*(const std::string& upstream, const std::string& failure_domain)> usable_owner;
  /// Sends to an owner; false when nothing was sent.
  std::function<bool(const proto::Daemon& owner, const proto::SubQueries&)> send;
};

class OperationDispatch {
 public:
  using Done = std::function<void(proto::OperationResult)>;

  /// Query ids of operations have this bit set, so that they never equal those of the coordinator.
  static constexpr std::uint64_t kOperationIdBit = 1ULL << 63;

  OperationDispatch(EventLoop& loop, OperationDispatchHooks hooks);
  ~OperationDispatch();
  OperationDispatch(const OperationDispatch&) = delete;
  OperationDispatch& operator=(const OperationDispatch&) = delete;

  /// Sends the operation once. `done` gets OPERATION_RAN with the upstream's answer, OPERATION_NOT_RUN when it can't
  /// have reached the upstream, or OPERATION_UNKNOWN.
  void Run(const std::string& token, const std::string& service, const std::string& body, Duration remaining,
           Done done);

  /// Takes the answer from the owner. Answers for other ids are ignored.
  void HandleAnswers(const proto::SubAnswers& answers);

 private:
  struct RunningOperation {
    Done done;
    TimerId timer = 0;
  };

  void Finish(std::uint64_t id, proto::OperationResult result);

  EventLoop& loop_;
  OperationDispatchHooks hooks_;
  std::uint64_t next_id_ = kOperationIdBit;
  std::map<std::uint64_t, RunningOperation> running_operations_;
};

}  // namespace pimentomoor
