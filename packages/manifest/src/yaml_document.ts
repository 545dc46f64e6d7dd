/**
 * Reads a YAML file by a schema and collects everything that is wrong with it,
 * each with its place in the text.
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

/** How a file is read. */
export interface YamlReadOptions {
  /** A longer text is refused unread, bytes. */
  readonly maximumBytes?: number;
  /** Top-level keys whose values findings must not show. */
  readonly secretKeys?: readonly string[];
}

/** A file that was read. */
export interface YamlDocument<T> {
  /** The value if the schema accepts it; there may be other findings. */
  readonly value: T | undefined;
  /** The data as it stands in the file. */
  readonly raw: unknown;
  readonly findings: readonly Finding[];
  /** Locates something that further checks found. */
  locate(issue: DataIssue): Finding;
}

/** Largest file that is read by default, in bytes. */
export const DEFAULT_MAXIMUM_FILE_BYTES = 1024 * 1024;

const START = {line: 1, column: 1};

function findingAtStart(
  file: string,
  expected: string,
  found: string,
): Finding {
  return {severity: 'error', file, ...START, path: '', expected, found};
}

/** Finds places of data in the text of a parsed document. */
function createLocator(
  parsed: Document,
  lineCounter: LineCounter,
  file: string,
  options: YamlReadOptions,
) {
  function placeAt(offset: number) {
    const {line, col} = lineCounter.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  }

  /** Collections are placed at their key, which is what one looks for. */
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

  /** A value that is missing is placed where its parent begins. */
  function placeOf(path: DataPath, atKey = false) {
    for (let length = path.length; length > 0; length--) {
      const offset = offsetOf(path.slice(0, length), atKey);
      if (offset !== undefined) {
        return placeAt(offset);
      }
    }
    const offset = parsed.contents?.range?.[0];
    return offset === undefined ? START : placeAt(offset);
  }

  function foundAt(path: DataPath): string {
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
      ...placeOf(issue.path, issue.atKey),
      path: formatPath(issue.path),
      expected: issue.expected,
      found: issue.found ?? foundAt(issue.path),
    };
  }

  function locateSyntaxError(error: YAMLError): Finding {
    return {
      severity: 'error',
      file,
      ...placeAt(error.pos[0]),
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
          ...placeAt(node.range?.[0] ?? 0),
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

/** Schema findings after these would only repeat what the parser said. */
function stopsReading(error: YAMLError): boolean {
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
  // Aliases may multiply the data, so it isn't expanded if there are any.
  if (errors.some(stopsReading) || findings.length > errors.length) {
    return {value: undefined, raw: undefined, findings, locate};
  }
  const raw: unknown = parsed.toJS();
  const checked = checkBySchema(schema, raw);
  findings.push(...checked.issues.map(locate));
  return {value: checked.value, raw, findings, locate};
}

/** Reads a file for further checks: they add findings of their own. */
export function openYamlDocument<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
  options: YamlReadOptions = {},
): YamlDocument<T> {
  function refuse(expected: string, found: string): YamlDocument<T> {
    const finding = findingAtStart(file, expected, found);
    const locate = (issue: DataIssue) =>
      findingAtStart(file, issue.expected, issue.found ?? '');
    return {value: undefined, raw: undefined, findings: [finding], locate};
  }

  const maximumBytes = options.maximumBytes ?? DEFAULT_MAXIMUM_FILE_BYTES;
  const bytes = Buffer.byteLength(text);
  if (bytes > maximumBytes) {
    return refuse(`at most ${maximumBytes} bytes`, `${bytes} bytes`);
  }
  try {
    return readParsed(text, file, schema, options);
  } catch (error) {
    // The parser descends by recursion: absurdly deep nesting ends here.
    return refuse('YAML that can be read', String(error));
  }
}

/** Reads a file by a schema; every finding of the file is reported. */
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
