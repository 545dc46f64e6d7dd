/** Formats results as a text table and as JSON lines. */

/** A result row: values by column name. */
export type Row = Readonly<Record<string, string | number>>;

function formatCell(value: string | number | undefined): string {
  if (typeof value !== 'number') {
    return value ?? '';
  }
  return Number.isInteger(value) ? String(value) : value.toFixed(2);
}

/** Formats a table with a header line; numbers are right-aligned. */
export function formatTable(rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
  const lines = [
    columns,
    ...rows.map(row => columns.map(column => formatCell(row[column]))),
  ];
  const widths = columns.map((unusedName, index) =>
    Math.max(...lines.map(line => line[index]?.length ?? 0)),
  );
  return lines
    .map(line =>
      line
        .map((text, index) =>
          typeof rows[0]?.[columns[index] ?? ''] === 'number'
            ? text.padStart(widths[index] ?? 0)
            : text.padEnd(widths[index] ?? 0),
        )
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats each row as a line of JSON. */
export function formatJsonLines(rows: readonly Row[]): string {
  return rows.map(row => JSON.stringify(row)).join('\n');
}
