// Subcommand `status`: shows the status of daemons in one table.
#include <algorithm>
#include <iostream>

#include "daemon_fetch.h"
#include "pimentomoor/acceptance.h"
#include "pimentomoor/cell.h"
#include "pimentomoor/command_registry.h"
#include "text_table.h"

namespace pimentomoor {
namespace {

// Returns the items separated by commas; "-" when there are none.
std::string JoinOrDash(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text.empty() ? "-" : text;
}

// Adds the column CELL, unless all daemons that answered are in the default cell.
void AddCellColumn(std::vector<TableRow>& rows, const std::vector<std::string>& cells) {
  if (std::all_of(cells.begin(), cells.end(),
                  [](const auto& cell) { return cell.empty() || cell == kDefaultCell; })) {
    return;
  }
  rows[0].emplace_back("CELL");
  for (std::size_t i = 0; i < cells.size(); ++i) {
    rows[i + 1].push_back(cells[i].empty() ? "-" : PrintableText(cells[i]));
  }
}

TableRow StatusRow(const std::string& address, const DaemonStatus& status) {
  std::vector<std::string> versions;
  std::size_t catalog_count = 0;
  for (const auto& [key, version] : status.versions) {
    const std::string_view prefix = "config/";
    if (key.starts_with(prefix)) {
      versions.push_back(key.substr(prefix.size()) + "=" + std::to_string(version));
    } else if (version != 0) {
      ++catalog_count;
    }
  }
  if (catalog_count > 0) {
    versions.push_back("catalogs:" + std::to_string(catalog_count));
  }
  return {address,
          status.host,
          std::to_string(status.epoch),
          status.lease,
          JoinOrDash(versions),
          JoinOrDash(status.outages),
          status.leaving ? "yes" : "no"};
}

int ShowStatus(const std::vector<std::string>& daemons, Duration timeout) {
  const auto results = FetchFromDaemons(daemons, "/status", timeout);
  std::vector<TableRow> rows = {{"DAEMON", "HOST", "EPOCH", "LEASE", "VERSIONS", "OUTAGES", "LEAVING"}};
  std::vector<std::string> errors;
  std::vector<std::string> cells(daemons.size());
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    try {
      const DaemonStatus status = ParseDaemonStatus(RequireBody(results[i]), "GET " + daemons[i] + "/status");
      rows.push_back(StatusRow(daemons[i], status));
      cells[i] = status.cell;
    } catch (const std::exception& error) {
      rows.push_back({daemons[i], "-", "-", "-", "-", "-", "-"});
      errors.push_back(daemons[i] + ": " + error.what());
    }
  }
  AddCellColumn(rows, cells);
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

const RegisterCommand kStatusCommand({.name = "status", .summary = "show the status of daemons", .run = RunStatus});

}  // namespace
}  // namespace pimentomoor
