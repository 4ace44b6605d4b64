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

/// @brief A file that holds a good entry by itself.
struct CheckedFile {
  std::string path;
  Entry entry;
};

void ReportFaults(const CommandContext& context,
                  const std::string& path,
                  const FieldFaults& faults) {
  context.errors << path << ":\n";
  PrintFieldFaults(faults, context.errors);
}

std::optional<CheckedFile> CheckAlone(const CommandContext& context,
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

  CheckedFile checked{.path = path, .entry = TakeValue(std::move(parsed))};
  if (checked.entry.name.IsEmpty()) {
    checked.entry.name = EntryName(path);
  }
  return checked;
}

/// Files that name failure domains make sense only together with the files of
/// these, so references are checked when several are given.
bool CheckTogether(const CommandContext& context,
                   const std::vector<CheckedFile>& files) {
  std::map<EntryName, Entry> entries;
  bool are_good = true;
  for (const CheckedFile& file : files) {
    if (!entries.emplace(file.entry.name, file.entry).second) {
      context.errors << file.path << ": a second file for entry "
                     << file.entry.name << '\n';
      are_good = false;
    }
  }

  const catalogue::CatalogueView view(1, std::move(entries));
  for (const CheckedFile& file : files) {
    const FieldFaults faults = catalogue::CheckChange(view, file.entry);
    if (!faults.empty()) {
      ReportFaults(context, file.path, faults);
      are_good = false;
    }
  }
  return are_good;
}

}  // namespace

ExitCode RunCatalogueCheck(const CommandContext& context, Arguments arguments) {
  if (arguments.empty()) {
    context.errors << "takes one file or more\n";
    return ExitCode::kBadUsage;
  }
  std::vector<CheckedFile> files;
  for (const std::string& path : arguments) {
    if (auto checked = CheckAlone(context, path)) {
      files.push_back(*std::move(checked));
    }
  }

  bool are_good = files.size() == arguments.size();
  if (are_good && files.size() > 1) {
    are_good = CheckTogether(context, files);
  }
  if (are_good) {
    context.out << files.size() << " good\n";
  }
  return are_good ? ExitCode::kDone : ExitCode::kInvalid;
}

}  // namespace medlarcroft::adapters
