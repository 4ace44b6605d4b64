#include "adapters/peer/thrift_server.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <ace/Thread.h>
#include <sys/ioctl.h>
#include <thrift/TProcessor.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <chrono>
#include <mutex>
#include <set>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/peer/compact_protocol.h"
#include "adapters/peer/frame.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

using apache::thrift::TProcessor;
using apache::thrift::transport::TMemoryBuffer;

/// The connection of a peer that does not accept an answer within this time is
/// closed, because sending blocks a server thread.
constexpr time_t kSendTimeoutSeconds = 1;

constexpr int kListenBacklog = 128;

/// For how long a stop serves calls that have arrived.
constexpr std::chrono::seconds kStopLimit{1};

/// Each message is held by its reader, by itself and by the one who decodes it.
constexpr std::size_t kCopiesOfMessage = 3;
/// Messages that are small anyway are not counted.
constexpr std::size_t kCountedBytes = std::size_t{64} * 1024;

}  // namespace

class ThriftServer::Impl {
 public:
  Impl(const Options& options, std::shared_ptr<TProcessor> processor)
      : options_(options),
        processor_(std::move(processor)),
        reactor_(new ACE_Dev_Poll_Reactor(), true),
        acceptor_(*this) {}

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Open() {
    if (!acceptor_.Open(options_.address)) {
      return false;
    }
    for (unsigned i = 0; i < options_.threads; ++i) {
      threads_.emplace_back([this] { RunLoop(); });
    }
    return true;
  }

  void Stop() {
    if (threads_.empty()) {
      return;
    }
    reactor_.end_reactor_event_loop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    acceptor_.Close();
    const std::set<Connection*> remaining = std::exchange(connections_, {});
    const auto limit = std::chrono::steady_clock::now() + kStopLimit;
    for (Connection* connection : remaining) {
      if (std::chrono::steady_clock::now() < limit) {
        connection->ServeArrived();
      }
      reactor_.cancel_timer(connection);
      reactor_.remove_handler(connection, ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
      connection->remove_reference();
    }
    reactor_.close();
  }

  std::uint16_t Port() const { return acceptor_.Port(); }
  const ThriftServerCounters& Counters() const { return counters_; }

 private:
  /// Connection of one peer. The reactor calls its I/O handlers from one thread
  /// at a time.
  class Connection final : public ACE_Event_Handler {
   public:
    explicit Connection(Impl& impl)
        : ACE_Event_Handler(&impl.reactor_), impl_(impl) {
      // A timer may fire on one thread while another closes the connection. The
      // references held by the reactor keep the object alive until both have
      // returned.
      reference_counting_policy().value(Reference_Counting_Policy::ENABLED);
    }
    ~Connection() override {
      ReturnMemory();
      stream_.close();
    }

    ACE_SOCK_Stream& Stream() { return stream_; }
    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }

    int handle_input(ACE_HANDLE /*handle*/) override {
      std::array<std::uint8_t, 16 * 1024> chunk{};
      const ssize_t received_bytes = stream_.recv(chunk.data(), chunk.size());
      if (received_bytes < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
        return 0;
      }
      if (received_bytes <= 0) {
        return -1;
      }
      impl_.counters_.bytes_in += static_cast<std::uint64_t>(received_bytes);
      if (!HasMemoryFor(static_cast<std::size_t>(received_bytes))) {
        return -1;
      }
      reader_.Append(
          std::span(chunk).first(static_cast<std::size_t>(received_bytes)));
      const int result = ServeFrames();
      if (reader_.Kept() == 0) {
        ReturnMemory();
      }
      impl_.SetState(place_, reader_.Kept() == 0
                                 ? resources::ConnectionState::kIdle
                                 : resources::ConnectionState::kHead);
      return result;
    }

    /// @brief Serves the calls that wait to be read.
    void ServeArrived() {
      ACE_OS::shutdown(stream_.get_handle(), ACE_SHUTDOWN_READ);
      int unread = 0;
      while (::ioctl(stream_.get_handle(), FIONREAD, &unread) == 0 &&
             unread > 0 && handle_input(stream_.get_handle()) == 0) {
      }
    }

    void SetPlace(ListenerConnections::Id place) { place_ = place; }
    [[nodiscard]] ListenerConnections::Id Place() const { return place_; }

    int handle_timeout(const ACE_Time_Value& /*now*/,
                       const void* /*argument*/) override {
      // A call that waits is served first, and its answer can be sent.
      if (SilenceOf(stream_.get_handle()) >= impl_.options_.idle_timeout) {
        ACE_OS::shutdown(stream_.get_handle(), ACE_SHUTDOWN_READ);
      }
      return 0;
    }

    int handle_close(ACE_HANDLE /*handle*/,
                     ACE_Reactor_Mask /*mask*/) override {
      if (!std::exchange(is_closed_, true)) {
        impl_.RemoveConnection(this);
      }
      return 0;
    }

   private:
    // Guards against a process that runs out of memory because of messages that
    // many peers send together, each within its limit.
    bool HasMemoryFor(std::size_t bytes) {
      ClientMemory* const memory = impl_.options_.memory.get();
      if (memory == nullptr || reader_.Kept() + bytes < kCountedBytes) {
        return true;
      }
      if (holder_ == 0) {
        holder_ = memory->Open(stream_.get_handle());
        bytes += reader_.Kept();
      }
      return memory->Ask(holder_, kCopiesOfMessage * bytes, bytes);
    }

    void ReturnMemory() {
      if (holder_ != 0) {
        impl_.options_.memory->Close(std::exchange(holder_, 0));
      }
    }

    int ServeFrames() {
      while (const auto payload = reader_.Next()) {
        impl_.counters_.frames++;
        if (!Serve(*payload)) {
          return -1;
        }
      }
      if (reader_.IsCorrupt()) {
        impl_.counters_.bad_frames++;
        return -1;
      }
      return 0;
    }

    bool Serve(const std::string& payload) {
      auto input = std::make_shared<TMemoryBuffer>();
      input->write(reinterpret_cast<const std::uint8_t*>(payload.data()),
                   static_cast<std::uint32_t>(payload.size()));
      auto output = std::make_shared<TMemoryBuffer>();
      try {
        impl_.processor_->process(MakeCompactProtocol(input),
                                  MakeCompactProtocol(output), nullptr);
      } catch (const apache::thrift::TException&) {
        impl_.counters_.bad_frames++;
        return false;
      }
      return SendAnswer(output->getBufferAsString());
    }

    bool SendAnswer(const std::string& answer) {
      const auto header = EncodeFrameHeader(answer.size());
      std::string frame(reinterpret_cast<const char*>(header.data()),
                        header.size());
      frame += answer;
      const ACE_Time_Value timeout(kSendTimeoutSeconds);
      const ssize_t sent = stream_.send_n(frame.data(), frame.size(), &timeout);
      impl_.counters_.bytes_out += frame.size();
      return sent == static_cast<ssize_t>(frame.size());
    }

    Impl& impl_;
    ACE_SOCK_Stream stream_;
    FrameReader reader_;
    bool is_closed_ = false;
    ClientMemory::Id holder_ = 0;
    ListenerConnections::Id place_ = 0;
  };

