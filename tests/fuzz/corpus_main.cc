// Runs a fuzz target over a corpus and seeded mutations of it, where the
// compiler brings no fuzzer of its own.
//
// Usage: change_set_fuzz DIRECTORY [MUTATIONS [SEED]]
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(  // NOLINT(readability-identifier-naming)
    const std::uint8_t* data,
    std::size_t size);

namespace {

constexpr int kDefaultMutations = 20'000;
constexpr unsigned kDefaultSeed = 20261203;
constexpr std::size_t kMaxInputBytes = 1 << 16;

std::vector<std::string> ReadCorpus(const char* directory) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs;
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return inputs;
}

void RunOn(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                         input.size());
}

// Cuts, repeats, overwrites or splices one place of `input`.
std::string Mutate(const std::string& input,
                   const std::string& other,
                   std::mt19937* random) {
  std::string mutated = input;
  const std::size_t place = (*random)() % (mutated.size() + 1);
  const std::size_t length = (*random)() % 16;
  switch ((*random)() % 4) {
    case 0:
      mutated.erase(place, length);
      break;
    case 1:
      mutated.insert(place, mutated.substr(place, length));
      break;
    case 2:
      if (place < mutated.size()) {
        mutated[place] = static_cast<char>((*random)());
      }
      break;
    default:
      mutated.insert(
          place, other.substr((*random)() % (other.size() + 1), length * 4));
      break;
  }
  mutated.resize(std::min(mutated.size(), kMaxInputBytes));
  return mutated;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: change_set_fuzz DIRECTORY [MUTATIONS [SEED]]\n";
    return 2;
  }
  std::vector<std::string> inputs = ReadCorpus(argv[1]);
  if (inputs.empty()) {
    std::cerr << "the corpus is empty\n";
    return 1;
  }
  std::for_each(inputs.begin(), inputs.end(), RunOn);
  const int mutations = argc > 2 ? std::atoi(argv[2]) : kDefaultMutations;
  std::mt19937 random(argc > 3 ? std::atoi(argv[3]) : kDefaultSeed);
  const std::size_t seeds = inputs.size();
  for (int round = 0; round < mutations; ++round) {
    std::string& base = inputs[random() % seeds];
    const std::string& other = inputs[random() % seeds];
    std::string mutated = Mutate(base, other, &random);
    if (random() % 2 == 0) {
      mutated = Mutate(mutated, other, &random);
    }
    RunOn(mutated);
  }
  std::cout << seeds << " inputs and " << mutations << " mutations\n";
  return 0;
}
