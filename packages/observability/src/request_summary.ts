/**
 * Summarizes the log lines of ended requests for fault analysis: per second,
 * the number of requests by outcome, reason and kind, and where most of them
 * ended.
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

const lineSchema = z.object({
  time: z.string(),
  proxy: z.string().default(''),
  event: z.literal('request ended'),
  outcome: z.string().default(''),
  reason: z.string().default(''),
  kind: z.string().default(''),
  target: z.string().default(''),
  milliseconds: z.number().default(0),
});
type EndedRequest = z.infer<typeof lineSchema>;

/** Length of a time to the second, such as `2026-12-03T04:05:06`. */
const SECOND_LENGTH = 19;

/** Parses a log line, which may have a prefix from a log collector. */
function parseLine(line: string): EndedRequest[] {
  const start = line.indexOf('{');
  try {
    const parsed = lineSchema.safeParse(JSON.parse(line.slice(start)));
    return parsed.success ? [parsed.data] : [];
  } catch {
    // The line is not a log line of this project, so it describes no request.
    return [];
  }
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