  class Acceptor final : public ACE_Event_Handler {
   public:
    explicit Acceptor(Impl& impl)
        : ACE_Event_Handler(&impl.reactor_), impl_(impl) {}

    bool Open(const std::string& address) {
      const auto parsed = ParseSocketAddress(address);
      ACE_INET_Addr local;
      if (!parsed) {
        return false;
      }
      local.set_addr(parsed->Get(), static_cast<int>(parsed->length));
      if (acceptor_.open(local, 1, parsed->storage.ss_family, kListenBacklog) !=
          0) {
        return false;
      }
      acceptor_.enable(ACE_NONBLOCK);
      return reactor()->register_handler(this,
                                         ACE_Event_Handler::ACCEPT_MASK) == 0;
    }

    void Close() { acceptor_.close(); }

    std::uint16_t Port() const {
      ACE_INET_Addr local;
      acceptor_.get_local_addr(local);
      return local.get_port_number();
    }

    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }

    int handle_input(ACE_HANDLE /*handle*/) override {
      auto connection = std::make_unique<Connection>(impl_);
      if (acceptor_.accept(connection->Stream()) != 0) {
        return 0;
      }
      connection->Stream().enable(ACE_NONBLOCK);
      impl_.AddConnection(std::move(connection));
      return 0;
    }

   private:
    Impl& impl_;
    ACE_SOCK_Acceptor acceptor_;
  };

  void RunLoop() {
    reactor_.owner(ACE_Thread::self());
    while (!reactor_.reactor_event_loop_done()) {
      ACE_Time_Value wait(1);
      reactor_.handle_events(wait);
    }
  }

  void AddConnection(std::unique_ptr<Connection> connection) {
    const std::lock_guard lock(mutex_);
    if (places_.IsFull()) {
      counters_.connections_refused++;
      return;
    }
    Connection* raw = connection.release();
    raw->SetPlace(places_.Add(raw->get_handle()));
    connections_.insert(raw);
    const ACE_Time_Value idle(options_.idle_timeout.count());
    reactor_.schedule_timer(raw, nullptr, idle, idle);
    reactor_.register_handler(raw, ACE_Event_Handler::READ_MASK);
  }

  void SetState(ListenerConnections::Id place,
                resources::ConnectionState state) {
    places_.SetState(place, state);
  }

  void RemoveConnection(Connection* connection) {
    const std::lock_guard lock(mutex_);
    if (connections_.erase(connection) == 0) {
      return;
    }
    places_.Remove(connection->Place());
    reactor_.cancel_timer(connection);
    connection->remove_reference();
  }

  const Options options_;
  const std::shared_ptr<TProcessor> processor_;
  ACE_Reactor reactor_;
  ThriftServerCounters counters_;
  Acceptor acceptor_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::set<Connection*> connections_;
  ListenerConnections places_{options_.max_connections};
};

ThriftServer::ThriftServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

ThriftServer::~ThriftServer() = default;

Result<std::unique_ptr<ThriftServer>, ThriftListenFailure> ThriftServer::Start(
    const Options& options,
    std::shared_ptr<TProcessor> processor) {
  if (!ParseSocketAddress(options.address)) {
    return ThriftListenFailure::kBadAddress;
  }
  auto impl = std::make_unique<Impl>(options, std::move(processor));
  if (!impl->Open()) {
    return ThriftListenFailure::kCannotBind;
  }
  return std::unique_ptr<ThriftServer>(new ThriftServer(std::move(impl)));
}

std::uint16_t ThriftServer::Port() const {
  return impl_->Port();
}

const ThriftServerCounters& ThriftServer::Counters() const {
  return impl_->Counters();
}

void ThriftServer::Stop() {
  impl_->Stop();
}

}  // namespace medlarcroft::adapters
