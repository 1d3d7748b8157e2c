// Implementation of the persistent HTTP client.
#include "pimentomoor/persistent_http_client.h"

#include <utility>

namespace pimentomoor {

namespace {

constexpr TcpOptions kTcpOptions = {.user_timeout = std::chrono::milliseconds(2'500),
                                    .keepalive_idle = std::chrono::seconds(1)};
constexpr std::string_view kGet = "GET";
constexpr MessageLimits kResponseLimits = {.head_bytes = 16 * 1024, .body_bytes = std::uint64_t{16} * 1024 * 1024};

}  // namespace

PersistentHttpClient::PersistentHttpClient(EventLoop& loop, const FieldNames& names, std::string address,
                                           BufferBudget* budget)
    : loop_(loop), names_(names), address_(std::move(address)) {
  if (budget != nullptr) {
    held_.emplace(*budget, address_, [this] {
      CloseStream();
      Finish(std::nullopt);
    });
  }
}

PersistentHttpClient::~PersistentHttpClient() { loop_.Cancel(timeout_timer_); }

void PersistentHttpClient::Get(const std::string& target, Duration timeout, Callback done) {
  Start(kGet, target, "", timeout, std::move(done));
}

void PersistentHttpClient::Put(const std::string& target, std::string body, Duration timeout, Callback done) {
  Start("PUT", target, std::move(body), timeout, std::move(done));
}

void PersistentHttpClient::Post(const std::string& target, std::string body, Duration timeout, Callback done) {
  Start("POST", target, std::move(body), timeout, std::move(done));
}

void PersistentHttpClient::Delete(const std::string& target, Duration timeout, Callback done) {
  Start("DELETE", target, "", timeout, std::move(done));
}

void PersistentHttpClient::Start(std::string_view method, std::string target, std::string body, Duration timeout,
                                 Callback done) {
  if (done_) {
    Abort();
  }
  method_ = method;
  target_ = std::move(target);
  body_ = std::move(body);
  done_ = std::move(done);
  timeout_timer_ = loop_.CallAfter(timeout, [this] {
    CloseStream();
    Finish(std::nullopt);
  });
  reused_connection_ = stream_ != nullptr;
  SendRequest();
}

void PersistentHttpClient::SendRequest() {
  if (stream_ == nullptr) {
    stream_ = TcpStream::Connect(loop_, address_, *this, kTcpOptions);
  }
  reader_.emplace(names_, kResponseLimits, false, false);
  unparsed_.clear();
  interim_responses_ = 0;
  if (stream_ == nullptr) {
    return;  // connecting failed immediately; the timeout timer reports it
  }
  const std::string head = std::string(method_) + " " + target_ + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
  if (!body_.empty()) {
    stream_->Write(head + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body_.size()) +
                   "\r\n\r\n" + body_);
  } else {
    stream_->Write(head + "\r\n");
  }
}

void PersistentHttpClient::Abort() {
  done_ = nullptr;
  loop_.Cancel(timeout_timer_);
  CloseStream();
  std::string().swap(unparsed_);  // an assignment would keep the memory
  CountHeld();
}

void PersistentHttpClient::CloseStream() { stream_.reset(); }

void PersistentHttpClient::CountHeld() {
  if (held_) {
    held_->Set(done_ ? reader_->held_bytes() + unparsed_.capacity() : 0);
  }
}

void PersistentHttpClient::OnData(std::string_view bytes) {
  if (!done_) {
    CloseStream();  // the server sent bytes although no call is running
    return;
  }
  unparsed_.append(bytes);
  std::string_view rest = unparsed_;
  ReadStatus status = reader_->Read(rest);
  while (status == ReadStatus::kComplete && reader_->message().status < 200) {
    status = ReadStatus::kMalformed;
    if (++interim_responses_ <= kMaxInterimResponses) {
      reader_.emplace(names_, kResponseLimits, false, false);
      status = reader_->Read(rest);
    }
  }
  if (status == ReadStatus::kNeedMore) {
    unparsed_.erase(0, unparsed_.size() - rest.size());
    CountHeld();
    return;
  }
  if (status != ReadStatus::kComplete) {
    CloseStream();
    Finish(std::nullopt);
    return;
  }
  ResponseMessage response = std::move(reader_->message());
  if (!response.keep_alive || !rest.empty()) {
    CloseStream();
  }
  Finish(std::move(response));
}

void PersistentHttpClient::OnEnd(StreamEnd end) {
  CloseStream();
  if (!done_) {
    return;
  }
  if (reused_connection_ && !reader_->started() && method_ == kGet) {
    // The server has closed the idle connection. A GET can safely be sent again over a new one.
    reused_connection_ = false;
    SendRequest();
    return;
  }
  if (end == StreamEnd::kClosed && reader_->started() && reader_->ReadEnd() == ReadStatus::kComplete) {
    Finish(std::move(reader_->message()));
    return;
  }
  Finish(std::nullopt);
}

void PersistentHttpClient::Finish(std::optional<ResponseMessage> response) {
  loop_.Cancel(timeout_timer_);
  const Callback done = std::exchange(done_, nullptr);
  if (!response) {
    reader_.reset();
  }
  std::string().swap(unparsed_);  // an assignment would keep the memory
  CountHeld();
  if (done) {
    loop_.Post([done, response = std::move(response)]() mutable { done(std::move(response)); });
  }
}

}  // namespace pimentomoor
