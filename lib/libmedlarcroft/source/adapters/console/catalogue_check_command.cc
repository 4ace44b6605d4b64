#include <map>
#include <ostream>

#include "adapters/console/catalogue_commands.h"
#include "adapters/console/response_report.h"
#include "adapters/process/program_options.h"
#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/entry_rules.h"

namespace medlarcroft::adapters {

namespace {

using catalogue::Entry;
using catalogue::FieldFaults;

/// @brief A file whose entry is valid on its own.
struct ParsedFile {
  std::string path;
  Entry entry;
};

void ReportFaults(const CommandContext& context,
                  const std::string& path,
                  const FieldFaults& faults) {
  context.errors << path << ":\n";
  PrintFieldFaults(faults, context.errors);
}

std::optional<ParsedFile> CheckFile(const CommandContext& context,
                                    const std::string& path) {
  const auto text = ReadSettingsFile(path);
  if (!IsOk(text)) {
    PrintSettingsErrors(ErrorOf(text), context.errors);
    return std::nullopt;
  }
  auto parsed =
      catalogue::ParseEntry(ValueOf(text), catalogue::UnknownFields::kRefuse);
  if (!IsOk(parsed)) {
    ReportFaults(context, path, ErrorOf(parsed));
    return std::nullopt;
  }

  ParsedFile checked{.path = path, .entry = TakeValue(std::move(parsed))};
  if (checked.entry.name.IsEmpty()) {
    checked.entry.name = EntryName(path);
  }
  return checked;
}

/// Checks references between entries. Entries refer to failure domains that are
/// defined in other files, so this is possible only with several files.
bool CheckAcrossFiles(const CommandContext& context,
                      const std::vector<ParsedFile>& files) {
  std::map<EntryName, Entry> entries;
  bool are_valid = true;
  for (const ParsedFile& file : files) {
    if (!entries.emplace(file.entry.name, file.entry).second) {
      context.errors << file.path << ": duplicate definition of entry "
                     << file.entry.name << '\n';
      are_valid = false;
    }
  }

  const catalogue::CatalogueView view(1, std::move(entries));
  for (const ParsedFile& file : files) {
    const FieldFaults faults = catalogue::CheckChange(view, file.entry);
    if (!faults.empty()) {
      ReportFaults(context, file.path, faults);
      are_valid = false;
    }
  }
  return are_valid;
}

}  // namespace

ExitCode RunCatalogueCheck(const CommandContext& context, Arguments arguments) {
  if (arguments.empty()) {
    context.errors << "expects at least one file\n";
    return ExitCode::kBadUsage;
  }
  std::vector<ParsedFile> files;
  for (const std::string& path : arguments) {
    if (auto checked = CheckFile(context, path)) {
      files.push_back(*std::move(checked));
    }
  }

  bool are_valid = files.size() == arguments.size();
  if (are_valid && files.size() > 1) {
    are_valid = CheckAcrossFiles(context, files);
  }
  if (are_valid) {
    context.out << files.size() << " valid\n";
  }
  return are_valid ? ExitCode::kSuccess : ExitCode::kInvalid;
}

}  // namespace medlarcroft::adapters
