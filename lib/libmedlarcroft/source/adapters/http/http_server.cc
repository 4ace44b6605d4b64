#include "adapters/http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "adapters/process/descriptor_limit.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

/// A request's head must fit; libmicrohttpd rejects a larger one with 431.
constexpr std::size_t kConnectionMemoryBytes = 32 * 1024;

// Each body that is at work is held by the request, and by its send.
constexpr std::size_t kCopiesOfBody = 2;
// Of what all requests may take, at most this part is for connections' buffers.
constexpr std::size_t kBufferMemoryDivisor = 4;
// By then those that stall have given way, or other hosts have room.
constexpr std::string_view kRetryAfterSeconds = "1";

// How exactly idle timeouts are kept.
constexpr std::chrono::milliseconds kIdleCheckInterval{500};

// For how long a stop waits for what has arrived to be read and refused.
constexpr std::chrono::milliseconds kStopLimit{1000};
constexpr std::chrono::milliseconds kStopCheckInterval{5};

constexpr int kFirstClientErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

HttpResponse MakeProblemResponse(int status, std::string_view code) {
  HttpResponse response{.status = status};
  response.headers.Add("Content-Type", "application/problem+json");
  response.headers.Add("Medlar-Outcome", "not-run");
  response.body = R"({"code":")" + std::string(code) + R"("})";
  return response;
}

HttpResponse MakeUnknownOutcomeResponse(int status, std::string_view code) {
  HttpResponse response = MakeProblemResponse(status, code);
  response.headers.Set("Medlar-Outcome", "unknown");
  return response;
}

/// It is unknown whether a request that a shutdown interrupts has run.
HttpResponse MakeStoppingResponse() {
  return MakeUnknownOutcomeResponse(503, "stopping");
}

HttpResponse MakeUnansweredResponse() {
  return MakeUnknownOutcomeResponse(500, "unanswered");
}

MHD_Result AddHeader(void* target,
                     MHD_ValueKind /*kind*/,
                     const char* name,
                     const char* value) {
  static_cast<HttpHeaders*>(target)->Add(name, value ? value : "");
  return MHD_YES;
}

MHD_Result AddQueryParameter(void* target,
                             MHD_ValueKind /*kind*/,
                             const char* name,
                             const char* value) {
  (*static_cast<HttpRequest*>(target)).query[name] = value ? value : "";
  return MHD_YES;
}

std::string PeerAddressOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  return info ? FormatIpAddress(*info->client_addr) : std::string();
}

/// @brief What the server knows of a connection.
struct ConnectionRecord {
  std::uint64_t number = 0;
  ListenerConnections::Id place = 0;
};

const ConnectionRecord* RecordOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info ? static_cast<const ConnectionRecord*>(info->socket_context)
              : nullptr;
}

std::uint64_t ConnectionIdOf(MHD_Connection* connection) {
  const ConnectionRecord* const record = RecordOf(connection);
  return record ? record->number : 0;
}

int DescriptorOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : MHD_INVALID_SOCKET;
}

/// @brief A response body that ends before its announced length.
struct TruncatedResponse {
  std::string body;

  static ssize_t Read(void* self,
                      std::uint64_t position,
                      char* buffer,
                      std::size_t size) {
    const std::string& body = static_cast<TruncatedResponse*>(self)->body;
    if (position >= body.size()) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    return static_cast<ssize_t>(body.copy(buffer, size, position));
  }

  static void Free(void* self) { delete static_cast<TruncatedResponse*>(self); }
};

MHD_Response* CreateMhdResponse(const HttpResponse& response) {
  if (response.missing_bytes > 0) {
    return MHD_create_response_from_callback(
        response.body.size() + response.missing_bytes, kConnectionMemoryBytes,
        &TruncatedResponse::Read, new TruncatedResponse{response.body},
        &TruncatedResponse::Free);
  }
  return MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()),
      MHD_RESPMEM_MUST_COPY);
}

}  // namespace

