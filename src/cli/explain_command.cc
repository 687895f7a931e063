#include "cli/explain_command.h"

#include <vector>

#include "cli/request_story.h"

namespace kumquatcart {

namespace {

void Print(const char* title,
           const std::vector<std::string>& lines,
           std::ostream* output) {
  if (lines.empty()) {
    return;
  }
  *output << title << '\n';
  for (const std::string& line : lines) {
    *output << "  " << line << '\n';
  }
}

}  // namespace

void ExplainCommand::AddOptions(CLI::App* app) {
  app->add_option("request-id", this->request_id, "The request's id")
      ->required();
}

ExitCode ExplainCommand::Run(const CommandContext& context) {
  std::vector<std::string> lines;
  for (std::string line; std::getline(context.input, line);) {
    lines.push_back(line);
  }
  const RequestStory story = TellRequestStory(lines, this->request_id);
  if (story.decisions.empty()) {
    context.errors << "the log has no line about request " << this->request_id
                   << '\n';
    return ExitCode::kRefused;
  }
  Print("What was believed of its servers and groups:", story.beliefs,
        &context.output);
  Print("What was decided:", story.decisions, &context.output);
  Print("Beliefs that were taken back later:", story.corrections,
        &context.output);
  return ExitCode::kDone;
}

}  // namespace kumquatcart
