// The measurements of pimentomoor_bench, and the helpers that they share.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "bench_report.h"
#include "peer.pb.h"

namespace pimentomoor {

/// CPU time of all threads of the process, in user mode and in the kernel.
double ProcessCpuMicroseconds();

/// Number of bytes that the process has allocated and not freed.
double HeapBytes();

double Median(std::vector<double> values);

/// Median of `runs` results of `measure`, after a first run whose result is dropped.
double MedianOfRuns(int runs, const std::function<double()>& measure);

/// Median of `runs` results of `measure` for each size, after a first run whose result is dropped. Each run measures
/// all sizes, so that a change in the machine's load affects all of them.
std::vector<BenchPoint> MeasureSizes(const std::vector<std::size_t>& sizes, int runs,
                                     const std::function<double(std::size_t size)>& measure);

/// Returns a daemon whose names and addresses have typical lengths.
proto::Daemon BenchDaemon(std::size_t number);

/// Fills a row of an answer with about 70 bytes.
void FillBenchRow(proto::Row& row, std::size_t shard, std::size_t number);

/// Each of these functions measures one part of a daemon and adds its figures and notes to `report`.
void MeasureEntry(BenchReport& report);
void MeasureOwner(BenchReport& report);
void MeasureTransport(BenchReport& report);
void MeasureControl(BenchReport& report);  // uses the figure of MeasureTransport()
void MeasureOnce(BenchReport& report);
void MeasureGateway(BenchReport& report);
void MeasureMembers(BenchReport& report);

/// Number of queries over 700 shards, or of bursts of 700 sub-queries, that the functions below run for a profiler.
constexpr int kProfileRounds = 20;
void ProfileEntry(bool merged);
void ProfileOwner();

}  // namespace pimentomoor
