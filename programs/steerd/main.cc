// medlar-steerd: answers look-ups and keeps the state that all hosts share.
#include "adapters/process/daemon_main.h"
#include "adapters/process/steerd_settings.h"
#include "adapters/steer/steer_node.h"

int main(int argc, char** argv) {
  return medlarcroft::adapters::RunDaemonProgram<
      medlarcroft::adapters::SteerNode>(
      {.name = "medlar-steerd",
       .summary = "answers look-ups, holds the catalogue and plans shifts"},
      medlarcroft::adapters::SteerdSchema(), argc, argv);
}
