/** Formats rows as aligned columns of text. */

const COLUMN_GAP = '  ';

/**
 * Returns one line per row. The first column is aligned to the left, the others
 * to the right.
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly (string | number)[]>,
): string[] {
  const lines = [header, ...rows.map(row => row.map(String))];
  const widths = header.map((unused, column) =>
    Math.max(...lines.map(cells => cells[column]?.length ?? 0)),
  );
  return lines.map(cells =>
    cells
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return column === 0 ? cell.padEnd(width) : cell.padStart(width);
      })
      .join(COLUMN_GAP),
  );
}
