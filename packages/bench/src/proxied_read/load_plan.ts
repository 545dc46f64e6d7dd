/** What a load generator is told, and what it tells. */

/** How requests reach the other end. */
export type Protocol = 'http' | 'lines';

/** One phase of load. Durations are in milliseconds. */
export interface LoadPlan {
  /** `ip:port`. */
  readonly address: string;
  readonly protocol: Protocol;
  readonly connections: number;
  /** Requests a second; without it each connection sends as it is answered. */
  readonly rate?: number;
  readonly duration: number;
  /** Load before the duration, not measured. */
  readonly warmUp: number;
  readonly method: string;
  readonly parameters: object;
  /** Adds a key of its own to the parameters of each request. */
  readonly keyed?: boolean;
}

/** Figures of one phase; latencies in milliseconds. */
export interface LoadResult {
  readonly answered: number;
  readonly failed: number;
  /** The first failure as it came, if there was one. */
  readonly firstFailure: string | undefined;
  /** Requests that were due while all connections were busy, at the end. */
  readonly unsent: number;
  /** Requests sent, those of the warm-up included. */
  readonly sent: number;
  readonly perSecond: number;
  readonly median: number;
  readonly p99: number;
  readonly longest: number;
  /** Processor time of the generator, share of one core. */
  readonly generatorLoad: number;
}

/** Orders to a load generator's process. */
export type GeneratorOrder =
  | {readonly order: 'run'; readonly plan: LoadPlan}
  /** Opens connections that send nothing, and holds them. */
  | {
      readonly order: 'hold';
      readonly address: string;
      readonly connections: number;
    }
  | {readonly order: 'release'};

/** What a generator answers to an order. */
export type GeneratorReport =
  | {readonly report: 'result'; readonly result: LoadResult}
  | {readonly report: 'held'; readonly connections: number}
  | {readonly report: 'released'};
