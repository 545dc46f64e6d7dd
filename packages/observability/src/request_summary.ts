/**
 * Sums up the log lines of ended requests, for who has to find what went wrong and
 * when: how many requests ended how, for which reason, where, second by second.
 */
import {z} from 'zod';

/** Requests of one second that ended alike. */
export interface RequestSummaryRow {
  /** Start of the second, ISO 8601 in UTC. */
  readonly second: string;
  readonly outcome: string;
  readonly reason: string;
  readonly kind: string;
  readonly count: number;
  readonly meanMilliseconds: number;
  /** Proxy that most of them ended at. */
  readonly proxy: string;
  /** Target that answered most of them last. */
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

/** Characters of `2026-12-03T04:05:06`. */
const SECOND_LENGTH = 19;

/** A line may begin with what a collector of logs wrote before it. */
function readLine(line: string): EndedRequest[] {
  const start = line.indexOf('{');
  try {
    const parsed = lineSchema.safeParse(JSON.parse(line.slice(start)));
    return parsed.success ? [parsed.data] : [];
  } catch {
    // Output of something else between the lines: it tells of no request.
    return [];
  }
}

function mostFrequent(values: readonly string[]): string {
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
      proxy: mostFrequent(requests.map(({proxy}) => proxy)),
      target: mostFrequent(requests.map(({target}) => target)),
    },
  ];
}

/** Sums up lines of logs; those of other events are passed over. */
export function summarizeRequests(
  lines: readonly string[],
): RequestSummaryRow[] {
  const alike = new Map<string, EndedRequest[]>();
  for (const request of lines.flatMap(readLine)) {
    const {time, outcome, reason, kind} = request;
    const second = time.slice(0, SECOND_LENGTH);
    const key = [second, outcome, reason, kind].join('\n');
    alike.set(key, [...(alike.get(key) ?? []), request]);
  }
  return [...alike]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .flatMap(([, requests]) => summarize(requests));
}
