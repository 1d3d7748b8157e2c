// Interface through which a roll-out divides the requests to a service among the versions of its upstreams.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pimentomoor {

class ExchangeObserver;
class UpstreamLink;

/// A set of the upstreams of a service.
enum class VersionScope : std::uint8_t {
  kCanary,  // the upstream of the ordered version at which the canary traffic is concentrated
  kTarget,  // the upstreams of the ordered version
  kOthers,  // those of other versions
  kAny,     // those of all versions that may be used
};

class VersionGate {
 public:
  virtual ~VersionGate() = default;

  /// The scopes that a part may be sent to, in order of preference. `first_send` tells that it has not been sent yet.
  [[nodiscard]] virtual std::vector<VersionScope> ChooseScopes(bool first_send, bool idempotent) = 0;
  [[nodiscard]] virtual bool Admits(VersionScope scope, const UpstreamLink& link) const = 0;
  /// Whether a request that is sent now may go to the upstream.
  [[nodiscard]] virtual bool MayServe(const UpstreamLink& link) const = 0;
  /// Counts a send. The result sees its end.
  [[nodiscard]] virtual std::unique_ptr<ExchangeObserver> OnSend(const UpstreamLink& link, std::string_view route,
                                                                 bool first_send, bool idempotent) = 0;
};

}  // namespace pimentomoor
