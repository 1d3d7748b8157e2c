// Program pimentomoor_bench: cost per unit of work of each part of a daemon, as slopes over several sizes.
#include <tclap/CmdLine.h>

#include <iostream>
#include <stdexcept>

#include "bench_parts.h"
#include "pimentomoor/log.h"
#include "program_main.h"

namespace {

int RunProfile(const std::string& part) {
  if (part == "entry" || part == "entry-merged") {
    pimentomoor::ProfileEntry(part == "entry-merged");
  } else if (part == "owner") {
    pimentomoor::ProfileOwner();
  } else {
    throw std::invalid_argument("profile: unknown part '" + part + "', expected entry, entry-merged or owner");
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return pimentomoor::RunProgram("pimentomoor_bench", [&] {
    TCLAP::CmdLine line("Measures CPU time, bytes and heap per unit of work, in one process over loopback.", ' ',
                        "0.1.0");
    const TCLAP::SwitchArg members("", "members", "Only measure the member lists of gateways.", line);
    const TCLAP::SwitchArg gateway("", "gateway", "Only measure the request path of gateways.", line);
    const TCLAP::SwitchArg json("", "json", "Print the report as JSON.", line);
    TCLAP::ValueArg<std::string> profile("", "profile", "Only run a fixed load on one part, for a profiler.", false,
                                         "", "entry|entry-merged|owner", line);
    line.parse(argc, argv);
    pimentomoor::InitLogging("error");
    if (profile.isSet()) {
      return RunProfile(profile.getValue());
    }
    pimentomoor::BenchReport report;
    if (gateway.getValue()) {
      pimentomoor::MeasureGateway(report);
    } else if (!members.getValue()) {
      pimentomoor::MeasureEntry(report);
      pimentomoor::MeasureOwner(report);
      pimentomoor::MeasureTransport(report);
      pimentomoor::MeasureControl(report);
      pimentomoor::MeasureOnce(report);
      pimentomoor::MeasureGateway(report);
    }
    if (!gateway.getValue()) {
      pimentomoor::MeasureMembers(report);
    }
    std::cout << (json.getValue() ? pimentomoor::ReportJson(report) : pimentomoor::ReportMarkdown(report));
    return 0;
  });
}
