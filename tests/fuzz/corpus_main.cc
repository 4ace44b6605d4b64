// Runs a fuzz target over the files of a folder, so that every build checks its
// corpus; scripts/fuzz searches for new inputs.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("usage: FUZZER CORPUS_FOLDER\n", stderr);
    return 2;
  }
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::vector<std::uint8_t> bytes(
        (std::istreambuf_iterator<char>(file)),
        std::istreambuf_iterator<char>());
    LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
    ++files;
  }
  std::printf("%d inputs\n", files);
  return files == 0 ? 1 : 0;
}
