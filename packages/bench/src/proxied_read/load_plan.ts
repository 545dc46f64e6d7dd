/** Messages between the bench and its load generator process. */

/** Framing of JSON-RPC requests: HTTP POST or newline-delimited JSON. */
export type Protocol = 'http' | 'lines';

/** One load phase. Durations are in milliseconds. */
export interface LoadPlan {
  /** Address to send to, as `ip:port`. */
  readonly address: string;
  readonly protocol: Protocol;
  readonly connections: number;
  /** Requests per second; if absent, connections send upon each answer. */
  readonly rate?: number;
  readonly duration: number;
  /** Duration of unmeasured load before the measurement. */
  readonly warmUp: number;
  readonly method: string;
  readonly parameters: object;
  /** Whether each request gets an idempotency key of its own. */
  readonly keyed?: boolean;
}

/** Results of one phase; latencies are in milliseconds. */
export interface LoadResult {
  readonly answered: number;
  readonly failed: number;
  /** The first failed answer, unparsed. */
  readonly firstFailure: string | undefined;
  /** Requests due by the end but not sent, as all connections were busy. */
  readonly unsent: number;
  /** Requests sent, including the warm-up. */
  readonly sent: number;
  readonly perSecond: number;
  readonly median: number;
  readonly p99: number;
  readonly longest: number;
  /** Processor time of the generator as a share of one core. */
  readonly generatorLoad: number;
}

/** Orders to a load generator process. */
export type GeneratorOrder =
  | {readonly order: 'run'; readonly plan: LoadPlan}
  /** Opens idle connections and keeps them open until `release`. */
  | {
      readonly order: 'hold';
      readonly address: string;
      readonly connections: number;
    }
  | {readonly order: 'release'};

/** Reply of a load generator to an order. */
export type GeneratorReport =
  | {readonly report: 'result'; readonly result: LoadResult}
  | {readonly report: 'held'; readonly connections: number}
  | {readonly report: 'released'};
