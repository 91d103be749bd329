#ifndef PACKAGES_BRAMLEYCTL_TABLE_H_
#define PACKAGES_BRAMLEYCTL_TABLE_H_

#include <string>
#include <utility>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// A table for people: columns as wide as their widest cell, two spaces apart.
class Table {
 public:
  explicit Table(std::vector<std::string> titles);

  void AddRow(std::vector<std::string> cells);
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The titles come first.
};

// One column: a title and the JSON pointer of the value in each row.
struct TableColumn {
  std::string title;
  std::string pointer;
};

Table TableOf(const std::vector<TableColumn>& columns, const Json& rows);

// A value in one cell: "-" when absent, amounts as "4000m 8192MiB 0acc",
// lists separated by commas.
std::string CellText(const Json& value);

// Every value inside an object with its path, as a table of two columns.
std::string FlatText(const Json& object);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_TABLE_H_
