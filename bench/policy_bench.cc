// Compares routing policies, each with and without one mechanism, on the same
// seed and arrivals.
#include <cstdint>
#include <iostream>

#include <CLI/CLI.hpp>

#include "policy_report.h"

int main(int argc, char** argv) {
  CLI::App app("Compares routing policies with one mechanism on and off");
  std::uint64_t seed = 20261203;
  app.add_option("--seed", seed, "Seed of arrivals and run times");
  CLI11_PARSE(app, argc, argv);
  std::cout << "experiment,variant,measure,value\n";
  kumquatcart::CompareChoice(seed);
  kumquatcart::CompareFairness(seed);
  kumquatcart::CompareRetries(seed);
  return 0;
}
