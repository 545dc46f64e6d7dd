/**
 * Summarizes the log lines of ended requests for fault analysis: per second,
 * the number of requests by outcome, reason and kind, and where most of them
 * ended; or the number of requests by outcome and chosen fields. Finds the
 * lines of one request.
 */
import {z} from 'zod';

/** Requests of one second with the same outcome, reason and kind. */
export interface RequestSummaryRow {
  /** Start of the second, ISO 8601 in UTC. */
  readonly second: string;
  readonly outcome: string;
  readonly reason: string;
  readonly kind: string;
  readonly count: number;
  readonly meanMilliseconds: number;
  /** Proxy at which most of them ended. */
  readonly proxy: string;
  /** Last target of most of them. */
  readonly target: string;
}

/** Fields of a log line by which requests can be grouped. */
export const REQUEST_FIELDS = [
  'account',
  'group',
  'kind',
  'reason',
  'target',
  'peer',
] as const;
export type RequestField = (typeof REQUEST_FIELDS)[number];

/** Requests of a whole log with the same outcome and the same fields. */
export interface RequestGroupRow {
  readonly outcome: string;
  /** Values of the chosen fields; empty where the line has no such field. */
  readonly fields: Partial<Record<RequestField, string>>;
  readonly count: number;
  readonly meanMilliseconds: number;
  readonly longestMilliseconds: number;
  /** Times of the first and the last line, ISO 8601 in UTC. */
  readonly first: string;
  readonly last: string;
}

const lineSchema = z.object({
  time: z.string(),
  proxy: z.string().default(''),
  event: z.literal('request ended'),
  outcome: z.string().default(''),
  account: z.string().default(''),
  group: z.string().default(''),
  peer: z.string().default(''),
  reason: z.string().default(''),
  kind: z.string().default(''),
  target: z.string().default(''),
  milliseconds: z.number().default(0),
});
type EndedRequest = z.infer<typeof lineSchema>;

/** Length of a time to the second, such as `2026-12-03T04:05:06`. */
const SECOND_LENGTH = 19;

const requestLineSchema = z.object({
  time: z.string(),
  requestId: z.string(),
});

/** Parses a log line, which may have a prefix from a log collector. */
function parseLineAs<T>(line: string, schema: z.ZodType<T>): T[] {
  const start = line.indexOf('{');
  try {
    const parsed = schema.safeParse(JSON.parse(line.slice(start)));
    return parsed.success ? [parsed.data] : [];
  } catch {
    // The line is not a log line of this project, so it describes no request.
    return [];
  }
}

function parseLine(line: string): EndedRequest[] {
  return parseLineAs(line, lineSchema);
}

function mostFrequentValue(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values) {
    counts.set(value, (counts.get(value) ?? 0) + 1);
  }
  const ranked = [...counts].sort(([, left], [, right]) => right - left);
  return ranked[0]?.[0] ?? '';
}

function summarize(requests: readonly EndedRequest[]): RequestSummaryRow[] {
  const [first] = requests;
  if (first === undefined) {
    return [];
  }
  const {time, outcome, reason, kind} = first;
  const total = requests.reduce((sum, {milliseconds}) => sum + milliseconds, 0);
  return [
    {
      second: time.slice(0, SECOND_LENGTH),
      outcome,
      reason,
      kind,
      count: requests.length,
      meanMilliseconds: Math.round(total / requests.length),
      proxy: mostFrequentValue(requests.map(({proxy}) => proxy)),
      target: mostFrequentValue(requests.map(({target}) => target)),
    },
  ];
}

/** Summarizes log lines; lines of other events are ignored. */
export function summarizeRequests(
  lines: readonly string[],
): RequestSummaryRow[] {
  const requestsByKey = new Map<string, EndedRequest[]>();
  for (const request of lines.flatMap(parseLine)) {
    const {time, outcome, reason, kind} = request;
    const second = time.slice(0, SECOND_LENGTH);
    const key = [second, outcome, reason, kind].join('\n');
    requestsByKey.set(key, [...(requestsByKey.get(key) ?? []), request]);
  }
  return [...requestsByKey]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .flatMap(([, requests]) => summarize(requests));
}

function summarizeGroup(
  requests: readonly EndedRequest[],
  fields: readonly RequestField[],
): RequestGroupRow[] {
  const [first] = requests;
  if (first === undefined) {
    return [];
  }
  const durations = requests.map(({milliseconds}) => milliseconds);
  const times = requests.map(({time}) => time).sort();
  const total = durations.reduce((sum, duration) => sum + duration, 0);
  return [
    {
      outcome: first.outcome,
      fields: Object.fromEntries(fields.map(field => [field, first[field]])),
      count: requests.length,
      meanMilliseconds: Math.round(total / requests.length),
      longestMilliseconds: durations.reduce((left, right) =>
        Math.max(left, right),
      ),
      first: times[0] ?? '',
      last: times[times.length - 1] ?? '',
    },
  ];
}

/**
 * Counts the requests of all lines by outcome and the given fields, the most
 * frequent first; lines of other events are ignored.
 */
export function groupRequests(
  lines: readonly string[],
  fields: readonly RequestField[],
): RequestGroupRow[] {
  const requestsByKey = new Map<string, EndedRequest[]>();
  for (const request of lines.flatMap(parseLine)) {
    const values = fields.map(field => request[field]);
    const key = JSON.stringify([request.outcome, ...values]);
    const requests = requestsByKey.get(key) ?? [];
    requests.push(request);
    requestsByKey.set(key, requests);
  }
  return [...requestsByKey.values()]
    .flatMap(requests => summarizeGroup(requests, fields))
    .sort((left, right) => right.count - left.count);
}

/**
 * All lines of one request in order of time, as JSON without the prefix of a
 * log collector. Lines of the same time keep their order.
 */
export function findRequestLines(
  lines: readonly string[],
  id: string,
): string[] {
  const found: Array<{time: string; text: string}> = [];
  for (const line of lines) {
    const [parsed] = parseLineAs(line, requestLineSchema);
    if (parsed?.requestId === id) {
      const text = line.slice(line.indexOf('{')).trimEnd();
      found.push({time: parsed.time, text});
    }
  }
  return found
    .sort((left, right) => Date.parse(left.time) - Date.parse(right.time))
    .map(({text}) => text);
}
