#include "adapters/http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

/// A request's head must fit; a larger one is refused by the library with 431.
constexpr std::size_t kConnectionMemoryBytes = 32 * 1024;

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

HttpResponse MakePlainError(int status, std::string_view code) {
  HttpResponse response{.status = status};
  response.headers.Add("Content-Type", "application/problem+json");
  response.headers.Add("Medlar-Outcome", "not-run");
  response.body = R"({"code":")" + std::string(code) + R"("})";
  return response;
}

/// A stop that cuts a request cannot tell whether it ran.
HttpResponse MakeStoppingAnswer() {
  HttpResponse response = MakePlainError(503, "stopping");
  response.headers.Set("Medlar-Outcome", "unknown");
  return response;
}

MHD_Result CollectHeader(void* target,
                         MHD_ValueKind /*kind*/,
                         const char* name,
                         const char* value) {
  static_cast<HttpHeaders*>(target)->Add(name, value ? value : "");
  return MHD_YES;
}

MHD_Result CollectQuery(void* target,
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

std::uint64_t ConnectionIdOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info ? *static_cast<const std::uint64_t*>(info->socket_context) : 0;
}

/// @brief An answer that ends before its announced end.
struct CutAnswer {
  std::string body;

  static ssize_t Read(void* self,
                      std::uint64_t position,
                      char* buffer,
                      std::size_t size) {
    const std::string& body = static_cast<CutAnswer*>(self)->body;
    if (position >= body.size()) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    return static_cast<ssize_t>(body.copy(buffer, size, position));
  }

  static void Free(void* self) { delete static_cast<CutAnswer*>(self); }
};

MHD_Response* MakeLibraryResponse(const HttpResponse& answer) {
  if (answer.missing_bytes > 0) {
    return MHD_create_response_from_callback(
        answer.body.size() + answer.missing_bytes, kConnectionMemoryBytes,
        &CutAnswer::Read, new CutAnswer{answer.body}, &CutAnswer::Free);
  }
  return MHD_create_response_from_buffer(answer.body.size(),
                                         const_cast<char*>(answer.body.data()),
                                         MHD_RESPMEM_MUST_COPY);
}

}  // namespace

