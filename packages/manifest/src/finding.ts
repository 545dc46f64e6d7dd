/** Findings: problems in a file, with their location and what was expected. */

/** A file with errors is rejected. Warnings are only reported. */
export type Severity = 'error' | 'warning';

/** An error or a warning at one location of a file. */
export interface Finding {
  readonly severity: Severity;
  readonly file: string;
  /** Line and column are counted from 1. */
  readonly line: number;
  readonly column: number;
  /** Path within the data: `groups[0].members[2].slots`. Empty for the root. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** Keys and indexes from the root of the data to a value. */
export type DataPath = ReadonlyArray<string | number>;

/** A problem at a path of the data, not yet located in the text. */
export interface DataIssue {
  /** Defaults to `error`. */
  readonly severity?: Severity;
  readonly path: DataPath;
  readonly expected: string;
  /** Defaults to a description of the value in the document. */
  readonly found?: string;
  /** True if the last key of the path is wrong rather than its value. */
  readonly atKey?: boolean;
}

/** Formats a path: `groups[0].name`. */
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

/** Formats a finding: `file.yaml:12:7: path: expected this, found that`. */
export function formatFinding(finding: Finding): string {
  const {severity, file, line, column, path, expected, found} = finding;
  const prefix = severity === 'warning' ? 'warning: ' : '';
  const subject = path === '' ? '' : `${path}: `;
  const location = `${file}:${line}:${column}`;
  return `${location}: ${prefix}${subject}expected ${expected}, found ${found}`;
}

/** Returns whether there is an error among the findings. */
export function hasErrors(findings: readonly Finding[]): boolean {
  return findings.some(finding => finding.severity === 'error');
}

const MAXIMUM_VALUE_LENGTH = 60;

/** Describes a value for a finding. Long texts are truncated. */
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
  return shown.length > MAXIMUM_VALUE_LENGTH
    ? `${shown.slice(0, MAXIMUM_VALUE_LENGTH)}…`
    : shown;
}
