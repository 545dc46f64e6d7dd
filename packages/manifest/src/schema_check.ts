/** Checks data against a zod schema and describes its issues for findings. */
import {z} from 'zod';

import {DataIssue, DataPath, describeValue} from './finding';

/** The result of a check. The value is undefined if there are issues. */
export interface SchemaCheck<T> {
  readonly value: T | undefined;
  readonly issues: readonly DataIssue[];
}

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  object: 'a mapping',
  array: 'a list',
};

function allowedKeys(schema: unknown): string {
  return schema instanceof z.ZodObject
    ? `one of the keys ${Object.keys(schema.shape).join(', ')}`
    : 'no such key';
}

/** Describes an issue for which the schema has no message of its own. */
function describeExpected(issue: z.core.$ZodRawIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return TYPE_DESCRIPTIONS[issue.expected] ?? issue.expected;
    case 'unrecognized_keys':
      return allowedKeys(issue.inst);
    case 'invalid_value':
      return issue.values.map(describeValue).join(' or ');
    case 'too_small':
      return issue.origin === 'array'
        ? `at least ${issue.minimum} in the list`
        : `at least ${issue.minimum}`;
    case 'too_big':
      return issue.origin === 'array'
        ? `at most ${issue.maximum} in the list`
        : `at most ${issue.maximum}`;
    default:
      return 'a valid value';
  }
}

function toDataPath(path: readonly PropertyKey[]): DataPath {
  return path.map(part => (typeof part === 'number' ? part : String(part)));
}

function toDataIssues(issue: z.core.$ZodIssue): DataIssue[] {
  const path = toDataPath(issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return [{path, expected: issue.message}];
  }
  return issue.keys.map(key => ({
    path: [...path, key],
    expected: issue.message,
    found: `the key ${key}`,
    atKey: true,
  }));
}

/**
 * Removes issues with equal path and expectation, which several checks of a
 * value may report.
 */
function deduplicate(issues: readonly DataIssue[]): DataIssue[] {
  const byText = new Map<string, DataIssue>();
  for (const issue of issues) {
    byText.set(JSON.stringify([issue.path, issue.expected]), issue);
  }
  return [...byText.values()];
}

/** Checks data and reports every issue, with one issue per unknown key. */
export function checkBySchema<T>(
  schema: z.ZodType<T>,
  data: unknown,
): SchemaCheck<T> {
  const parsed = schema.safeParse(data, {error: describeExpected});
  if (parsed.success) {
    return {value: parsed.data, issues: []};
  }
  const issues = parsed.error.issues.flatMap(toDataIssues);
  return {value: undefined, issues: deduplicate(issues)};
}
