// Publishes catalog objects of a deployment as files or to the platform's object API.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "deployment.h"
#include "pimentomoor/event_loop.h"
#include "pimentomoor/http.h"

namespace pimentomoor {

/// Writes `<folder>/<service>.yaml` for each service. Throws std::runtime_error that names the file.
void WriteCatalogFiles(const Deployment& deployment, const std::string& folder);

/// Writes `/objects/<deployment>/catalog/<service>` at the platform with conditional updates.
class CatalogPublisher {
 public:
  /// `platform_address` is "IP:port".
  CatalogPublisher(EventLoop& loop, HttpClient& client, std::string platform_address, std::string deployment);

  /// Publishes the catalog object of `service`, replacing the one that the platform holds. A failed read or write is
  /// retried, with at most kMaxAttempts attempts. A later call for the same service supersedes an earlier one.
  void Publish(const ServiceSpec& service);

  /// Number of services whose object is not yet written.
  [[nodiscard]] std::size_t pending_count() const { return pending_.size(); }
  [[nodiscard]] std::uint64_t written_count() const { return written_count_; }
  [[nodiscard]] std::uint64_t failed_count() const { return failed_count_; }

 private:
  static constexpr int kMaxAttempts = 50;  // with kRetryDelay, enough for a platform that starts after the publisher
  static constexpr std::size_t kMaxConcurrentCalls = 8;  // well below the platform's write limit

  struct PendingObject {
    std::string value;  // catalog object as YAML
    int attempts = 0;
    bool call_running = false;
    std::uint64_t revision = 0;  // number of Publish() calls since the object became pending
  };

  void StartNext();
  void ReadCurrent(const std::string& service);
  void WriteObject(const std::string& service, const HttpResult& current);
  void FinishCall(const std::string& service, std::uint64_t revision, bool success);
  [[nodiscard]] std::string ObjectPath(const std::string& service) const;

  EventLoop& loop_;
  HttpClient& client_;
  std::string platform_address_;
  std::string deployment_;
  std::map<std::string, PendingObject> pending_;  // by service
  std::size_t running_calls_ = 0;
  std::uint64_t written_count_ = 0;
  std::uint64_t failed_count_ = 0;
};

}  // namespace pimentomoor