/// @brief A request from its first header until its response. Shared with the
/// handler, so it can outlive the connection; `connection_` is cleared when
/// libmicrohttpd releases the connection.
class RequestContext final : public Responder {
 public:
  RequestContext(HttpServer& server, MHD_Connection* connection)
      : server_(server), connection_(connection) {
    socket_ = DescriptorOf(connection);
  }
  ~RequestContext() override { ReturnMemory(); }
  RequestContext(const RequestContext&) = delete;
  RequestContext& operator=(const RequestContext&) = delete;

  /// @brief Asks for room for a body that grows, since bytes of it arrived.
  [[nodiscard]] bool AskForMemory(ClientMemory& memory,
                                  std::size_t growth,
                                  std::size_t arrived) {
    if (memory_ == nullptr) {
      memory_ = &memory;
      holder_ = memory.Open(socket_);
    }
    return memory.Ask(holder_, kCopiesOfBody * growth, arrived);
  }
  void OnWholeBody() {
    if (memory_ != nullptr) {
      memory_->OnWhole(holder_);
    }
  }
  void ReturnMemory() {
    if (ClientMemory* const memory = std::exchange(memory_, nullptr)) {
      memory->Close(holder_);
    }
  }

  void Send(HttpResponse response) override {
    const std::lock_guard lock(mutex_);
    if (std::exchange(has_responded_, true) || connection_ == nullptr) {
      return;
    }
    response_ = std::move(response);
    if (is_suspended_) {
      is_suspended_ = false;
      MHD_resume_connection(connection_);
    }
  }

  [[nodiscard]] bool IsClientDisconnected() const override {
    const std::lock_guard lock(mutex_);
    if (connection_ == nullptr) {
      return true;
    }
    // libmicrohttpd does not monitor a suspended connection, so this asks the
    // socket whether the client has closed its side, whatever is unread.
    pollfd state{.fd = socket_, .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0;
  }

  /// @return true when the connection is now suspended until `Send`.
  bool SuspendUnlessResponded() {
    const std::lock_guard lock(mutex_);
    if (response_) {
      return false;
    }
    is_suspended_ = true;
    MHD_suspend_connection(connection_);
    return true;
  }

  std::optional<HttpResponse> TakeResponse() {
    const std::lock_guard lock(mutex_);
    return std::exchange(response_, std::nullopt);
  }

  void Detach() {
    const std::lock_guard lock(mutex_);
    connection_ = nullptr;
  }

  bool HasResponded() const {
    const std::lock_guard lock(mutex_);
    return has_responded_;
  }

  HttpRequest request;
  std::size_t max_body_bytes = 0;
  bool is_body_too_large = false;
  bool has_no_room = false;
  bool is_dispatched = false;

  HttpServer& Server() { return server_; }

 private:
  HttpServer& server_;
  mutable std::mutex mutex_;
  MHD_Connection* connection_;
  MHD_socket socket_;
  ClientMemory* memory_ = nullptr;
  ClientMemory::Id holder_ = 0;
  bool is_suspended_ = false;
  bool has_responded_ = false;
  std::optional<HttpResponse> response_;
};

/// @brief The pending requests of a listener, so that a shutdown can respond to
/// them.
class PendingRequests {
 public:
  void Add(const std::shared_ptr<RequestContext>& context) {
    const std::lock_guard lock(mutex_);
    contexts_.insert(context);
  }

  void Remove(const std::shared_ptr<RequestContext>& context) {
    const std::lock_guard lock(mutex_);
    contexts_.erase(context);
  }

