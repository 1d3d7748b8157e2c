// Write, push and poll of a list, with the messages that the operator sees.
#include "list_change.h"

#include <cstdlib>
#include <iostream>
#include <set>

#include "text_table.h"

namespace pimentomoor {
namespace {

// Ends one read or write early enough that a lost answer is read back within the default timeout.
constexpr Duration kPlatformCallLimit = std::chrono::milliseconds(1'500);
constexpr std::uint32_t kDefaultTimeoutMs = 10'000;

std::string DefaultOperator() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

// With the default cell only, the output doesn't mention cells.
bool ShowsCells(const Acceptance& acceptance) {
  return acceptance.cells.size() > 1 || (acceptance.cells.size() == 1 && acceptance.cells[0].cell != kDefaultCell);
}

}  // namespace

OperatorOptions::OperatorOptions(TCLAP::CmdLine& line)
    : deployment_("", "deployment", "Deployment whose lists are meant, as in the settings of its daemons", true, "",
                  "name", line),
      platforms_("", "platform", "Address of the platform's object API; repeat for more", true, "IP:port", line),
      daemons_("", "daemon", "HTTP address of a daemon to push to and to poll; repeat for more", false, "IP:port",
               line),
      operator_("", "operator", "Your name, shown to others on a conflict; default $USER", false, DefaultOperator(),
                "name", line),
      expected_version_("", "expect-version", "Refuse the change unless this is the current version", false, 0,
                        "version", line),
      timeout_ms_("", "timeout-ms", "Longest wait for the platform and the daemons; default 10000", false,
                  kDefaultTimeoutMs, "milliseconds", line) {}

void CheckAddresses(const std::string& option, const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (!IsSocketAddress(address)) {
      throw UsageError(option + " " + QuoteForError(address) + " is not IP:port");
    }
  }
}

HttpPlatformClientOptions OperatorOptions::Platform() const {
  CheckAddresses("--platform", platforms_.getValue());
  return {.endpoints = platforms_.getValue(), .total_timeout = std::min(Timeout(), kPlatformCallLimit)};
}

std::vector<std::string> OperatorOptions::Daemons() const {
  if (daemons_.getValue().empty()) {
    throw UsageError("a change needs at least one --daemon: it is accepted only when daemons have it");
  }
  CheckAddresses("--daemon", daemons_.getValue());
  return daemons_.getValue();
}

ChangeStamp OperatorOptions::NewStamp() const {
  const std::string& name = operator_.getValue();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw UsageError("--operator needs a name of 1 to " + std::to_string(kMaxNameBytes) + " bytes");
  }
  return {.writer = RandomWriterId(), .operator_name = name};
}

OperatorSession::OperatorSession(const OperatorOptions& options)
    : options_(options),
      platform_(loop_, http_, options.Platform()),
      lists_(platform_, options.Deployment() + "/"),
      deadline_(loop_.Now() + options.Timeout()) {}

PlatformObject OperatorSession::Read(const std::string& key) {
  std::optional<PlatformReply> got;
  lists_.Get(key, [&got](const PlatformReply& reply) { got = reply; });
  loop_.RunUntil([&got] { return got.has_value(); }, options_.Timeout());
  if (!got) {
    throw std::runtime_error("get " + key + ": no answer in time");
  }
  if (got->status != PlatformStatus::kOk && got->status != PlatformStatus::kNotFound) {
    throw std::runtime_error(got->error);
  }
  return got->object;
}

int OperatorSession::Change(const std::string& key,
                            std::function<std::optional<std::string>(const PlatformObject& current)> edit) {
  const std::vector<std::string> daemons = options_.Daemons();
  std::optional<UpdateResult> result;
  const ListUpdate update(loop_, lists_,
                          {.key = key,
                           .stamp = options_.NewStamp(),
                           .edit = std::move(edit),
                           .expected_version = options_.ExpectedVersion(),
                           .timeout = options_.Timeout()},
                          [&result](const UpdateResult& done) { result = done; });
  // The update ends by itself; the margin covers its last call.
  loop_.RunUntil([&result] { return result.has_value(); }, options_.Timeout() + 2 * kPlatformCallLimit);
  if (!result) {
    throw std::runtime_error("update " + key + ": no result in time");
  }
  const std::string name = key + " version " + std::to_string(result->object.version);
  switch (result->outcome) {
    case UpdateOutcome::kWritten:
      std::cout << name << ": written, not yet accepted" << std::endl;
      return Follow(result->object);
    case UpdateOutcome::kUnchanged:
      if (result->object.version == 0) {
        std::cout << key << ": nothing to change" << std::endl;
        return 0;
      }
      std::cout << name << ": already has this content" << std::endl;
      return Follow(result->object);
    case UpdateOutcome::kConflict:
    case UpdateOutcome::kRefused:
    case UpdateOutcome::kUnknown:
      break;
  }
  throw std::runtime_error(result->message);
}

int OperatorSession::Follow(const PlatformObject& object) {
  const std::string name = object.key + " version " + std::to_string(object.version);
  bool accepted = false;
  bool everywhere = false;
  std::set<std::string> cells;  // that accepted it
  const auto show = [&](const Acceptance& now) {
    for (const CellAcceptance& cell : now.cells) {
      if (ShowsCells(now) && cell.accepted() && cells.insert(cell.cell).second) {
        std::cout << name << ": accepted in cell " << PrintableText(cell.cell) << std::endl;
      }
    }
    if (!accepted && now.accepted()) {
      accepted = true;
      std::cout << name << ": accepted" << std::endl;
    }
    if (accepted) {
      everywhere = now.in_force_everywhere();
      std::cout << name << ": in force on " << now.in_force_count << " of " << now.member_count << std::endl;
    }
  };
  const AcceptanceMonitor monitor(
      loop_, http_,
      {.daemons = options_.Daemons(), .key = object.key, .version = object.version, .value = object.value}, show);
  loop_.RunUntil([&everywhere] { return everywhere; }, std::max(deadline_ - loop_.Now(), Duration::zero()));
  if (everywhere) {
    return 0;
  }
  ReportTimeout(name, monitor);
  return accepted ? 0 : 1;
}

void OperatorSession::ReportTimeout(const std::string& name, const AcceptanceMonitor& monitor) const {
  const Acceptance& now = monitor.current();
  std::cerr << name << ": " << (now.accepted() ? "accepted, but" : "written and not accepted:") << " in force on "
            << now.in_force_count << " of " << now.member_count << " after "
            << options_.Timeout() / std::chrono::milliseconds(1)
            << " ms; daemons that reach the platform or a peer still take it up\n";
  for (const CellAcceptance& cell : now.cells) {
    if (ShowsCells(now)) {
      std::cerr << "  cell " << PrintableText(cell.cell) << ": " << (cell.accepted() ? "accepted" : "not accepted")
                << ", in force on " << cell.in_force_count << " of " << cell.member_count << "\n";
    }
  }
  for (const std::string& host : now.hosts_without_version) {
    std::cerr << "  not in force on " << host << "\n";
  }
  for (const auto& [address, error] : monitor.errors()) {
    std::cerr << "  no status from " << address << ": " << error << "\n";
  }
}

}  // namespace pimentomoor
