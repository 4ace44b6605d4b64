#include <iostream>
#include <memory>
#include <string>
#include <variant>

#include "example_clock.h"
#include "examples.h"
#include "medlarcroft/idempotency/key_authority.h"
#include "medlarcroft/idempotency/ledger.h"

namespace {

namespace idempotency = medlarcroft::idempotency;
using medlarcroft::HostName;

constexpr std::size_t kLargestAnswer = 1024;

}  // namespace

bool ShowKeys() {
  ExampleClock clock;
  const HostName host("first");
  idempotency::KeyAuthority authority(
      {.host = host, .incarnation = 1},
      {.issuing = "a secret of 16 bytes or more"}, clock);
  idempotency::Ledger ledger({.host = host, .incarnation = 1}, clock);

  // The caller obtains this key before its request and sends it with each
  // attempt.
  const std::string text =
      idempotency::FormatKey(authority.Issue(idempotency::Mode::kLocal));
  const auto parsed = idempotency::ParseKey(text);
  if (!medlarcroft::IsOk(parsed) ||
      authority.FindRefusal(medlarcroft::ValueOf(parsed))) {
    return false;
  }
  const idempotency::Key& key = medlarcroft::ValueOf(parsed);
  const idempotency::Fingerprint fingerprint{};

  int runs = 0;
  int replays = 0;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto decision = ledger.Begin(key, fingerprint, kLargestAnswer, 0);
    if (std::holds_alternative<idempotency::DispatchRequest>(decision)) {
      ++runs;
      ledger.Complete(key, std::make_shared<idempotency::Answer>());
    } else if (std::holds_alternative<idempotency::ReplayAnswer>(decision)) {
      ++replays;
    }
  }
  std::cout << "keys: three attempts, " << runs << " run, " << replays
            << " replayed\n";
  return runs == 1 && replays == 2;
}