  std::vector<std::shared_ptr<RequestContext>> All() const {
    const std::lock_guard lock(mutex_);
    return {contexts_.begin(), contexts_.end()};
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::shared_ptr<RequestContext>> contexts_;
};

/// @brief State that libmicrohttpd keeps for one request.
struct MhdRequestState {
  std::string raw_target;
  std::shared_ptr<RequestContext> context;
};

// Guards against a handler that loses its responder without an answer: the
// connection stayed suspended for good, the client got nothing, and a planned
// stop waited for it. The last owner's release answers instead.
std::shared_ptr<Responder> MakeResponder(
    const std::shared_ptr<RequestContext>& context) {
  return {context.get(), [context](Responder* /*responder*/) {
            if (!context->HasResponded()) {
              context->Send(MakeUnansweredResponse());
            }
          }};
}

struct ServerCallbacks {
  static MHD_Result Queue(MHD_Connection* connection,
                          HttpServer& server,
                          const HttpResponse& response) {
    if (response.status >= kFirstClientErrorStatus &&
        response.status < kFirstServerErrorStatus) {
      server.counters_.client_errors++;
    }
    MHD_Response* mhd_response = CreateMhdResponse(response);
    for (const HttpHeader& field : response.headers.Fields()) {
      MHD_add_response_header(mhd_response, field.name.c_str(),
                              field.value.c_str());
    }
    if (server.is_draining_ || IsLeaving(server, connection)) {
      MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION,
                              "close");
    }
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
  }

  static bool IsLeaving(HttpServer& server, MHD_Connection* connection) {
    const ConnectionRecord* const record = RecordOf(connection);
    return record != nullptr && server.connections_.IsLeaving(record->place);
  }

  static void BeginRequest(HttpServer& server,
                           MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           MhdRequestState& state) {
    SetState(server, connection, resources::ConnectionState::kReading);
    state.context = std::make_shared<RequestContext>(server, connection);
    HttpRequest& request = state.context->request;
    request.method = method;
    request.path = url;
    request.raw_target = std::move(state.raw_target);
    request.peer_address = PeerAddressOf(connection);
    request.connection_id = ConnectionIdOf(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                              &AddQueryParameter, &request);
    state.context->max_body_bytes = server.handler_.MaxBodyBytes(request);

    server.counters_.requests++;
    server.counters_.in_flight++;
    server.pending_requests_->Add(state.context);
  }

  static void AppendBody(RequestContext& context,
                         const char* data,
                         std::size_t size) {
    std::string& body = context.request.body;
    if (body.size() + size > context.max_body_bytes) {
      // The rest is read and discarded, so that the client gets the error
      // response and not a reset while it is still sending.
      context.is_body_too_large = true;
      body.clear();
    }
    if (context.is_body_too_large || context.has_no_room) {
      return;
    }
    // Guards against a process that runs out of memory because of bodies that
    // are each within their limit.
    ClientMemory* const memory = context.Server().memory_.get();
    if (memory != nullptr &&
        !context.AskForMemory(*memory, GrowthOf(body, size), size)) {
      context.has_no_room = true;
      std::string().swap(body);
      context.ReturnMemory();
      return;
    }
    body.append(data, size);
  }

  /// @return what a body takes in addition when it grows by `bytes`.
  static std::size_t GrowthOf(const std::string& body, std::size_t bytes) {
    const std::size_t needed = body.size() + bytes;
    return needed <= body.capacity()
               ? 0
               : std::max(2 * body.capacity(), needed) - body.capacity();
  }

  static MHD_Result Dispatch(const std::shared_ptr<RequestContext>& context,
                             MHD_Connection* connection) {
    HttpServer& server = context->Server();
    if (context->has_no_room) {
      HttpResponse refusal = MakeProblemResponse(503, "no-memory");
      refusal.headers.Add("Retry-After", kRetryAfterSeconds);
      refusal.headers.Add("Connection", "close");
      return Queue(connection, server, refusal);
    }
    context->OnWholeBody();
    if (server.is_stopping_) {
      HttpResponse refusal = MakeProblemResponse(503, "stopping");
      refusal.headers.Add("Retry-After", kRetryAfterSeconds);
      return Queue(connection, server, refusal);
    }
    if (context->is_body_too_large) {
      server.counters_.bodies_too_large++;
      return Queue(connection, server,
                   MakeProblemResponse(413, "body-too-large"));
    }

    auto response = server.handler_.Handle(std::move(context->request),
                                           MakeResponder(context));
    if (response) {
      return Queue(connection, server, *response);
    }
    if (context->SuspendUnlessResponded()) {
      return MHD_YES;
    }
    return Queue(connection, server, *context->TakeResponse());
  }

