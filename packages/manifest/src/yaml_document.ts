/**
 * Reads a YAML file, checks it against a schema and collects all findings with
 * their locations in the text.
 */
import {Err, Ok, Result} from 'ts-results';
import {
  Document,
  LineCounter,
  isAlias,
  isMap,
  isNode,
  isScalar,
  parseDocument,
  visit,
  type YAMLError,
} from 'yaml';
import type {z} from 'zod';

import {
  DataIssue,
  DataPath,
  Finding,
  describeValue,
  formatPath,
  hasErrors,
} from './finding';
import {checkBySchema} from './schema_check';

/** Options for reading a file. */
export interface YamlReadOptions {
  /** Size in bytes above which a text is rejected without being parsed. */
  readonly maximumBytes?: number;
  /** Top-level keys whose values are never shown in findings. */
  readonly secretKeys?: readonly string[];
}

/** The result of reading a file. */
export interface YamlDocument<T> {
  /** The value if it matches the schema, even if there are other findings. */
  readonly value: T | undefined;
  /** The data in the file, before defaults are filled in. */
  readonly raw: unknown;
  readonly findings: readonly Finding[];
  /** Locates an issue of a further check in the text. */
  locate(issue: DataIssue): Finding;
}

/** Default maximum size of a file, in bytes. */
export const DEFAULT_MAXIMUM_FILE_BYTES = 1024 * 1024;

const START_LOCATION = {line: 1, column: 1};

function findingAtStart(
  file: string,
  expected: string,
  found: string,
): Finding {
  return {
    severity: 'error',
    file,
    ...START_LOCATION,
    path: '',
    expected,
    found,
  };
}

/** Maps data paths of a parsed document to locations in its text. */
function createLocator(
  parsed: Document,
  lineCounter: LineCounter,
  file: string,
  options: YamlReadOptions,
) {
  function locationAt(offset: number) {
    const {line, col} = lineCounter.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  }

  /**
   * Returns the offset of a value in the text, or of its key if `atKey` is set
   * or the value is a collection, as readers look for the key.
   */
  function offsetOf(path: DataPath, atKey: boolean): number | undefined {
    const last = path[path.length - 1];
    const parent = parsed.getIn(path.slice(0, -1), true);
    if (typeof last === 'string' && isMap(parent)) {
      const pair = parent.items.find(
        ({key}) => isScalar(key) && String(key.value) === last,
      );
      const at = isScalar(pair?.value) && !atKey ? pair.value : pair?.key;
      return isNode(at) ? at.range?.[0] : undefined;
    }
    const node = parsed.getIn(path, true);
    return isNode(node) ? node.range?.[0] : undefined;
  }

  /**
   * Returns the location of a value, or for a missing value that of its nearest
   * parent.
   */
  function locationOf(path: DataPath, atKey = false) {
    for (let length = path.length; length > 0; length--) {
      const offset = offsetOf(path.slice(0, length), atKey);
      if (offset !== undefined) {
        return locationAt(offset);
      }
    }
    const offset = parsed.contents?.range?.[0];
    return offset === undefined ? START_LOCATION : locationAt(offset);
  }

  function describeFound(path: DataPath): string {
    const value = parsed.getIn(path);
    const isSecret =
      options.secretKeys?.includes(String(path[0])) && path.length > 0;
    if (isSecret && value !== undefined && value !== null) {
      return 'a value that is not shown';
    }
    if (isNode(value)) {
      return describeValue(value.toJS(parsed));
    }
    return describeValue(value);
  }

  function locate(issue: DataIssue): Finding {
    return {
      severity: issue.severity ?? 'error',
      file,
      ...locationOf(issue.path, issue.atKey),
      path: formatPath(issue.path),
      expected: issue.expected,
      found: issue.found ?? describeFound(issue.path),
    };
  }

  function locateSyntaxError(error: YAMLError): Finding {
    return {
      severity: 'error',
      file,
      ...locationAt(error.pos[0]),
      path: '',
      expected: 'valid YAML',
      found: error.message,
    };
  }

  function aliasFindings(): Finding[] {
    const findings: Finding[] = [];
    visit(parsed, (unusedKey, node) => {
      if (isAlias(node)) {
        findings.push({
          severity: 'error',
          file,
          ...locationAt(node.range?.[0] ?? 0),
          path: '',
          expected: 'no alias',
          found: `*${node.source}`,
        });
      }
    });
    return findings;
  }

  return {locate, locateSyntaxError, aliasFindings};
}

/**
 * Returns whether the data can't be used after an error, because schema
 * findings would only repeat the parser's.
 */
function isFatal(error: YAMLError): boolean {
  return error.code !== 'DUPLICATE_KEY';
}

function readParsed<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
  options: YamlReadOptions,
): YamlDocument<T> {
  const lineCounter = new LineCounter();
  const parsed = parseDocument(text, {lineCounter, prettyErrors: false});
  const locator = createLocator(parsed, lineCounter, file, options);
  const errors: YAMLError[] = [...parsed.errors, ...parsed.warnings];
  const findings = [
    ...errors.map(locator.locateSyntaxError),
    ...locator.aliasFindings(),
  ];
  const {locate} = locator;
  // Aliases can multiply the size of the data, so data with aliases isn't
  // expanded.
  if (errors.some(isFatal) || findings.length > errors.length) {
    return {value: undefined, raw: undefined, findings, locate};
  }
  const raw: unknown = parsed.toJS();
  const checked = checkBySchema(schema, raw);
  findings.push(...checked.issues.map(locate));
  return {value: checked.value, raw, findings, locate};
}

/** Reads a file for further checks, which add their own findings. */
export function openYamlDocument<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
  options: YamlReadOptions = {},
): YamlDocument<T> {
  function reject(expected: string, found: string): YamlDocument<T> {
    const finding = findingAtStart(file, expected, found);
    const locate = (issue: DataIssue) =>
      findingAtStart(file, issue.expected, issue.found ?? '');
    return {value: undefined, raw: undefined, findings: [finding], locate};
  }

  const maximumBytes = options.maximumBytes ?? DEFAULT_MAXIMUM_FILE_BYTES;
  const bytes = Buffer.byteLength(text);
  if (bytes > maximumBytes) {
    return reject(`at most ${maximumBytes} bytes`, `${bytes} bytes`);
  }
  try {
    return readParsed(text, file, schema, options);
  } catch (error) {
    // The parser is recursive, so that very deep nesting overflows its stack.
    return reject('YAML that can be read', String(error));
  }
}

/** Reads a file. If there are errors, returns every finding of the file. */
export function readYamlDocument<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
  options: YamlReadOptions = {},
): Result<T, Finding[]> {
  const {value, findings} = openYamlDocument(text, file, schema, options);
  return value === undefined || hasErrors(findings)
    ? Err([...findings])
    : Ok(value);
}
