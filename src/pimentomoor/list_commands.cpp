// Subcommands `plans`, `access` and `outage`, which show and change the operators' lists.
#include <algorithm>
#include <iostream>

#include "list_change.h"
#include "pimentomoor/command_registry.h"

namespace pimentomoor {
namespace {

std::vector<std::string> SortedWithout(const std::vector<std::string>& names,
                                       const std::vector<std::string>& removed) {
  std::vector<std::string> kept = names;
  std::erase_if(kept, [&](const std::string& name) {
    return std::find(removed.begin(), removed.end(), name) != removed.end();
  });
  return kept;
}

std::vector<std::string> SortedWith(const std::vector<std::string>& names, const std::vector<std::string>& added) {
  std::vector<std::string> all = SortedWithout(names, added);
  all.insert(all.end(), added.begin(), added.end());
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

int ShowList(OperatorSession& session, const std::string& key) {
  const PlatformObject object = session.Read(key);
  std::cerr << key << " version " << object.version << (object.version == 0 ? " (does not exist)\n" : "\n");
  std::cout << object.value;
  return 0;
}

/// Whether `current` has the content of `wanted`, apart from the stamp. False when a text does not parse.
template <typename Parse>
bool SameContent(const PlatformObject& current, const std::string& wanted, Parse parse) {
  try {
    auto current_list = parse(current.value, current.key);
    auto wanted_list = parse(wanted, current.key);
    current_list.stamp = wanted_list.stamp;
    return current_list == wanted_list;
  } catch (const ConfigError&) {
    return false;
  }
}

/// Runs `plans` or `access`: shows the list, or sets it from a file.
template <typename Parse>
int RunListCommand(const std::vector<std::string>& args, std::string_view key, const std::string& summary,
                   Parse parse) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line(summary, ' ', "", true);
    std::vector<std::string> actions = {"show", "set"};
    TCLAP::ValuesConstraint<std::string> constraint(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "What to do", true, "", &constraint, line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "File with the new list, for set; - reads standard input",
                                               false, "", "FILE", line);
    const OperatorOptions options(line);
    ParseCommandLine(line, args);
    const bool set = action.getValue() == "set";
    if (set == file.getValue().empty()) {
      throw UsageError(set ? "set needs a FILE" : "show takes no FILE");
    }
    std::string text;
    if (set) {
      text = ReadTextFile(file.getValue(), kMaxObjectBytes);
      parse(text, file.getValue());
    }
    OperatorSession session(options);
    if (!set) {
      return ShowList(session, std::string(key));
    }
    return session.Change(std::string(key), [&](const PlatformObject& current) {
      return SameContent(current, text, parse) ? std::nullopt : std::optional(text);
    });
  });
}

Outages EditOutages(const Outages& current, bool add, const std::vector<std::string>& failure_domains,
                    const std::vector<std::string>& hosts) {
  const auto edit = add ? SortedWith : SortedWithout;
  return {.failure_domains = edit(current.failure_domains, failure_domains),
          .hosts = edit(current.hosts, hosts),
          .stamp = current.stamp};
}

int ListOutages(OperatorSession& session) {
  const PlatformObject object = session.Read(std::string(kOutagesKey));
  const Outages outages = object.version == 0 ? Outages{} : ParseOutages(object.value, object.key);
  std::cout << kOutagesKey << " version " << object.version;
  if (!outages.stamp.operator_name.empty()) {
    std::cout << ", written by " << outages.stamp.operator_name;
  }
  std::cout << "\n";
  for (const std::string& name : outages.failure_domains) {
    std::cout << "failure domain " << name << "\n";
  }
  for (const std::string& name : outages.hosts) {
    std::cout << "host " << name << "\n";
  }
  return 0;
}

int RunOutage(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Lists, adds and removes failure domains and hosts that are out of service", ' ', "", true);
    std::vector<std::string> actions = {"list", "add", "remove"};
    TCLAP::ValuesConstraint<std::string> constraint(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "What to do", true, "", &constraint, line);
    TCLAP::MultiArg<std::string> failure_domains("", "failure-domain", "Failure domain to add or remove", false,
                                                 "name", line);
    TCLAP::MultiArg<std::string> hosts("", "host", "Host name, IP or IP:port to add or remove", false, "host", line);
    const OperatorOptions options(line);
    ParseCommandLine(line, args);
    const bool has_names = !failure_domains.getValue().empty() || !hosts.getValue().empty();
    if (has_names == (action.getValue() == "list")) {
      throw UsageError(has_names ? "list takes no --failure-domain or --host"
                                 : action.getValue() + " needs --failure-domain or --host");
    }
    const bool add = action.getValue() == "add";
    // Throws for malformed names before anything is read or written.
    ParseOutages(RenderOutages(EditOutages({}, true, failure_domains.getValue(), hosts.getValue())), "command line");
    OperatorSession session(options);
    if (!has_names) {
      return ListOutages(session);
    }
    return session.Change(std::string(kOutagesKey), [&](const PlatformObject& current) -> std::optional<std::string> {
      const Outages before = current.version == 0 ? Outages{} : ParseOutages(current.value, current.key);
      const Outages after = EditOutages(before, add, failure_domains.getValue(), hosts.getValue());
      return after == before ? std::nullopt : std::optional(RenderOutages(after));
    });
  });
}

int RunPlans(const std::vector<std::string>& args) {
  return RunListCommand(args, kPlansKey, "Shows or sets the customers' plans", ParseCustomerPlans);
}

int RunAccess(const std::vector<std::string>& args) {
  return RunListCommand(args, kAccessKey, "Shows or sets what each plan may use", ParseAccessPlans);
}

const RegisterCommand kPlansCommand({.name = "plans",
                                     .summary = "show or set the customers' plans",
                                     .run = RunPlans});
const RegisterCommand kAccessCommand({.name = "access",
                                      .summary = "show or set what each plan may use",
                                      .run = RunAccess});
const RegisterCommand kOutageCommand({.name = "outage", .summary = "list, add or remove outages", .run = RunOutage});

}  // namespace
}  // namespace pimentomoor