  /// @brief Refuses connections only while those that gave way are not gone.
  static MHD_Result OnAccept(void* self,
                             const sockaddr* /*address*/,
                             socklen_t /*length*/) {
    return static_cast<HttpServer*>(self)->connections_.IsFull() ? MHD_NO
                                                                 : MHD_YES;
  }

  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code) {
    HttpServer& server = *static_cast<HttpServer*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      *socket_context = new ConnectionRecord{
          .number = ++server.counters_.connections,
          .place = server.connections_.Add(DescriptorOf(connection))};
    } else {
      const std::unique_ptr<ConnectionRecord> record(
          static_cast<ConnectionRecord*>(
              std::exchange(*socket_context, nullptr)));
      if (record) {
        server.connections_.Remove(record->place);
      }
    }
  }

  static void SetState(HttpServer& server,
                       MHD_Connection* connection,
                       resources::ConnectionState state) {
    if (const ConnectionRecord* const record = RecordOf(connection)) {
      server.connections_.SetState(record->place, state);
    }
  }

  static void* OnUri(void* self, const char* uri, MHD_Connection* connection) {
    SetState(*static_cast<HttpServer*>(self), connection,
             resources::ConnectionState::kHead);
    return new MhdRequestState{.raw_target = uri, .context = nullptr};
  }

  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* /*version*/,
                              const char* upload_data,
                              std::size_t* upload_size,
                              void** opaque_state) {
    auto& server = *static_cast<HttpServer*>(self);
    auto& state = *static_cast<MhdRequestState*>(*opaque_state);
    if (!state.context) {
      BeginRequest(server, connection, url, method, state);
      return MHD_YES;
    }

    const std::shared_ptr<RequestContext> context = state.context;
    if (*upload_size > 0) {
      AppendBody(*context, upload_data, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (!std::exchange(context->is_dispatched, true)) {
      SetState(server, connection, resources::ConnectionState::kServing);
      return Dispatch(context, connection);
    }
    if (auto response = context->TakeResponse()) {
      return Queue(connection, server, *response);
    }
    return MHD_YES;
  }

  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** opaque_state,
                          MHD_RequestTerminationCode /*code*/) {
    auto& server = *static_cast<HttpServer*>(self);
    const std::unique_ptr<MhdRequestState> state(
        static_cast<MhdRequestState*>(*opaque_state));
    *opaque_state = nullptr;
    if (!state || !state->context) {
      return;
    }
    SetState(server, connection, resources::ConnectionState::kIdle);
    state->context->Detach();
    // A request that is at work holds its body until it ends, whether or not
    // its client has left.
    if (!state->context->is_dispatched) {
      state->context->ReturnMemory();
    }
    server.pending_requests_->Remove(state->context);
    server.counters_.in_flight--;
  }
};

namespace {

/// @return the connections that memory and descriptors leave room for.
std::size_t MaxConnections(const HttpServer::Options& options) {
  const std::size_t by_descriptors =
      resources::ConnectionLimit::PartOf(MaxDescriptors(0));
  std::size_t most =
      std::min<std::size_t>(options.max_connections, by_descriptors);
  if (options.memory) {
    most = std::min(most, options.memory->Limits().total /
                              kBufferMemoryDivisor / kConnectionMemoryBytes);
  }
  return most;
}

/// @return a limit for libmicrohttpd that it never reaches, since it would stop
/// to accept. It divides it among its threads.
std::size_t MhdConnectionLimit(const HttpServer::Options& options) {
  return (2 * MaxConnections(options) + 128) * std::max(options.threads, 1U);
}

}  // namespace

