#ifndef MEDLARCROFT_TESTS_PROPERTY_ODD_TARGET_H_
#define MEDLARCROFT_TESTS_PROPERTY_ODD_TARGET_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/event/event_loop.h"
#include "adapters/event/tcp_stream.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::adapters {

/// @brief Names of one protocol between hosts and targets.
struct TargetProtocol {
  std::string id;       ///< Header with the ID of a request.
  std::string not_run;  ///< Header of a refusal.
  std::string success;  ///< Header lines of a success, each with its end.
};

/// @brief A target that answers in any order: with copies of earlier answers,
/// with answers to nothing, without IDs, late, in part or not at all. It never
/// lies about a request in the answer to this request.
class OddTarget final : public DescriptorHandler {
 public:
  OddTarget(EventLoop& loop, std::uint64_t seed, TargetProtocol protocol)
      : loop_(loop), random_(seed), protocol_(std::move(protocol)) {
    names_refusals_ = random_.NextBelow(2) == 0;
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(listener_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address));
    (void)::listen(listener_, 128);
    socklen_t length = sizeof(address);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                        &length);
    port_ = ntohs(address.sin_port);
    loop_.Watch(listener_, *this);
  }
  ~OddTarget() override {
    loop_.Unwatch(listener_);
    ::close(listener_);
  }
  OddTarget(const OddTarget&) = delete;
  OddTarget& operator=(const OddTarget&) = delete;

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  /// @brief How often each request ran, by its ID without the attempt.
  std::map<std::string, int> runs;
  /// Answers that did not belong to the request that waited.
  int odd_answers = 0;

  void OnReadable() override {
    const int accepted =
        ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      connections_.push_back(std::make_shared<Connection>(*this, accepted));
      connections_.back()->self = connections_.back();
    }
  }
  void OnWritable() override {}

 private:
  struct Connection final : StreamHandler {
    Connection(OddTarget& owner, int descriptor)
        : target(owner), stream(owner.loop_, descriptor, *this) {}
    void OnBytes(std::string_view bytes) override {
      input.append(bytes);
      const std::size_t end = input.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::string head = input.substr(0, end);
        input.clear();
        target.Answer(*this, head);
      }
    }
    void OnEnd(StreamEnd /*end*/) override {}
    void Write(const std::string& text) {
      if (stream.IsOpen()) {
        stream.Write(text);
      }
    }

    OddTarget& target;
    TcpStream stream;
    std::string input;
    std::vector<std::string> answers;  ///< Sent, each whole.
    std::weak_ptr<Connection> self;
  };

  bool Chance(std::uint64_t percent) {
    return random_.NextBelow(100) < percent;
  }
  Duration Moment() {
    return std::chrono::microseconds(random_.NextBelow(4000));
  }
  std::string Format(int status,
                     const std::string& id,
                     bool is_refusal,
                     std::string_view more) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    if (!id.empty()) {
      text += protocol_.id + ": " + id + "\r\n";
    }
    if (is_refusal) {
      text += protocol_.not_run + ": 1\r\n";
    }
    return text.append(more).append("Content-Length: 2\r\n\r\nok");
  }
  std::string Refusal(const std::string& id) {
    const int status = random_.NextBelow(2) == 0 ? 503 : 429;
    return Format(status, names_refusals_ ? id : "", true, "");
  }
  /// @brief Something that belongs to no request which waits.
  std::string OddAnswer(const Connection& connection) {
    ++odd_answers;
    if (!connection.answers.empty() && Chance(70)) {
      return connection.answers[random_.NextBelow(connection.answers.size())];
    }
    return Format(Chance(50) ? 429 : 503, "", true, "");
  }

  void Answer(Connection& connection, const std::string& head) {
    const std::string id = IdOf(head);
    if (!connection.answers.empty() && Chance(30)) {
      connection.Write(OddAnswer(connection));
    }
    if (Chance(35)) {
      Finish(connection, Refusal(id));
      return;
    }
    ++runs[id.substr(0, id.find('/'))];
    std::string answer = Format(200, id, false, protocol_.success);
    switch (random_.NextBelow(12)) {
      case 0:
        connection.stream.Close();
        return;
      case 1:
        answer.resize(random_.NextBelow(answer.size()));
        connection.Write(answer);
        connection.stream.FinishWriting();
        return;
      case 2:  // Counts as run, whatever else it says.
        answer = Format(Chance(50) ? 500 : 504, Chance(50) ? id : "", true, "");
        break;
      case 3:
        answer = Format(503, names_refusals_ ? id : "", false, "");
        break;
      default:
        break;
    }
    loop_.After(Chance(50) ? Duration(0) : Moment(),
                [this, self = connection.self, answer] {
                  if (const auto waiting = self.lock()) {
                    Finish(*waiting, answer);
                  }
                });
  }

  void Finish(Connection& connection, const std::string& answer) {
    connection.Write(answer);
    connection.answers.push_back(answer);
    if (Chance(15)) {
      connection.Write(OddAnswer(connection));
    }
    if (Chance(25)) {
      loop_.After(Moment(), [this, self = connection.self] {
        if (const auto open = self.lock()) {
          open->Write(OddAnswer(*open));
        }
      });
    }
  }

  [[nodiscard]] std::string IdOf(const std::string& head) const {
    const std::size_t begin =
        head.find(protocol_.id + ": ") + protocol_.id.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  EventLoop& loop_;
  fakes::SeededRandom random_;
  const TargetProtocol protocol_;
  bool names_refusals_ = false;
  int listener_ = -1;
  int port_ = 0;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_TESTS_PROPERTY_ODD_TARGET_H_
