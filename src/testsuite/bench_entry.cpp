// Measures what a query costs the entry: a coordinator, whose owners exist only as prepared answers.
//
// The CPU time leaves out the work of the owners, which parse sub-queries and build answers.
#include <memory>
#include <optional>
#include <stdexcept>
#include <vector>

#include "bench_parts.h"
#include "merge_answers.h"
#include "pimentomoor/coordinator.h"

namespace pimentomoor {
namespace {

constexpr std::size_t kOwners = 25;
const std::vector<std::size_t> kSizes = {50, 100, 350, 700};  // numbers of shards
constexpr int kRuns = 7;
constexpr std::uint32_t kRowLimit = 10;  // rows of the answer to a query

struct EntryShape {
  std::size_t shards = 700;
  int rows_per_shard = 10;
  std::size_t replicas = 2;
  bool one_answer_per_message = false;  // otherwise one message holds all answers of an owner
  bool merged_by_owners = false;        // an owner sends only the best rows of its message
};

// Cost of one query.
struct EntryCost {
  double cpu_us = 0;
  double bytes_sent = 0;
  double bytes_received = 0;
};

std::string UpstreamAddress(std::size_t number) { return "10.21.0." + std::to_string(1'000 + number) + ":8080"; }

std::shared_ptr<Catalog> BuildCatalog(const std::string& service, std::size_t shards, std::size_t replicas) {
  auto catalog = std::make_shared<Catalog>();
  catalog->service = service;
  catalog->snapshots.push_back({.version = 3});
  for (std::size_t shard = 0; shard < shards; ++shard) {
    catalog->snapshots[0].shards.push_back({.shard = static_cast<std::uint32_t>(shard)});
  }
  for (std::size_t number = 0; number < shards * replicas; ++number) {
    const std::string address = UpstreamAddress(number);
    catalog->snapshots[0].shards[number % shards].upstreams.push_back(address);
    catalog->upstreams.push_back(
        {.address = address, .failure_domain = "pampa-sur-" + std::to_string(number / shards)});
  }
  return catalog;
}

class EntryFixture {
 public:
  explicit EntryFixture(EntryShape shape)
      : shape_(shape), large_catalog_(BuildCatalog("remates-01", shape.shards, shape.replicas)) {
    for (std::size_t i = 0; i < kOwners; ++i) {
      owners_.push_back(BenchDaemon(i));
    }
    for (std::size_t i = 0; i < shape.shards * shape.replicas; ++i) {
      owner_of_[UpstreamAddress(i)] = &owners_[i % kOwners];
    }
    plans_.plans.push_back({.customer = "quiroga", .plan = "standard"});
    access_.plans.push_back(
        {.name = "standard", .services = {"*"}, .queries_per_second = 1, .burst = 1, .concurrency = 1});
    coordinator_.emplace(loop_, metrics_, traces_, CoordinatorOptions{.host = "entry"}, MakeHooks());
  }

  void StartQuery(const std::string& service) {
    proto::QueryRequest request;
    request.set_customer("quiroga");
    request.set_service(service);
    request.set_text("free bulls of lot 1234 in December");
    request.set_limit(kRowLimit);
    request.set_deadline_ms(400);
    coordinator_->Run(std::move(request), ParseTraceparent(""), [this](const proto::QueryAnswer& answer) {
      complete_count_ += answer.outcome() == "complete" ? 1 : 0;
    });
  }

  // Answers all sent sub-queries except the first `unanswered` ones. Returns the entry's CPU time.
  double AnswerSubQueries(std::size_t unanswered) {
    const std::vector<std::string> answers = BuildAnswers(unanswered);
    const double start = ProcessCpuMicroseconds();
    for (const std::string& bytes : answers) {
      // Parsed into an arena, as PeerTransport does.
      google::protobuf::Arena arena;
      auto& message = *google::protobuf::Arena::CreateMessage<proto::Envelope>(&arena);
      message.ParseFromString(bytes);
      coordinator_->HandleAnswers(message.sub_answers());
    }
    loop_.RunOnce(Duration::zero());
    return ProcessCpuMicroseconds() - start;
  }

  // Starts `queries` queries at once and answers them.
  EntryCost RunQueries(std::size_t queries) {
    complete_count_ = 0;
    bytes_sent_ = bytes_received_ = 0;
    const double start = ProcessCpuMicroseconds();
    for (std::size_t i = 0; i < queries; ++i) {
      StartQuery(large_catalog_->service);
    }
    double cpu = ProcessCpuMicroseconds() - start;
    cpu += AnswerSubQueries(0);
    if (complete_count_ != queries) {
      throw std::runtime_error("measure entry: " + std::to_string(complete_count_) + " of " +
                               std::to_string(queries) + " queries were complete");
    }
    const auto count = static_cast<double>(queries);
    return {cpu / count, bytes_sent_ / count, bytes_received_ / count};
  }

  // Frees the sent messages, which are not part of the entry's heap.
  void DropSentMessages() { sent_messages_ = std::vector<std::string>(); }
  const std::string& service() const { return large_catalog_->service; }

 private:
  CoordinatorHooks MakeHooks() {
    CoordinatorHooks hooks;
    hooks.usable_owner = [this](const std::string& upstream, const std::string&) {
      return static_cast<const proto::Daemon*>(owner_of_.at(upstream));
    };
    hooks.send = [this](const proto::Daemon& owner, const proto::SubQueries& message) {
      proto::Envelope envelope;
      *envelope.mutable_from() = self_;
      envelope.set_to_incarnation(owner.incarnation());
      *envelope.mutable_sub_queries() = message;
      sent_messages_.push_back(envelope.SerializeAsString());
      bytes_sent_ += static_cast<double>(sent_messages_.back().size());
      return true;
    };
    hooks.cancel = [](const proto::Daemon&, const proto::CancelSubQueries&) {};
    hooks.ask_crash_guard = [](std::uint64_t, const auto& done) { done(proto::CANARY_PROVEN, 0); };
    hooks.report_canary = [](std::uint64_t, bool, const auto&) {};
    hooks.acquire_credit = [](const std::string&, const AccessPlan&, const auto& done) { done(true, ""); };
    hooks.release_credit = [](const std::string&) {};
    hooks.plans = [this] { return &plans_; };
    hooks.access = [this] { return &access_; };
    hooks.catalog = [this](const std::string& name) {
      return name == large_catalog_->service ? large_catalog_ : small_catalog_;
    };
    return hooks;
  }

  // Returns the serialised messages of the owners, and forgets the sub-queries.
  std::vector<std::string> BuildAnswers(std::size_t unanswered) {
    std::vector<std::string> answers;
    for (const std::string& bytes : sent_messages_) {
      proto::Envelope message;
      message.ParseFromString(bytes);
      proto::Envelope answer;
      *answer.mutable_from() = owners_[0];
      answer.set_to_incarnation(self_.incarnation());
      for (const proto::SubQuery& item : message.sub_queries().items()) {
        if (unanswered > 0) {
          --unanswered;
          continue;
        }
        answer.mutable_sub_answers()->set_query_id(message.sub_queries().query_id());
        answer.mutable_sub_answers()->set_entry_incarnation(self_.incarnation());
        FillAnswer(*answer.mutable_sub_answers()->add_items(), item);
        if (shape_.one_answer_per_message) {
          answers.push_back(answer.SerializeAsString());
          answer.clear_sub_answers();
        }
      }
      if (answer.has_sub_answers()) {
        if (shape_.merged_by_owners) {
          MergeAnswers(*answer.mutable_sub_answers(), kRowLimit);
        }
        answers.push_back(answer.SerializeAsString());
      }
    }
    sent_messages_.clear();
    for (const std::string& bytes : answers) {
      bytes_received_ += static_cast<double>(bytes.size());
    }
    return answers;
  }

  void FillAnswer(proto::SubAnswer& answer, const proto::SubQuery& item) const {
    answer.set_id(item.id());
    answer.set_status(proto::SUB_OK);
    answer.set_shard(item.shard());
    answer.set_snapshot(3);
    answer.set_queued_us(150);
    answer.set_upstream_us(2'500);
    answer.set_upstream_load(60);
    for (int row = 0; row < shape_.rows_per_shard; ++row) {
      FillBenchRow(*answer.add_rows(), item.shard(), static_cast<std::size_t>(row));
    }
  }

  EntryShape shape_;
  std::shared_ptr<Catalog> large_catalog_;
  std::shared_ptr<Catalog> small_catalog_ = BuildCatalog("partes", 1, 1);
  ManualClock clock_;  // stands still, so that no deadline or hedge becomes due
  EventLoop loop_{clock_};
  Metrics metrics_;
  TraceStore traces_{1};
  proto::Daemon self_ = BenchDaemon(99);
  std::vector<proto::Daemon> owners_;
  std::map<std::string, const proto::Daemon*> owner_of_;
  CustomerPlans plans_;
  AccessPlans access_;
  std::vector<std::string> sent_messages_;  // serialised messages to owners
  std::size_t complete_count_ = 0;
  double bytes_sent_ = 0;
  double bytes_received_ = 0;
  std::optional<Coordinator> coordinator_;
};

void MeasureQueryCost(BenchReport& report, const std::string& name, EntryShape shape) {
  BenchFigure cpu{"entry", "CPU us per query, " + name, "sub-query", {}};
  BenchFigure sent{"entry", "bytes to owners per query, " + name, "sub-query", {}};
  BenchFigure received{"entry", "bytes from owners per query, " + name, "sub-query", {}};
  std::map<std::size_t, std::unique_ptr<EntryFixture>> entries;
  std::map<std::size_t, EntryCost> costs;
  for (const std::size_t shards : kSizes) {
    shape.shards = shards;
    entries[shards] = std::make_unique<EntryFixture>(shape);
  }
  cpu.points = MeasureSizes(kSizes, kRuns, [&](std::size_t shards) {
    costs[shards] = entries[shards]->RunQueries(7'000 / shards);
    return costs[shards].cpu_us;
  });
  for (const auto& [shards, cost] : costs) {
    sent.points.push_back({static_cast<double>(shards), cost.bytes_sent});
    received.points.push_back({static_cast<double>(shards), cost.bytes_received});
  }
  report.figures.insert(report.figures.end(), {cpu, sent, received});
}

// Measures the heap of running queries. With `answered`, all sub-queries of each query but one are answered, so that
// the entry holds their rows.
void MeasureQueryHeap(BenchReport& report, bool answered) {
  BenchFigure heap{
      "entry",
      answered ? "heap bytes, all but one of 700 shards answered with 10 rows" : "heap bytes, 700 shards unanswered",
      "query in flight",
      {}};
  for (const std::size_t queries : {5U, 10U, 20U, 40U}) {
    EntryFixture entry({});
    entry.RunQueries(1);
    entry.DropSentMessages();
    const double before = HeapBytes();
    for (std::size_t i = 0; i < queries; ++i) {
      entry.StartQuery(entry.service());
      if (answered) {
        entry.AnswerSubQueries(1);
      }
      entry.DropSentMessages();
    }
    heap.points.push_back({static_cast<double>(queries), HeapBytes() - before});
  }
  report.figures.push_back(heap);
}

// Measures the heap that remains for each upstream when no query runs.
void MeasureUpstreamHeap(BenchReport& report) {
  BenchFigure coordinator{"entry", "heap bytes of the coordinator", "known upstream", {}};
  BenchFigure catalog{"entry", "heap bytes of the parsed catalog, one shard each", "known upstream", {}};
  for (const std::size_t upstreams : kSizes) {
    const auto size = static_cast<double>(upstreams);
    double before = HeapBytes();
    const auto built = BuildCatalog("remates-01", upstreams, 1);
    catalog.points.push_back({size, HeapBytes() - before});
    EntryFixture entry({.shards = upstreams, .rows_per_shard = 1, .replicas = 1});
    before = HeapBytes();
    entry.RunQueries(1);
    entry.StartQuery("partes");  // the trace of this small query replaces that of the large one
    entry.AnswerSubQueries(0);
    entry.DropSentMessages();
    coordinator.points.push_back({size, HeapBytes() - before});
  }
  report.figures.push_back(coordinator);
  report.figures.push_back(catalog);
}

}  // namespace

void MeasureEntry(BenchReport& report) {
  MeasureQueryCost(report, "10 rows, 25 messages each way", {.rows_per_shard = 10});
  MeasureQueryCost(report, "10 rows, 25 messages each way, merged by owners",
                   {.rows_per_shard = 10, .merged_by_owners = true});
  MeasureQueryCost(report, "1 row, 25 messages each way", {.rows_per_shard = 1});
  MeasureQueryCost(report, "10 rows, one message per answer", {.rows_per_shard = 10, .one_answer_per_message = true});
  MeasureQueryHeap(report, false);
  MeasureQueryHeap(report, true);
  MeasureUpstreamHeap(report);
}

void ProfileEntry(bool merged) {
  EntryFixture entry({.merged_by_owners = merged});
  for (int i = 0; i < kProfileRounds; ++i) {
    entry.RunQueries(1);
  }
}

}  // namespace pimentomoor