Result<std::unique_ptr<HttpServer>, ListenFailure> HttpServer::Start(
    const Options& options,
    HttpHandler& handler) {
  const auto address = ParseSocketAddress(options.address);
  if (!address) {
    return ListenFailure::kBadAddress;
  }

  std::unique_ptr<HttpServer> server(new HttpServer(options, handler));
  server->tls_certificate_ = options.tls_certificate_pem;
  server->tls_key_ = options.tls_key_pem;

  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  if (address->IsIpv6()) {
    flags |= MHD_USE_IPv6;
  }
  std::vector<MHD_OptionItem> items = {
      {MHD_OPTION_SOCK_ADDR, 0, const_cast<sockaddr*>(address->Get())},
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<std::intptr_t>(&ServerCallbacks::OnCompleted),
       server.get()},
      {MHD_OPTION_NOTIFY_CONNECTION,
       reinterpret_cast<std::intptr_t>(&ServerCallbacks::OnConnection),
       server.get()},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<std::intptr_t>(&ServerCallbacks::OnUri), server.get()},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<std::intptr_t>(MhdConnectionLimit(options)), nullptr},
      {MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024, nullptr},
  };
  if (options.threads > 1) {
    items.push_back({MHD_OPTION_THREAD_POOL_SIZE,
                     static_cast<std::intptr_t>(options.threads), nullptr});
  }
  if (!server->tls_certificate_.empty()) {
    flags |= MHD_USE_TLS;
    items.push_back(
        {MHD_OPTION_HTTPS_MEM_CERT, 0, server->tls_certificate_.data()});
    items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, server->tls_key_.data()});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});

  server->daemon_ = MHD_start_daemon(
      flags, PortOf(*address->Get()), &ServerCallbacks::OnAccept, server.get(),
      &ServerCallbacks::OnRequest, server.get(), MHD_OPTION_ARRAY, items.data(),
      MHD_OPTION_END);
  if (server->daemon_ == nullptr) {
    return server->tls_certificate_.empty() ? ListenFailure::kCannotBind
                                            : ListenFailure::kBadTlsMaterial;
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(server->daemon_, MHD_DAEMON_INFO_BIND_PORT);
  server->port_ = info ? info->port : 0;
  server->idle_checks_ =
      std::jthread([raw = server.get(), idle_timeout = options.idle_timeout](
                       const std::stop_token& stop) {
        raw->CheckIdleUntil(stop, idle_timeout);
      });
  return server;
}

HttpServer::HttpServer(const Options& options, HttpHandler& handler)
    : handler_(handler),
      memory_(options.memory),
      connections_(MaxConnections(options)),
      pending_requests_(std::make_unique<PendingRequests>()) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Stop() {
  if (daemon_ == nullptr) {
    return;
  }
  idle_checks_ = {};
  is_draining_ = true;
  is_stopping_ = true;
  AnswerPendingRequests();
  RefuseArrivedRequests();
  // libmicrohttpd must not be stopped while a connection is suspended.
  AnswerPendingRequests();
  MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

void HttpServer::AnswerPendingRequests() {
  for (const auto& context : pending_requests_->All()) {
    context->Send(MakeStoppingResponse());
  }
}

// Guards against whole requests dropped unread: libmicrohttpd closes its
// connections without reading them.
void HttpServer::RefuseArrivedRequests() {
  const auto limit = std::chrono::steady_clock::now() + kStopLimit;
  connections_.LetAllLeave();
  while (!connections_.IsEmpty() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

// Guards against requests that wait while the process is held up: the timeouts
// of libmicrohttpd close their connections without reading them.
void HttpServer::CheckIdleUntil(const std::stop_token& stop,
                                Duration idle_timeout) {
  std::mutex mutex;
  std::condition_variable_any wakeup;
  std::unique_lock lock(mutex);
  while (!wakeup.wait_for(lock, stop, kIdleCheckInterval,
                          [&stop] { return stop.stop_requested(); })) {
    connections_.LetIdleLeave(idle_timeout);
  }
}

}  // namespace medlarcroft::adapters
