// By which versions of the configuration requests were handled.
#ifndef SOAK_CONFIG_LEDGER_H_
#define SOAK_CONFIG_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "soak/config_version.h"
#include "soak/version_history.h"

namespace kumquatcart::soak {

struct ConfigAnswer {
  std::string process;  // The VM and which of its starts.
  std::string request_id;
  ConfigQuestion question;
  MonotonicTime sent_at;
  MonotonicTime ended_at;
  int status = 0;                     // 0: no answer.
  std::vector<std::string> services;  // Those that ran it.
  // Whether the process, its path and the store were undisturbed from 3 s
  // before it was sent until its end.
  bool in_touch = false;

  auto Tie() const {
    return std::tie(this->process, this->request_id, this->question,
                    this->sent_at, this->ended_at, this->status, this->services,
                    this->in_touch);
  }
};

// The soak's one thread uses it.
class ConfigLedger {
 public:
  // Precondition: versions come in order.
  void NoteVersion(const ConfigVersion& version);
  // The store loses versions, and acknowledges some of them again.
  VersionHistory& History() { return this->history; }
  // Precondition: the answers of one process come in the order of their ends,
  // and the process has not stopped or ended meanwhile.
  void NoteAnswer(const ConfigAnswer& answer);

  // Every version, in order.
  const std::vector<ConfigVersion>& Versions() const { return this->versions; }
  // Answers that were bound to versions confirmed 2 s before.
  int Bound() const;

  // Every request that no version which may be in force handles as it was.
  std::vector<std::string> Judge() const;

 private:
  // A service that ran a request; none: the request was denied.
  using Handling = std::optional<std::string>;
  struct Shown {
    MonotonicTime at;
    int version = 0;
  };
  using ShownVersions = std::map<std::string, std::vector<Shown>>;

  static std::vector<Handling> HandlingsOf(const ConfigAnswer& answer);
  static bool Allows(const ConfigVersion& version,
                     const ConfigQuestion& question,
                     const Handling& handling);
  // The newest version that must be in force when a request is sent at `time`
  // by a process in touch; 0 if none must.
  int DueAt(MonotonicTime time) const;
  // The oldest version from `first` on that handles the question so and was
  // confirmed before the answer ended; none if there is none.
  std::optional<int> FindVersion(const ConfigAnswer& answer,
                                 const Handling& handling,
                                 int first) const;
  void JudgeOne(const ConfigAnswer& answer,
                const Handling& handling,
                ShownVersions* shown,
                std::vector<std::string>* broken) const;

  std::vector<ConfigVersion> versions;
  VersionHistory history;
  std::vector<ConfigAnswer> answers;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_CONFIG_LEDGER_H_
