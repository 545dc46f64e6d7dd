/** What is wrong in a file, where, and what was expected instead. */

/** Errors refuse a file; warnings are shown and do not. */
export type Severity = 'error' | 'warning';

/** One thing that is wrong or doubtful in a file. */
export interface Finding {
  readonly severity: Severity;
  readonly file: string;
  /** Line and column count from 1. */
  readonly line: number;
  readonly column: number;
  /** Place within the data: `groups[0].members[2].slots`; empty: the whole. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** Keys and indexes that lead to a value. */
export type DataPath = ReadonlyArray<string | number>;

/** Something wrong at a place of the data, not yet located in the text. */
export interface DataIssue {
  /** `error` by default. */
  readonly severity?: Severity;
  readonly path: DataPath;
  readonly expected: string;
  /** Taken from the document by default. */
  readonly found?: string;
  /** True if the last key of the path is what is wrong, not its value. */
  readonly atKey?: boolean;
}

/** Gives a path its usual form: `groups[0].name`. */
export function formatPath(path: DataPath): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') {
        return `[${part}]`;
      }
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}

/** One line: `file.yaml:12:7: path: expected this, found that`. */
export function formatFinding(finding: Finding): string {
  const {severity, file, line, column, path, expected, found} = finding;
  const prefix = severity === 'warning' ? 'warning: ' : '';
  const subject = path === '' ? '' : `${path}: `;
  const place = `${file}:${line}:${column}`;
  return `${place}: ${prefix}${subject}expected ${expected}, found ${found}`;
}

/** True if a finding refuses its file. */
export function hasErrors(findings: readonly Finding[]): boolean {
  return findings.some(finding => finding.severity === 'error');
}

const LONGEST_SHOWN_TEXT = 60;

/** Describes a value in a finding; long texts are cut. */
export function describeValue(value: unknown): string {
  if (value === undefined || value === null) {
    return 'nothing';
  }
  if (Array.isArray(value)) {
    return value.length === 0 ? 'an empty list' : 'a list';
  }
  if (typeof value === 'object') {
    return 'a mapping';
  }
  const shown =
    typeof value === 'string' ? JSON.stringify(value) : String(value);
  return shown.length > LONGEST_SHOWN_TEXT
    ? `${shown.slice(0, LONGEST_SHOWN_TEXT)}…`
    : shown;
}
