#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  CLI::App app(
      "Serving system for language models whose replicas span several VMs");
  app.set_version_flag("--version", "0.1.0");
  CLI11_PARSE(app, argc, argv);
  return 0;
}