/// @brief One request between its first header and its answer. Shared with the
/// handler, so it outlives the connection; `connection_` is cleared when the
/// library drops the connection.
class ConnectionContext final : public Responder {
 public:
  ConnectionContext(HttpServer& server, MHD_Connection* connection)
      : server_(server), connection_(connection) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    socket_ = info ? info->connect_fd : MHD_INVALID_SOCKET;
  }

  void Send(HttpResponse response) override {
    const std::lock_guard lock(mutex_);
    if (response_ || connection_ == nullptr) {
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
    // The library does not watch a suspended connection, so the socket is
    // asked: an orderly close shows as end of file, a reset as an error.
    char byte = 0;
    const ssize_t got = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
  }

  /// @return true when the connection now waits for `Send`.
  bool SuspendUnlessAnswered() {
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

  HttpRequest request;
  std::size_t max_body_bytes = 0;
  bool is_body_too_large = false;
  bool is_dispatched = false;

  HttpServer& Server() { return server_; }

 private:
  HttpServer& server_;
  mutable std::mutex mutex_;
  MHD_Connection* connection_;
  MHD_socket socket_;
  bool is_suspended_ = false;
  std::optional<HttpResponse> response_;
};

/// @brief The requests a listener holds, so that a stop can answer them.
class WaitingRequests {
 public:
  void Add(const std::shared_ptr<ConnectionContext>& context) {
    const std::lock_guard lock(mutex_);
    contexts_.insert(context);
  }

  void Remove(const std::shared_ptr<ConnectionContext>& context) {
    const std::lock_guard lock(mutex_);
    contexts_.erase(context);
  }

  std::vector<std::shared_ptr<ConnectionContext>> All() const {
    const std::lock_guard lock(mutex_);
    return {contexts_.begin(), contexts_.end()};
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::shared_ptr<ConnectionContext>> contexts_;
};

/// @brief The library's slot for one request.
struct RequestSlot {
  std::string raw_target;
  std::shared_ptr<ConnectionContext> context;
};

struct ServerCallbacks {
  static MHD_Result Queue(MHD_Connection* connection,
                          HttpServer& server,
                          const HttpResponse& answer) {
    if (answer.status >= kFirstClientError &&
        answer.status < kFirstServerError) {
      server.counters_.client_errors++;
    }
    MHD_Response* response = MakeLibraryResponse(answer);
    for (const HttpHeader& field : answer.headers.Fields()) {
      MHD_add_response_header(response, field.name.c_str(),
                              field.value.c_str());
    }
    if (server.is_draining_) {
      MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
  }

  static void Begin(HttpServer& server,
                    MHD_Connection* connection,
                    const char* url,
                    const char* method,
                    RequestSlot& slot) {
    slot.context = std::make_shared<ConnectionContext>(server, connection);
    HttpRequest& request = slot.context->request;
    request.method = method;
    request.path = url;
    request.raw_target = std::move(slot.raw_target);
    request.peer_address = PeerAddressOf(connection);
    request.connection_id = ConnectionIdOf(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &request);
    slot.context->max_body_bytes = server.handler_.MaxBodyBytes(request);

    server.counters_.requests++;
    server.counters_.in_flight++;
    server.waiting_->Add(slot.context);
  }

  static void Collect(ConnectionContext& context,
                      const char* data,
                      std::size_t size) {
    std::string& body = context.request.body;
    if (body.size() + size > context.max_body_bytes) {
      // The rest is read and dropped, so that the caller gets its refusal
      // and not a reset in the middle of its own sending.
      context.is_body_too_large = true;
      body.clear();
    }
    if (!context.is_body_too_large) {
      body.append(data, size);
    }
  }

  static MHD_Result Dispatch(const std::shared_ptr<ConnectionContext>& context,
                             MHD_Connection* connection) {
    HttpServer& server = context->Server();
    if (context->is_body_too_large) {
      server.counters_.bodies_too_large++;
      return Queue(connection, server, MakePlainError(413, "body-too-large"));
    }

    auto answer = server.handler_.Handle(std::move(context->request), context);
    if (answer) {
      return Queue(connection, server, *answer);
    }
    if (context->SuspendUnlessAnswered()) {
      return MHD_YES;
    }
    return Queue(connection, server, *context->TakeResponse());
  }

  static void OnConnection(void* self,
                           MHD_Connection* /*connection*/,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code) {
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      HttpServerCounters& counters = static_cast<HttpServer*>(self)->counters_;
      *socket_context = new std::uint64_t(++counters.connections);
    } else {
      delete static_cast<std::uint64_t*>(*socket_context);
      *socket_context = nullptr;
    }
  }

  static void* OnUri(void* /*self*/,
                     const char* uri,
                     MHD_Connection* /*connection*/) {
    return new RequestSlot{.raw_target = uri, .context = nullptr};
  }

  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* /*version*/,
                              const char* upload_data,
                              std::size_t* upload_size,
                              void** opaque_slot) {
    auto& server = *static_cast<HttpServer*>(self);
    auto& slot = *static_cast<RequestSlot*>(*opaque_slot);
    if (!slot.context) {
      Begin(server, connection, url, method, slot);
      return MHD_YES;
    }

    const std::shared_ptr<ConnectionContext> context = slot.context;
    if (*upload_size > 0) {
      Collect(*context, upload_data, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (!std::exchange(context->is_dispatched, true)) {
      return Dispatch(context, connection);
    }
    if (auto answer = context->TakeResponse()) {
      return Queue(connection, server, *answer);
    }
    return MHD_YES;
  }

  static void OnCompleted(void* self,
                          MHD_Connection* /*connection*/,
                          void** opaque_slot,
                          MHD_RequestTerminationCode /*code*/) {
    auto& server = *static_cast<HttpServer*>(self);
    const std::unique_ptr<RequestSlot> slot(
        static_cast<RequestSlot*>(*opaque_slot));
    *opaque_slot = nullptr;
    if (!slot || !slot->context) {
      return;
    }
    slot->context->Detach();
    server.waiting_->Remove(slot->context);
    server.counters_.in_flight--;
  }
};

Result<std::unique_ptr<HttpServer>, ListenFailure> HttpServer::Start(
    const Options& options,
    HttpHandler& handler) {
  const auto address = ParseSocketAddress(options.address);
  if (!address) {
    return ListenFailure::kBadAddress;
  }

  std::unique_ptr<HttpServer> server(new HttpServer(handler));
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
       static_cast<std::intptr_t>(options.max_connections), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<std::intptr_t>(options.idle_timeout.count()), nullptr},
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

  server->daemon_ =
      MHD_start_daemon(flags, PortOf(*address->Get()), nullptr, nullptr,
                       &ServerCallbacks::OnRequest, server.get(),
                       MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
  if (server->daemon_ == nullptr) {
    return server->tls_certificate_.empty() ? ListenFailure::kCannotBind
                                            : ListenFailure::kBadTlsMaterial;
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(server->daemon_, MHD_DAEMON_INFO_BIND_PORT);
  server->port_ = info ? info->port : 0;
  return server;
}

HttpServer::HttpServer(HttpHandler& handler)
    : handler_(handler), waiting_(std::make_unique<WaitingRequests>()) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Stop() {
  if (daemon_ == nullptr) {
    return;
  }
  is_draining_ = true;
  // The library may not be stopped while a connection is suspended.
  for (const auto& context : waiting_->All()) {
    context->Send(MakeStoppingAnswer());
  }
  MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

}  // namespace medlarcroft::adapters
