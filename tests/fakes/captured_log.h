// Collects what a test logs.
#ifndef FAKES_CAPTURED_LOG_H_
#define FAKES_CAPTURED_LOG_H_

#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <string>

namespace kumquatcart {

// Collects what is written to standard error, to which tests log.
class CapturedLog {
 public:
  CapturedLog() : file(std::tmpfile()), stderr_copy(dup(STDERR_FILENO)) {
    dup2(fileno(this->file), STDERR_FILENO);
  }
  ~CapturedLog() {
    dup2(this->stderr_copy, STDERR_FILENO);
    close(this->stderr_copy);
    std::fclose(this->file);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  // Whether a line of `event` holds all of `fields`.
  bool HasLine(const std::string& event, const std::string& fields) const {
    std::istringstream lines(this->Text());
    for (std::string line; std::getline(lines, line);) {
      if (line.find("event=" + event + " id=id1 ") != std::string::npos &&
          line.find(fields) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  // Number of lines of `event`.
  int CountLines(const std::string& event) const {
    std::istringstream lines(this->Text());
    int count = 0;
    for (std::string line; std::getline(lines, line);) {
      if (line.find("event=" + event + " ") != std::string::npos) {
        ++count;
      }
    }
    return count;
  }

 private:
  std::string Text() const {
    std::rewind(this->file);
    std::string text;
    for (int c = std::fgetc(this->file); c != EOF; c = std::fgetc(this->file)) {
      text.push_back(static_cast<char>(c));
    }
    return text;
  }

  std::FILE* const file;
  const int stderr_copy;
};

}  // namespace kumquatcart

#endif  // FAKES_CAPTURED_LOG_H_
