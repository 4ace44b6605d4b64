// medlarctl: command-line tool for operators.

#include <array>
#include <cstdio>
#include <iostream>
#include <random>
#include <thread>

#include "adapters/console/command.h"
#include "adapters/process/system_clock.h"
#include "global_options.h"

namespace {

using medlarcroft::Duration;
using medlarcroft::adapters::CommandContext;
using medlarcroft::adapters::RunCommand;
using medlarcroft::adapters::SteerdClient;
using medlarcroft::adapters::SystemClock;

/// @return 128 random bits, so that ids of different operators do not collide.
std::string MakeChangeId() {
  std::random_device device;
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(),
                device(), device(), device());
  return text.data();
}

}  // namespace

int main(int argc, char** argv) {
  const std::span<const char* const> arguments(
      argv + 1, static_cast<std::size_t>(argc) - 1);
  const auto global = medlarcroft::medlarctl::ParseGlobalOptions(
      arguments, std::cout, std::cerr);
  if (global.exit) {
    return static_cast<int>(*global.exit);
  }

  SteerdClient client({.urls = global.steerd_urls,
                       .token = global.token,
                       .ca_file = global.ca_file});
  const SystemClock clock;
  const CommandContext context{
      .client = client,
      .clock = clock,
      .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); },
      .make_change_id = &MakeChangeId,
      .out = std::cout,
      .errors = std::cerr,
      .is_json = global.is_json};
  return static_cast<int>(RunCommand(context, global.words));
}
