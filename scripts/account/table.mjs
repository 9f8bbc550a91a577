// Tables of text: one column of names, the others of numbers; and before, after and difference side by side.

/** @return a number with at most four decimals; whole numbers as they are. */
function show(value) {
  if (value === undefined) return '-';
  if (typeof value !== 'number') return String(value);
  return Number.isInteger(value) ? String(value) : value.toFixed(4);
}

/**
 * @param title above the table
 * @param header names of the columns
 * @param rows lists of cells, the first a name
 */
export function formatTable(title, header, rows) {
  const cells = [header, ...rows.map((row) => row.map(show))];
  const widths = header.map((_, column) => Math.max(...cells.map((row) => row[column].length)));
  const line = (row) => row.map((cell, column) => (
    column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column]))).join('  ').trimEnd();
  return [title, ...cells.map(line), ''].join('\n');
}

/** Names of `columns` for one report, or each of them before, after and as a difference. */
function compareHeader(columns, reports) {
  if (reports === 1) return columns;
  return columns.flatMap((column) => [`${column} before`, 'after', 'diff']);
}

/**
 * A table of one list of named groups, or of two side by side: groups are matched by name.
 *
 * @param title above the table
 * @param lists one or two lists of objects with a `name`
 * @param columns names of the objects' numbers, and what the header calls them: {key: heading}
 */
export function compareTable(title, lists, columns) {
  const names = [...new Set(lists.flatMap((list) => list.map((entry) => entry.name)))];
  const find = (list, name) => list.find((entry) => entry.name === name);
  const rows = names.map((name) => [name, ...Object.keys(columns).flatMap((key) => {
    const values = lists.map((list) => find(list, name)?.[key]);
    if (values.length === 1) return values;
    const [before, after] = values;
    return [before, after, before === undefined || after === undefined ? undefined : after - before];
  })]);
  return formatTable(title, ['', ...compareHeader(Object.values(columns), lists.length)], rows);
}
