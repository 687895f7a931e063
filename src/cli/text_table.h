// Aligned columns of text.
#ifndef CLI_TEXT_TABLE_H_
#define CLI_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace kumquatcart {

// Collects rows and prints them with aligned columns. Not thread safe.
class TextTable {
 public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row header);

  // Precondition: as many cells as the header has.
  void Add(Row row);

  void Print(std::ostream& output) const;

 private:
  std::vector<Row> rows;
};

}  // namespace kumquatcart

#endif  // CLI_TEXT_TABLE_H_
