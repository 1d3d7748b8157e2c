// Implementation of the options and of the change of a list, with the messages that the operator sees.
#include "list_change.h"

#include <cstdlib>
#include <iostream>
#include <set>

#include "text_table.h"

namespace pimentomoor {
namespace {

// Longest duration of a read or write with its retries. Leaves enough of the default timeout to read back the result
// of a write whose answer was lost.
constexpr Duration kMaxPlatformCallDuration = std::chrono::milliseconds(1'500);
constexpr std::uint32_t kDefaultTimeoutMs = 10'000;

std::string DefaultOperatorName() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

// Whether the output names cells. It does not when there is only the default cell.
bool ShowsCells(const Acceptance& acceptance) {
  return acceptance.cells.size() > 1 || (acceptance.cells.size() == 1 && acceptance.cells[0].cell != kDefaultCell);
}

}  // namespace

OperatorOptions::OperatorOptions(TCLAP::CmdLine& line)
    : deployment_("", "deployment", "Deployment whose lists to show or change, as in the settings of its daemons",
                  true, "", "name", line),
      platforms_("", "platform", "Address of the platform's object API; repeat for more", true, "IP:port", line),
      daemons_("", "daemon", "HTTP address of a daemon to push to and to poll; repeat for more", false, "IP:port",
               line),
      operator_name_("", "operator", "Your name, shown to others on a conflict; default $USER", false,
                     DefaultOperatorName(), "name", line),
      expected_version_("", "expect-version", "Refuse the change unless this is the current version", false, 0,
                        "version", line),
      timeout_ms_("", "timeout-ms", "Longest time to wait for the platform and the daemons; default 10000", false,
                  kDefaultTimeoutMs, "milliseconds", line) {}

void CheckAddresses(const std::string& option, const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (!IsSocketAddress(address)) {
      throw UsageError(option + " " + QuoteForError(address) + " is not IP:port");
    }
  }
}

HttpPlatformClientOptions OperatorOptions::PlatformOptions() const {
  CheckAddresses("--platform", platforms_.getValue());
  return {.endpoints = platforms_.getValue(), .total_timeout = std::min(Timeout(), kMaxPlatformCallDuration)};
}

std::vector<std::string> OperatorOptions::Daemons() const {
  if (daemons_.getValue().empty()) {
    throw UsageError(
        "a change needs at least one --daemon: it is accepted only when a majority of the daemons has it in force");
  }
  CheckAddresses("--daemon", daemons_.getValue());
  return daemons_.getValue();
}

ChangeStamp OperatorOptions::NewStamp() const {
  const std::string& name = operator_name_.getValue();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw UsageError("--operator needs a name of 1 to " + std::to_string(kMaxNameBytes) + " bytes");
  }
  return {.writer = RandomWriterId(), .operator_name = name};
}

OperatorSession::OperatorSession(const OperatorOptions& options)
    : options_(options),
      platform_(loop_, http_, options.PlatformOptions()),
      deployment_objects_(platform_, options.Deployment() + "/"),
      deadline_(loop_.Now() + options.Timeout()) {}

PlatformObject OperatorSession::Read(const std::string& key) {
  std::optional<PlatformReply> answer;
  deployment_objects_.Get(key, [&answer](const PlatformReply& reply) { answer = reply; });
  loop_.RunUntil([&answer] { return answer.has_value(); }, options_.Timeout());
  if (!answer) {
    throw std::runtime_error("get " + key + ": no answer in time");
  }
  if (answer->status != PlatformStatus::kOk && answer->status != PlatformStatus::kNotFound) {
    throw std::runtime_error(answer->error);
  }
  return answer->object;
}

int OperatorSession::Change(const std::string& key,
                            std::function<std::optional<std::string>(const PlatformObject& current)> edit) {
  const std::vector<std::string> daemons = options_.Daemons();
  std::optional<UpdateResult> result;
  const ListUpdate update(loop_, deployment_objects_,
                          {.key = key,
                           .stamp = options_.NewStamp(),
                           .edit = std::move(edit),
                           .expected_version = options_.ExpectedVersion(),
                           .timeout = options_.Timeout()},
                          [&result](const UpdateResult& done) { result = done; });
  // ListUpdate ends by itself at its timeout; the margin covers its last call.
  loop_.RunUntil([&result] { return result.has_value(); }, options_.Timeout() + 2 * kMaxPlatformCallDuration);
  if (!result) {
    throw std::runtime_error("update " + key + ": no result in time");
  }
  const std::string version_text = key + " version " + std::to_string(result->object.version);
  switch (result->outcome) {
    case UpdateOutcome::kWritten:
      std::cout << version_text << ": written, not yet accepted" << std::endl;
      return WaitUntilInForce(result->object);
    case UpdateOutcome::kUnchanged:
      if (result->object.version == 0) {
        std::cout << key << ": nothing to change" << std::endl;
        return 0;
      }
      std::cout << version_text << ": already has this content" << std::endl;
      return WaitUntilInForce(result->object);
    case UpdateOutcome::kConflict:
    case UpdateOutcome::kRefused:
    case UpdateOutcome::kUnknown:
      break;
  }
  throw std::runtime_error(result->message);
}

int OperatorSession::WaitUntilInForce(const PlatformObject& object) {
  const std::string version_text = object.key + " version " + std::to_string(object.version);
  bool accepted = false;
  bool everywhere = false;
  std::set<std::string> accepted_cells;
  const auto show_progress = [&](const Acceptance& acceptance) {
    for (const CellAcceptance& cell : acceptance.cells) {
      if (ShowsCells(acceptance) && cell.accepted() && accepted_cells.insert(cell.cell).second) {
        std::cout << version_text << ": accepted in cell " << PrintableText(cell.cell) << std::endl;
      }
    }
    if (!accepted && acceptance.accepted()) {
      accepted = true;
      std::cout << version_text << ": accepted" << std::endl;
    }
    if (accepted) {
      everywhere = acceptance.in_force_everywhere();
      std::cout << version_text << ": in force on " << acceptance.in_force_count << " of " << acceptance.member_count
                << std::endl;
    }
  };
  const AcceptanceMonitor monitor(
      loop_, http_,
      {.daemons = options_.Daemons(), .key = object.key, .version = object.version, .value = object.value},
      show_progress);
  loop_.RunUntil([&everywhere] { return everywhere; }, std::max(deadline_ - loop_.Now(), Duration::zero()));
  if (everywhere) {
    return 0;
  }
  ReportTimeout(version_text, monitor);
  return accepted ? 0 : 1;
}

void OperatorSession::ReportTimeout(const std::string& version_text, const AcceptanceMonitor& monitor) const {
  const Acceptance& acceptance = monitor.current();
  std::cerr << version_text << ": " << (acceptance.accepted() ? "accepted, but" : "written and not accepted:")
            << " in force on " << acceptance.in_force_count << " of " << acceptance.member_count << " after "
            << options_.Timeout() / std::chrono::milliseconds(1)
            << " ms; daemons that reach the platform or a peer still take it up\n";
  for (const CellAcceptance& cell : acceptance.cells) {
    if (ShowsCells(acceptance)) {
      std::cerr << "  cell " << PrintableText(cell.cell) << ": " << (cell.accepted() ? "accepted" : "not accepted")
                << ", in force on " << cell.in_force_count << " of " << cell.member_count << "\n";
    }
  }
  for (const std::string& host : acceptance.hosts_without_version) {
    std::cerr << "  not in force on " << host << "\n";
  }
  for (const auto& [address, error] : monitor.errors()) {
    std::cerr << "  no status from " << address << ": " << error << "\n";
  }
}

}  // namespace pimentomoor
