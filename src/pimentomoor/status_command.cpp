// Subcommand that shows the status of daemons in one table.
#include <algorithm>
#include <iostream>

#include "daemon_fetch.h"
#include "pimentomoor/acceptance.h"
#include "pimentomoor/cell.h"
#include "pimentomoor/command_registry.h"
#include "text_table.h"

namespace pimentomoor {
namespace {

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ",") + word;
  }
  return text.empty() ? "-" : text;
}

// Adds the column of cells, unless all daemons are in the default cell.
void AddCells(std::vector<TableRow>& rows, const std::vector<std::string>& cells) {
  if (std::all_of(cells.begin(), cells.end(),
                  [](const auto& cell) { return cell.empty() || cell == kDefaultCell; })) {
    return;
  }
  rows[0].emplace_back("CELL");
  for (std::size_t i = 0; i < cells.size(); ++i) {
    rows[i + 1].push_back(cells[i].empty() ? "-" : PrintableText(cells[i]));
  }
}

TableRow RowOf(const std::string& address, const DaemonStatus& status) {
  std::vector<std::string> versions;
  std::size_t catalogs = 0;
  for (const auto& [key, version] : status.versions) {
    const std::string_view prefix = "config/";
    if (key.starts_with(prefix)) {
      versions.push_back(key.substr(prefix.size()) + "=" + std::to_string(version));
    } else if (version != 0) {
      ++catalogs;
    }
  }
  if (catalogs > 0) {
    versions.push_back("catalogs:" + std::to_string(catalogs));
  }
  return {address,        status.host,          std::to_string(status.epoch), status.lease,
          Join(versions), Join(status.outages), status.leaving ? "yes" : "no"};
}

int ShowStatus(const std::vector<std::string>& daemons, Duration timeout) {
  const auto results = FetchAll(daemons, "/status", timeout);
  std::vector<TableRow> rows = {{"DAEMON", "HOST", "EPOCH", "LEASE", "VERSIONS", "OUTAGES", "LEAVING"}};
  std::vector<std::string> errors;
  std::vector<std::string> cells(daemons.size());
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    try {
      const DaemonStatus status = ParseDaemonStatus(RequireBody(results[i]), "GET " + daemons[i] + "/status");
      rows.push_back(RowOf(daemons[i], status));
      cells[i] = status.cell;
    } catch (const std::exception& error) {
      rows.push_back({daemons[i], "-", "-", "-", "-", "-", "-"});
      errors.push_back(daemons[i] + ": " + error.what());
    }
  }
  AddCells(rows, cells);
  PrintTable(rows);
  for (const std::string& error : errors) {
    std::cerr << "pimentomoor status: " << error << "\n";
  }
  return errors.empty() ? 0 : 1;
}

int RunStatus(const std::vector<std::string>& args) {
  return RunCommand(args[0], [&] {
    TCLAP::CmdLine line("Shows the status of daemons; exit code 1 when one does not answer", ' ', "", true);
    const DaemonOptions options(line);
    ParseCommandLine(line, args);
    return ShowStatus(options.Daemons(), options.Timeout());
  });
}

const RegisterCommand kStatus({.name = "status", .summary = "show the status of daemons", .run = RunStatus});

}  // namespace
}  // namespace pimentomoor
