// Admission of one request: what its upstreams offer, refusals for lack of room, and the end of a request that can no
// longer succeed. The decisions are in admission.h.
#include <algorithm>
#include <functional>
#include <map>

#include "pimentomoor/json_text.h"
#include "pimentomoor/log.h"
#include "pimentomoor/request_run.h"

namespace pimentomoor {

namespace {

constexpr std::size_t kMaxLabels = 64;  // pairs of route and priority with metrics of their own
constexpr const char* kOtherLabels = "route=\"other\",priority=\"other\"";
constexpr Duration kGaugeInterval = std::chrono::seconds(1);
constexpr const char* kWaitingGauge = "pimentomoor_run_waiting";
// A shorter wait is that for a connection to open.
constexpr Duration kLeastCountedWait = std::chrono::milliseconds(10);

bool IsRefusedForRoom(const AdmissionDecision& decision) { return decision.refusal != AdmissionRefusal::kNone; }

}  // namespace

const std::string& RequestRun::AdmissionLabels() const {
  auto& labels = context_.admission.labels;
  const auto found = labels.find({route_.name, place_.priority});
  if (found != labels.end()) {
    return found->second;
  }
  static const std::string other = kOtherLabels;
  if (labels.size() >= kMaxLabels) {
    return other;
  }
  return labels[{route_.name, place_.priority}] =
             "route=" + JsonQuote(route_.name) + ",priority=\"" + std::to_string(place_.priority) + "\"";
}

AdmissionRequest RequestRun::MakeAdmissionRequest() const {
  const TimePoint now = context_.loop.Now();
  return {.time_left = final_deadline_ - now,
          .objective_left = objective_deadline_ - now,
          .objective = route_.objective,
          .least_work = latency_.least,
          .usual_work = latency_.usual,
          .needed_parts = NeededParts()};
}

PartRoom RequestRun::RoomOf(const Part& part) const {
  const TimePoint now = context_.loop.Now();
  // An upstream that refuses connections has an empty queue and yet no room.
  const auto is_last_resort = [now](const UpstreamLink& link) {
    return link.entry_missing() || now < link.signals.backoff_until;
  };
  std::vector<UpstreamRoom> rooms;
  std::vector<UpstreamRoom> last_resort_rooms;
  for (const auto& link : part.service->links) {
    if (!context_.upstreams.MayServe(*link)) {
      continue;
    }
    const bool last_resort = is_last_resort(*link);
    if (!last_resort && !link->has_waiting()) {
      return {};  // the usual case, which allocates nothing
    }
    (last_resort ? last_resort_rooms : rooms).push_back(link->RoomFor(place_, now));
  }
  return RoomOfPart(rooms.empty() ? last_resort_rooms : rooms);
}

bool RequestRun::Admit() {
  if (naive_admission()) {
    return true;
  }
  AdmissionState& state = context_.admission;
  const TimePoint now = context_.loop.Now();
  place_.priority = owner_.priority;
  place_.customer = owner_.customer == nullptr ? 0 : std::hash<std::string>()(owner_.customer->name);
  AdmissionRequest request = MakeAdmissionRequest();
  request.early_by = EarlyBy(state.told_returns, ReturnKey(), now);
  if (place_.customer != 0 && !request.early_by) {
    place_.step = 1 / CountDemand(state.demand, place_.customer, now);
  }
  std::vector<PartRoom> rooms;
  rooms.reserve(parts_.size());
  for (const auto& part : parts_) {
    rooms.push_back(RoomOf(part));
  }
  const AdmissionDecision decision = DecideAdmission(request, rooms);
  if (IsRefusedForRoom(decision)) {
    RefuseForRoom(decision,
                  decision.refusal == AdmissionRefusal::kEarly ? "reason=\"early return\"" : "reason=\"no room\"");
    return false;
  }
  context_.metrics.Count("pimentomoor_run_admitted_total", 1, AdmissionLabels());
  return true;
}

std::uint64_t RequestRun::ReturnKey() const { return request_->fingerprint ^ place_.customer; }

void RequestRun::RefuseForRoom(const AdmissionDecision& decision, const char* reason) {
  AdmissionState& state = context_.admission;
  const TimePoint now = context_.loop.Now();
  context_.metrics.Count("pimentomoor_run_refused_total", 1, reason);
  context_.metrics.Count("pimentomoor_run_not_admitted_total", 1, AdmissionLabels());
  // A request that ran out of time elsewhere, for example at a searcher that hangs, is no sign of overload.
  if (decision.room_per_s > 0 && RecordOverload(state.overload, now)) {
    LogWarn("overload begins", {{"route", route_.name},
                                {"room_in_ms", std::to_string(decision.room_in / std::chrono::milliseconds(1))}});
  }
  Duration retry_after{};
  if (decision.refusal == AdmissionRefusal::kEarly) {
    retry_after = decision.room_in;  // as it was told before
  } else {
    retry_after = BookReturn(state.returns[route_.name], decision, final_deadline_ - now, now);
    RememberReturn(state.told_returns, ReturnKey(), now + retry_after, now);
  }
  Refuse(retry_after);
}

bool RequestRun::MayHedgeTo(const UpstreamLink& link) const {
  return naive_admission() || HasRoomForHedge(link.MakeHedgeTarget());
}

bool RequestRun::IsWithinReach(const Part& part, const AdmissionRequest& request) const {
  if (part.done || !part.running.empty()) {
    return true;
  }
  return (part.sent_count == 0 || !HasUsedAttempts(part)) && MayArrive(request, RoomOf(part));
}

bool RequestRun::EndIfOutOfReach() {
  if (finished_ || naive_admission()) {
    return finished_;
  }
  const auto idle = [](const Part& part) { return !part.done && part.running.empty(); };
  if (std::none_of(parts_.begin(), parts_.end(), idle)) {
    return false;
  }
  const AdmissionRequest request = MakeAdmissionRequest();
  // The upstream's own failure may be the answer to a request without shards.
  if (!is_gather() && (may_have_run_ || MayArrive(request, RoomOf(parts_.front())))) {
    return false;
  }
  const auto reachable = static_cast<std::size_t>(
      std::count_if(parts_.begin(), parts_.end(), [&](const Part& part) { return IsWithinReach(part, request); }));
  if (reachable >= NeededParts()) {
    return false;
  }
  const bool sent = std::any_of(parts_.begin(), parts_.end(), [](const Part& part) {
    return std::any_of(part.running.begin(), part.running.end(), [](const auto& exchange) { return exchange->sent; });
  });
  if (may_have_run_ || sent) {
    Fail(504, "out of reach");
  } else {
    RefuseForRoom({.refusal = AdmissionRefusal::kNoRoom, .room_in = latency_.usual}, "reason=\"out of time\"");
  }
  return true;
}

bool RequestRun::IsWaiting() const {
  return std::any_of(parts_.begin(), parts_.end(), [](const Part& part) {
    return std::any_of(part.running.begin(), part.running.end(),
                       [](const auto& exchange) { return !exchange->sent; });
  });
}

void RequestRun::RecordWait() {
  if (waited_ >= kLeastCountedWait) {
    context_.metrics.Observe("pimentomoor_run_waited_seconds", waited_, AdmissionLabels());
  }
}

void UpdateAdmission(SharedRequestContext& context) {
  AdmissionState& state = context.admission;
  const TimePoint now = context.loop.Now();
  if (EndOverload(state.overload, now)) {
    LogInfo(
        "overload ended",
        {{"seconds", std::to_string((state.overload.refused_at - state.overload.began_at) / std::chrono::seconds(1))},
         {"refused", std::to_string(state.overload.refused)}});
  }
  if (now - state.gauges_updated_at < kGaugeInterval) {
    return;
  }
  state.gauges_updated_at = now;
  std::map<std::string, double> waiting;
  for (const auto& labels : state.waiting_labels) {
    waiting[labels] = 0;
  }
  state.waiting_labels.clear();
  for (const RequestRun* run : context.running) {
    if (run->IsWaiting()) {
      ++waiting[run->AdmissionLabels()];
    }
  }
  for (const auto& [labels, requests] : waiting) {
    context.metrics.SetGauge(kWaitingGauge, requests, labels);
    if (requests > 0) {
      state.waiting_labels.insert(labels);
    }
  }
}

}  // namespace pimentomoor
