// Writes catalog objects to files and to the platform.
#include "catalog_publisher.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "pimentomoor/log.h"

namespace pimentomoor {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

}  // namespace

void WriteCatalogFiles(const Deployment& deployment, const std::string& folder) {
  std::filesystem::create_directories(folder);
  for (const auto& service : deployment.services) {
    const std::string path = folder + "/" + service.name + ".yaml";
    std::ofstream file(path);
    file << CatalogYaml(service);
    if (!file.flush()) {
      throw std::runtime_error("write catalog object '" + path + "': cannot write the file");
    }
  }
}

CatalogPublisher::CatalogPublisher(EventLoop& loop, HttpClient& client, std::string platform_address,
                                   std::string deployment)
    : loop_(loop),
      client_(client),
      platform_address_(std::move(platform_address)),
      deployment_(std::move(deployment)) {}

void CatalogPublisher::Publish(const ServiceSpec& service) {
  PendingObject& pending = pending_[service.name];
  pending.value = CatalogYaml(service);
  pending.attempts = 0;
  ++pending.revision;
  StartNext();
}

std::string CatalogPublisher::ObjectPath(const std::string& service) const {
  return "/objects/" + deployment_ + "/catalog/" + service;
}

void CatalogPublisher::StartNext() {
  for (auto& [service, pending] : pending_) {
    if (running_calls_ >= kMaxConcurrentCalls) {
      return;
    }
    if (!pending.call_running) {
      pending.call_running = true;
      ++running_calls_;
      ReadCurrent(service);
    }
  }
}

void CatalogPublisher::ReadCurrent(const std::string& service) {
  client_.Call({.target = platform_address_, .path = ObjectPath(service)},
               [this, service](const HttpResult& result) { WriteObject(service, result); });
}

void CatalogPublisher::WriteObject(const std::string& service, const HttpResult& current) {
  const PendingObject& pending = pending_.at(service);
  if (!current.ok() && current.status != 404) {
    FinishCall(service, pending.revision, false);
    return;
  }
  HttpHeaders headers = {{"content-type", "application/yaml"}};
  if (current.status == 404) {
    headers.emplace_back("if-none-match", "*");
  } else {
    headers.emplace_back("if-match", std::string(FindHeader(current.headers, "etag")));
  }
  client_.Call({.target = platform_address_,
                .method = "PUT",
                .path = ObjectPath(service),
                .headers = std::move(headers),
                .body = pending.value},
               [this, service, revision = pending.revision](const HttpResult& result) {
                 FinishCall(service, revision, result.ok());
               });
}

void CatalogPublisher::FinishCall(const std::string& service, std::uint64_t revision, bool success) {
  PendingObject& pending = pending_.at(service);
  if (!success && ++pending.attempts < kMaxAttempts) {
    loop_.CallAfter(kRetryDelay, [this, service] { ReadCurrent(service); });
    return;
  }
  --running_calls_;
  pending.call_running = false;
  if (success) {
    ++written_count_;
  } else {
    ++failed_count_;
    LogWarn("catalog_not_published", {{"service", service}, {"platform", platform_address_}});
  }
  if (!success || pending.revision == revision) {
    pending_.erase(service);
  }
  StartNext();
}

}  // namespace pimentomoor
