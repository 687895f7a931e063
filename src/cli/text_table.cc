#include "cli/text_table.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace kumquatcart {

TextTable::TextTable(Row header) : rows({std::move(header)}) {}

void TextTable::Add(Row row) {
  this->rows.push_back(std::move(row));
}

void TextTable::Print(std::ostream& output) const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const Row& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const Row& row : this->rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += fmt::format("{:<{}}  ", row[column], widths[column]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    output << line << "\n";
  }
}

}  // namespace kumquatcart
